#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

#include "masticshunt/support/clock.h"
#include "upstream/internal/stand_in_hash.h"
#include "upstream/internal/stand_in_server.h"

namespace masticshunt::upstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable_t<strand_executor>{});

std::string_view to_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || text.empty()) return {};
  return value;
}

std::uint64_t query_number(std::string_view query, std::string_view name) {
  const auto position = query.find(std::string(name) + "=");
  if (position == std::string_view::npos) return 0;
  return parse_number(query.substr(position + name.size() + 1)).value_or(0);
}

bool is_control_target(std::string_view target) {
  return target.starts_with("/stand-in/");
}

std::string receipt_body(const stand_in_request& request, const endpoint& upstream) {
  const nlohmann::json body = {{"request_id", request.request_id},
                               {"identity", request.idempotency_key},
                               {"method", request.method},
                               {"key", request.key},
                               {"body_bytes", request.body_bytes},
                               {"body_xxh64", to_hexadecimal(request.body_hash)},
                               {"upstream", upstream}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string to_hexadecimal(std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4) {
    *digit = digits[value & 15];
  }
  return text;
}

void fill_answer_block(std::string_view request_id, std::vector<char>& block) {
  std::uint64_t state = hash_of_key(request_id);
  for (auto& byte : block) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    byte = static_cast<char>(state >> 56);
  }
}

stand_in_request parse_request_header(const stand_in_parser& parser) {
  const auto& header = parser.get();
  stand_in_request request;
  request.method = to_view(header.method_string());
  std::string_view target = to_view(header.target());
  const auto question = target.find('?');
  if (question != std::string_view::npos) {
    request.answer_bytes = query_number(target.substr(question), "answer_bytes");
    target = target.substr(0, question);
  }
  if (target.starts_with('/')) target.remove_prefix(1);
  const auto slash = target.find('/');
  request.service = target.substr(0, slash);
  if (slash != std::string_view::npos) {
    target.remove_prefix(slash + 1);
    request.key = target.substr(0, target.find('/'));
  }
  request.idempotency_key = to_view(header["Idempotency-Key"]);
  request.request_id = to_view(header["X-Request-Id"]);
  request.rank = to_view(header["Masticshunt-Rank"]);
  request.fence = parse_fence(to_view(header["Masticshunt-Fence"]));
  if (const auto remaining = parse_number(to_view(header["Masticshunt-Deadline-Ms"]))) {
    request.time_remaining = std::chrono::milliseconds(*remaining);
  }
  return request;
}

/// Releases the slot on destruction.
class stand_in::implementation::slot {
 public:
  slot(implementation& server, std::uint64_t generation)
      : server_(server), generation_(generation) {}
  ~slot() { server_.release_slot(generation_); }
  slot(const slot&) = delete;
  slot& operator=(const slot&) = delete;

 private:
  implementation& server_;
  std::uint64_t generation_;
};

bool stand_in::implementation::is_current(const connection_ptr& connection) const {
  return connection->generation == generation_;
}

bool stand_in::implementation::is_hung(const connection_ptr& connection) const {
  return connection->number <= hung_up_to_;
}

stand_in::implementation::awaitable<void> stand_in::implementation::serve(
    connection_ptr connection) {
  const auto self = shared_from_this();
  while (is_current(connection)) {
    const bool keep_open = co_await serve_one(connection);
    if (!keep_open) break;
  }
  if (!is_current(connection)) co_return;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connections_.erase(connection);
  --open_;
}

stand_in::implementation::awaitable<bool> stand_in::implementation::serve_one(
    connection_ptr connection) {
  stand_in_parser parser;
  parser.body_limit(boost::none);
  auto [error, count] =
      co_await http::async_read_header(connection->socket, connection->buffer, parser, as_result);
  if (error || !is_current(connection)) co_return false;
  const std::string_view target = to_view(parser.get().target());
  connection->delayed = false;
  if (!is_control_target(target)) co_await wait_out_faults(connection);
  if (!is_current(connection)) co_return false;
  if (is_control_target(target) || target == "/health" || target == "/load") {
    co_return co_await control(connection, parser);
  }
  co_return co_await run(connection, parser);
}

stand_in::implementation::awaitable<void> stand_in::implementation::wait_out_faults(
    connection_ptr connection) {
  while (is_current(connection) && (frozen_ || is_hung(connection))) {
    connection->delayed = true;
    if (is_hung(connection)) {
      co_await connection->hang_timer.async_wait(as_result);
    } else {
      co_await unfreeze_timer_.async_wait(as_result);
    }
  }
}

