#include "operator/internal/agent_query.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "masticshunt/support/clock.h"
#include "masticshunt/support/units.h"

namespace masticshunt::operators {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t answer_bytes_max = 256 * 1'048'576ULL;
constexpr int http_version = 11;
constexpr std::uint64_t port_max = 65'535;
constexpr milliseconds poll_interval{200};
constexpr milliseconds poll_deadline{1'000};

std::optional<tcp::endpoint> parse_endpoint(const endpoint& agent) {
  const auto colon = agent.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const auto port = support::count_from(std::string_view(agent).substr(colon + 1));
  boost::system::error_code error;
  const auto address = asio::ip::make_address(agent.substr(0, colon), error);
  if (error || !port || *port == 0 || *port > port_max) return std::nullopt;
  return tcp::endpoint{address, static_cast<std::uint16_t>(*port)};
}

failure unreachable(const endpoint& agent, const std::string& detail) {
  return {failure_kind::unavailable, "agent " + agent + " did not respond (" + detail + ")",
          "check that the address is its operator port and that the agent is running"};
}

/// Queries one agent and fills `answer`, which must outlive the coroutine.
asio::awaitable<void> query_agent(agent_answer& answer, std::string target, milliseconds deadline) {
  const auto remote = parse_endpoint(answer.agent);
  if (!remote) {
    answer.reason = {failure_kind::bad_input, answer.agent + " is not an IP address and port",
                     "write addresses as 10.0.0.7:7400"};
    co_return;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(deadline);
  auto [connect_error] = co_await stream.async_connect(*remote, tuple_awaitable);
  http::request<http::empty_body> request{http::verb::get, target, http_version};
  request.set(http::field::host, answer.agent);
  request.keep_alive(false);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(answer_bytes_max);
  auto error = connect_error;
  if (!error) error = std::get<0>(co_await http::async_write(stream, request, tuple_awaitable));
  if (!error) {
    error = std::get<0>(co_await http::async_read(stream, buffer, parser, tuple_awaitable));
  }
  if (error) {
    answer.reason = unreachable(answer.agent, error.message());
  } else if (parser.get().result() != http::status::ok) {
    answer.reason =
        unreachable(answer.agent, "status " + std::to_string(parser.get().result_int()));
  } else {
    answer.body = std::move(parser.get().body());
  }
}

void pause(asio::io_context& context, milliseconds span) {
  bool over = false;
  asio::steady_timer timer(context, span);
  timer.async_wait([&](const auto&) { over = true; });
  context.restart();
  while (!over && context.run_one() > 0) {
  }
}

}  // namespace

std::vector<agent_answer> query_agents(asio::io_context& context,
                                       const std::vector<endpoint>& agents,
                                       const std::string& target, milliseconds deadline) {
  std::vector<agent_answer> answers(agents.size());
  std::size_t pending = agents.size();
  for (std::size_t index = 0; index < agents.size(); ++index) {
    answers[index].agent = agents[index];
    asio::co_spawn(context, query_agent(answers[index], target, deadline),
                   [&pending](const std::exception_ptr&) { --pending; });
  }
  context.restart();
  while (pending > 0 && context.run_one() > 0) {
  }
  return answers;
}

std::uint64_t revision_in_force(const std::string& status) {
  const auto parsed = nlohmann::json::parse(status, nullptr, false);
  if (!parsed.is_object()) return 0;
  for (const auto* name : {"config_revision_everywhere", "config_revision"}) {
    const auto field = parsed.find(name);
    if (field != parsed.end() && field->is_number_unsigned()) return field->get<std::uint64_t>();
  }
  return 0;
}

std::vector<endpoint> wait_in_force(asio::io_context& context, const std::vector<endpoint>& agents,
                                    std::uint64_t revision, milliseconds timeout) {
  const auto end = boot_now() + timeout;
  auto missing = agents;
  while (true) {
    auto answers = query_agents(context, missing, "/status", poll_deadline);
    std::erase_if(answers, [&](const agent_answer& each) {
      return each.body && revision_in_force(*each.body) >= revision;
    });
    missing.clear();
    std::ranges::transform(answers, std::back_inserter(missing), &agent_answer::agent);
    if (missing.empty() || boot_now() >= end) return missing;
    pause(context, poll_interval);
  }
}

}  // namespace masticshunt::operators
