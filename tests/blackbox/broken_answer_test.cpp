// An upstream that breaks its answers off, or sends what is no HTTP/1.1: agents of the own
// interface pass none of it on, beside the upstream and at another agent.
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

#include "blackbox/blackbox.h"
#include "broken_answers/framing_client.h"
#include "broken_answers/scripted_target.h"
#include "fleet/loopback.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;

/// Two agents, of which the first has a scripted target in place of its upstream.
class scripted_deployment {
 public:
  scripted_deployment() : deployment_(plan(), 1), target_(context_, address_), client_(context_) {
    failure reason;
    expect_true(deployment_.start(reason), reason.describe());
    for (auto& each : deployment_.nodes()) each.upstream_process->crash();
    asio::co_spawn(context_, announce(), asio::detached);
    for (const std::size_t agent : {0, 1}) await_service(agent);
  }
  /// Sends a request at the agent with index `agent` while the target answers with `answer`.
  caller_answer ask(std::size_t agent, scripted_answer answer, const std::string& method = "GET",
                    std::size_t body_bytes = 0) {
    target_.answer_with(std::move(answer));
    const std::string key = "k-" + std::to_string(++last_key_);
    caller_request request{.head = method + " /s/schedule-viewer/" + key +
                                   " HTTP/1.1\r\nHost: a\r\nMasticshunt-Deadline-Ms: 2000\r\n"
                                   "Idempotency-Key: " +
                                   key + "\r\n",
                           .body_bytes = body_bytes};
    std::optional<caller_answer> result;
    asio::co_spawn(context_,
                   client_.ask(deployment_.nodes().at(agent).agent_process->description().caller,
                               std::move(request)),
                   [&](const std::exception_ptr&, caller_answer got) { result = std::move(got); });
    while (!result) run_for(milliseconds{2});
    if (method == "POST") expect_true(target_.arrived("/" + key + " ") <= 1, "run twice");
    return *result;
  }

  void run_for(duration span) {
    context_.restart();
    context_.run_for(span);
  }

 private:
  static demo::deployment_plan plan() {
    demo::deployment_plan plan = demo::imhof_plan();
    plan.services.resize(1);
    plan.domains.resize(2);
    return plan;
  }
  asio::awaitable<void> announce() {
    asio::steady_timer interval(context_);
    const auto body = nlohmann::json{
        {"service", deployment_.plan().services[0].name},
        {"address", address_},
        {"incarnation", 1'000},
        {"slots", 12},
        {"connections", 120},
        {"checks_fences",
         true}}.dump();
    const std::string bytes =
        "POST /announce HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: "
        "application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    for (;;) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket(context_);
      socket.connect(fleet::tcp_endpoint(
                         deployment_.nodes()[0].agent_process->upstream_port_endpoint(), error),
                     error);
      asio::write(socket, asio::buffer(bytes), error);
      interval.expires_after(milliseconds{500});
      co_await interval.async_wait(asio::use_awaitable);
    }
  }
  void await_service(std::size_t agent) {
    const scripted_answer sound{
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", ending::close};
    const auto limit = boot_now() + small_deployment::start_limit;
    int served = 0;
    while (served < served_in_sequence && boot_now() < limit) {
      run_for(milliseconds{50});
      served = ask(agent, sound).body == "ok" ? served + 1 : 0;
    }
    expect_equal(served, served_in_sequence, "requests served one after the other");
  }
  static constexpr int served_in_sequence = 10;
  const endpoint address_ = loopback_net() + "100:7510";
  asio::io_context context_;
  demo::deployment deployment_;
  scripted_target target_;
  framing_client client_;
  int last_key_ = 0;
};

constexpr std::size_t long_upload = 32 * 1024 * 1024;

/// Checks that the caller was told that the outcome is unknown, or that its connection ended.
void expect_truthful_failure(const caller_answer& got, std::string_view context) {
  if (!got.whole) return expect_equal(got.status, 200U, "a cut without a head: " + got.describe());
  expect_true(got.has("Masticshunt-Outcome: may-have-run"),
              std::string(context) + " " + got.describe());
  expect_false(got.has("Odd"), got.describe());
}

void expect_refused(scripted_deployment& deployment, const std::string& bytes) {
  for (const auto end : {ending::reset, ending::close, ending::half_close, ending::keep}) {
    for (const std::size_t agent : {0, 1}) {
      expect_truthful_failure(deployment.ask(agent, {bytes, end}), bytes);
      expect_truthful_failure(deployment.ask(agent, {bytes, end}, "POST", long_upload), bytes);
    }
  }
}

}  // namespace