stand_in::implementation::awaitable<bool> stand_in::implementation::control(
    connection_ptr connection, stand_in_parser& parser) {
  const std::string target(to_view(parser.get().target()));
  std::string body(stream_block_bytes, '\0');
  parser.get().body().data = body.data();
  parser.get().body().size = body.size();
  auto [error, count] =
      co_await http::async_read(connection->socket, connection->buffer, parser, as_result);
  if (error) co_return false;
  body.resize(body.size() - parser.get().body().size);

  stand_in_answer response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  const auto current = state.faults();
  if (target == "/health") {
    const bool healthy = current.claimed_healthy.value_or(current.shed_share < 1);
    response.result(healthy ? http::status::ok : http::status::service_unavailable);
  } else if (target == "/load") {
    response.body() = nlohmann::json{{"busy", current.claimed_busy.value_or(busy_)},
                                     {"queued", current.claimed_busy ? 0 : queued_.load()}}
                          .dump();
  } else if (target == "/stand-in/records") {
    response.body() = to_json(state.records());
  } else if (target == "/stand-in/fault") {
    failure reason;
    const auto faults = parse_faults(body, current, reason);
    if (!faults) {
      response.result(http::status::bad_request);
      response.body() = nlohmann::json{{"error", reason.describe()}}.dump();
      co_return co_await answer(connection, parser, response);
    }
    set_faults(*faults);
    const auto object = nlohmann::json::parse(body);
    const bool answered = co_await answer(connection, parser, response);
    if (object.value("silence", false)) hang_open_connections();
    if (object.value("crash", false)) {
      std::optional<std::chrono::milliseconds> delay;
      if (object.contains("restart_after_ms")) {
        delay = std::chrono::milliseconds(object.value("restart_after_ms", 0));
      }
      crash(delay);
    }
    co_return answered;
  } else {
    response.result(http::status::not_found);
  }
  co_return co_await answer(connection, parser, response);
}

stand_in::implementation::awaitable<bool> stand_in::implementation::run(connection_ptr connection,
                                                                        stand_in_parser& parser) {
  stand_in_request request = parse_request_header(parser);
  std::optional<steady_time> deadline;
  if (request.time_remaining) deadline = std::chrono::steady_clock::now() + *request.time_remaining;
  if (state.reject_stale_fence(request)) {
    co_return co_await refuse(connection, parser, http::status::conflict, "not-run", "fenced");
  }
  if (state.shed_by_fault()) {
    co_return co_await refuse(connection, parser, http::status::service_unavailable, "not-run",
                              "upstream_shed");
  }
  if (busy_ >= settings_.slots && queued_ >= settings_.queue_limit) {
    state.count_shed();
    co_return co_await refuse(connection, parser, http::status::service_unavailable, "not-run",
                              "upstream_shed");
  }
  const bool has_slot = co_await take_slot(connection, deadline);
  if (!is_current(connection) || connection->peer_closed) {
    if (has_slot) release_slot(connection->generation);
    co_return false;
  }
  if (!has_slot) {
    state.count_late();
    co_return co_await refuse(connection, parser, http::status::gateway_timeout, "not-run",
                              "deadline_passed");
  }
  const slot guard(*this, connection->generation);
  co_return co_await run_in_slot(connection, parser, request, deadline);
}

stand_in::implementation::awaitable<bool> stand_in::implementation::run_in_slot(
    connection_ptr connection, stand_in_parser& parser, stand_in_request& request,
    std::optional<steady_time> deadline) {
  const bool body_complete = co_await read_body(connection, parser, request);
  if (!body_complete) {
    state.count_truncated_body();
    co_return false;
  }
  co_await wait_out_faults(connection);
  if (!is_current(connection)) co_return false;
  if (deadline && std::chrono::steady_clock::now() >= *deadline) {
    state.count_late();
    co_return co_await refuse(connection, parser, http::status::gateway_timeout, "not-run",
                              "deadline_passed");
  }
  if (state.reject_stale_fence(request)) {
    co_return co_await refuse(connection, parser, http::status::conflict, "not-run", "fenced");
  }
  request.out_of_reach = connection->delayed;
  const std::uint64_t number = state.begin_run(request, address(), boot_now());
  const run_outcome outcome =
      co_await simulate_work(connection, state.draw_service_time(request), deadline);
  if (!is_current(connection)) co_return false;
  co_return co_await finish(connection, parser, request, number, outcome);
}