Test(broken_answer, that_is_cut_in_any_framing_at_any_moment_is_not_passed_on, .timeout = 240) {
  constexpr std::size_t bytes = 16 * 1024 * 1024;
  constexpr std::size_t large_part = 700 * 1024;
  scripted_deployment deployment;
  const std::string start = "HTTP/1.1 200 OK\r\n";
  for (const std::string& part : {std::string("part of"), std::string(large_part, 'p')}) {
    std::ostringstream chunk;
    chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
    for (const auto& answer :
         {start + "\r\n" + part, std::string(),
          start + "Content-Length: " + std::to_string(part.size() + 1) + "\r\n\r\n" + part,
          start + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str()})
      for (const std::size_t read_first : {std::size_t{0}, bytes / 4, bytes})
        for (const std::size_t agent : {0, 1})
          for (const auto pause : {0, 3, 30})
            expect_truthful_failure(
                deployment.ask(agent, {answer, ending::reset, milliseconds{pause}, read_first},
                               "POST", bytes),
                answer.substr(0, 100));
  }
}

Test(broken_answer, on_a_pooled_connection_is_not_passed_on, .timeout = 240) {
  scripted_deployment deployment;
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::size_t agent : {0, 1}) {
    for (const auto pause : {0, 3, 30}) {
      expect_equal(deployment.ask(agent, {whole, ending::serve_next}).body, "ok");
      const scripted_answer cut{"HTTP/1.1 200 OK\r\n\r\npart of", ending::reset,
                                milliseconds{pause}};
      expect_truthful_failure(deployment.ask(agent, cut, "POST", long_upload), "upload");
      const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
      for (const auto& answer :
           {scripted_answer{whole + stray, ending::serve_next, milliseconds{pause}},
            scripted_answer{whole, ending::serve_next, milliseconds{pause}, 0, false, stray}}) {
        expect_equal(deployment.ask(agent, answer).body, "ok");
        deployment.run_for(milliseconds{pause + 20});
        const auto next = deployment.ask(agent, {whole, ending::serve_next});
        expect_equal(next.body, "ok", "after a stray answer: " + next.describe());
      }
    }
  }
}

Test(broken_answer, has_no_trailers_in_the_head, .timeout = 240) {
  scripted_deployment deployment;
  const std::string chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  for (const std::size_t agent : {0, 1}) {
    for (const bool trickles : {false, true}) {
      const auto got =
          deployment.ask(agent, {chunks + "X-Odd: 1\r\nMasticshunt-Outcome: not-run\r\n\r\n",
                                 ending::close,
                                 {},
                                 0,
                                 trickles});
      expect_true(got.whole && got.body == "ok" && !got.has("Odd") && !got.has("not-run"),
                  got.describe());
      for (const auto* line : {"X Odd: 1", "X-Odd : 1", "X\001Odd: 1"}) {
        const auto broken =
            deployment.ask(agent, {chunks + line + "\r\n\r\n", ending::close, {}, 0, trickles});
        expect_truthful_failure(broken, line);
      }
    }
  }
}

Test(broken_answer, with_status_000_is_not_passed_on, .timeout = 240) {
  scripted_deployment deployment;
  const std::string start = "HTTP/1.1 000 Trouble\r\n";
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
  expect_refused(deployment, start + "Content-Length: 2\r\n\r\nno");
  expect_refused(deployment, start + "\r\n" + inner);
  expect_refused(deployment,
                 start + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner);
}

Test(broken_answer, with_a_blank_or_control_byte_in_a_name_is_not_passed_on, .timeout = 240) {
  scripted_deployment deployment;
  using namespace std::string_literals;
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const auto& line : {"X Odd: 1"s, "X-Odd : 1"s, " X-Odd: 1"s, "\tX-Odd: 1"s, "X\001Odd: 1"s,
                           "X\000Odd: 1"s, "Content-Length : 1"s, " Content-Length: 1"s}) {
    for (const bool trickles : {false, true}) {
      for (const std::size_t agent : {0, 1}) {
        const auto text = status + "A: b\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno";
        const auto got = deployment.ask(agent, {text, ending::close, {}, 0, trickles});
        expect_truthful_failure(got, line);
      }
    }
  }
}

Test(broken_answer, after_101_is_not_passed_on, .timeout = 240) {
  scripted_deployment deployment;
  const std::string final_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  expect_refused(deployment, "HTTP/1.1 101 Switching Protocols\r\n\r\n" + final_answer);
  for (const std::size_t agent : {0, 1}) {
    const auto got = deployment.ask(
        agent, {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + final_answer, ending::close});
    expect_true(got.whole && got.body == "ok", got.describe());
  }
}