stand_in::implementation::awaitable<bool> stand_in::implementation::finish(
    connection_ptr connection, stand_in_parser& parser, const stand_in_request& request,
    std::uint64_t run_number, run_outcome outcome) {
  state.end_run(run_number, outcome, boot_now());
  if (outcome == run_outcome::cancelled) co_return false;
  if (is_hung(connection)) {
    co_await wait_out_faults(connection);
    co_return false;
  }
  if (outcome == run_outcome::timed_out) {
    co_return co_await refuse(connection, parser, http::status::gateway_timeout, "may-have-run",
                              "deadline_passed");
  }
  if (request.answer_bytes > 0) co_return co_await stream_answer(connection, parser, request);
  stand_in_answer response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.set("X-Answer-For", request.request_id);
  response.body() = receipt_body(request, address());
  response.set("X-Answer-Xxh64", to_hexadecimal(hash_of_key(response.body())));
  co_return co_await answer(connection, parser, response);
}

stand_in::implementation::awaitable<bool> stand_in::implementation::take_slot(
    connection_ptr connection, std::optional<steady_time> deadline) {
  if (deadline && std::chrono::steady_clock::now() >= *deadline) co_return false;
  if (busy_ < settings_.slots) {
    ++busy_;
    co_return true;
  }
  auto waiting_request = std::make_shared<waiter>(waiter{strand_timer(strand_)});
  waiting_request->timer.expires_at(deadline.value_or(steady_time::max()));
  waiting_.push_back(waiting_request);
  ++queued_;
  watch_peer(connection, waiting_request->timer);
  co_await waiting_request->timer.async_wait(as_result);
  unwatch_peer(connection);
  if (!is_current(connection)) co_return false;
  if (!waiting_request->granted) {
    std::erase(waiting_, waiting_request);
    --queued_;
  }
  co_return waiting_request->granted;
}

void stand_in::implementation::release_slot(std::uint64_t generation) {
  if (generation != generation_) return;
  if (waiting_.empty()) {
    --busy_;
    return;
  }
  const auto next = waiting_.front();
  waiting_.pop_front();
  --queued_;
  next->granted = true;
  next->timer.cancel();
}

stand_in::implementation::awaitable<bool> stand_in::implementation::read_body(
    connection_ptr connection, stand_in_parser& parser, stand_in_request& request) {
  if (parser.is_done()) {
    request.body_hash = body_hash{}.digest();
    co_return true;
  }
  if (to_view(parser.get()[http::field::expect]) == "100-continue") {
    constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    auto [error, count] =
        co_await asio::async_write(connection->socket, asio::buffer(continue_response), as_result);
    if (error) co_return false;
  }
  body_hash hash;
  std::vector<char> block(stream_block_bytes);
  while (!parser.is_done()) {
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    auto [error, count] =
        co_await http::async_read(connection->socket, connection->buffer, parser, as_result);
    if (error && error != http::error::need_buffer) co_return false;
    co_await wait_out_faults(connection);
    if (!is_current(connection)) co_return false;
    const std::size_t size = block.size() - parser.get().body().size;
    hash.update(block.data(), size);
    request.body_bytes += size;
  }
  request.body_hash = hash.digest();
  co_return true;
}

stand_in::implementation::awaitable<run_outcome> stand_in::implementation::simulate_work(
    connection_ptr connection, std::chrono::microseconds time,
    std::optional<steady_time> deadline) {
  if (time.count() > 0) {
    const steady_time planned_end = std::chrono::steady_clock::now() + time;
    strand_timer timer(strand_);
    timer.expires_at(deadline ? std::min(planned_end, *deadline) : planned_end);
    watch_peer(connection, timer);
    co_await timer.async_wait(as_result);
    unwatch_peer(connection);
    if (connection->peer_closed && !is_hung(connection)) co_return run_outcome::cancelled;
    if (deadline && planned_end > *deadline) co_return run_outcome::timed_out;
  }
  while (frozen_ && is_current(connection)) co_await unfreeze_timer_.async_wait(as_result);
  co_return run_outcome::finished;
}

void stand_in::implementation::watch_peer(const connection_ptr& connection, strand_timer& timer) {
  const std::uint64_t watch = ++connection->watch;
  connection->socket.async_wait(
      tcp::socket::wait_read,
      [connection, watch, &timer, this](const boost::system::error_code& error) {
        if (error || connection->watch != watch || is_hung(connection) || frozen_) return;
        char byte = 0;
        boost::system::error_code peek_error;
        const auto count = connection->socket.receive(asio::buffer(&byte, 1),
                                                      asio::socket_base::message_peek, peek_error);
        if (count > 0 || peek_error == asio::error::would_block) return;
        connection->peer_closed = true;
        timer.cancel();
      });
}

void stand_in::implementation::unwatch_peer(const connection_ptr& connection) {
  ++connection->watch;
  boost::system::error_code ignored;
  connection->socket.cancel(ignored);
}

}  // namespace masticshunt::upstream
