// What an agent reads of the store and of other agents, when these send what is no whole answer.
#include "broken_answers/scripted_target.h"
#include "expect.h"
#include "fleet/internal/gate_service.h"
#include "fleet/internal/key_calls.h"
#include "fleet/internal/store_client.h"
#include "fleet/loopback.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
using std::chrono::milliseconds;

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

/// Writes a document of `bytes` to a store that answers with `answer`. Returns what is known of it.
std::optional<platform::store_verdict> verdict_of_write(const scripted_answer& answer,
                                                        std::size_t bytes) {
  const endpoint address = loopback_net() + "100:7510";
  boost::asio::io_context context;
  scripted_target target(context, address);
  target.answer_with(answer);
  support::event_log log(-1, "vm-1");
  store_client store(context.get_executor(), address, log);
  std::optional<platform::store_verdict> verdict;
  const auto run = [&]() -> boost::asio::awaitable<void> {
    const platform::call write{"PUT", "/-/objects/a/b", std::string(bytes, 'x')};
    verdict = (co_await store.call(write, milliseconds{1'000})).verdict;
    context.stop();
  };
  boost::asio::co_spawn(context, run(), boost::asio::detached);
  context.run();
  return verdict;
}

constexpr std::size_t short_document = 10;
constexpr std::size_t long_document = 15 * 1024 * 1024;

}  // namespace

Test(store_write, whose_answer_is_reset_has_an_unknown_outcome) {
  for (const auto bytes : {short_document, long_document})
    for (const auto pause : {0, 3, 30, 150})
      for (int round = 0; round < 5; ++round)
        expect_false(
            verdict_of_write({status_line + "\r\n{}", ending::reset, milliseconds{pause}}, bytes)
                .has_value(),
            std::to_string(bytes) + " bytes");
}

Test(store_write, whose_answer_has_a_broken_head_has_an_unknown_outcome) {
  const std::string rest = "Content-Length: 2\r\n\r\n{}";
  expect_true(verdict_of_write({status_line + rest}, short_document).has_value());
  for (const auto bytes : {short_document, long_document}) {
    expect_false(verdict_of_write({"HTTP/1.1 000 Trouble\r\n" + rest}, bytes).has_value());
    for (const auto* line : {"X Odd: 1", "X-Odd : 1", "A: b\r\n X-Odd: 1", "X\001Odd: 1"})
      expect_false(verdict_of_write({status_line + line + "\r\n" + rest}, bytes).has_value(), line);
  }
}

namespace {

/// Answers to a call, none of them whole or well-formed, with `fields` in the head.
std::vector<scripted_answer> broken_answers(const std::string& fields) {
  const std::string rest = "Content-Length: 2\r\n\r\n{}";
  return {{status_line + fields + "\r\n{", ending::reset, milliseconds{30}},
          {status_line + fields + "Content-Length: 2\r\n\r\n{", ending::close},
          {status_line + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n", ending::close},
          {status_line + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "X Odd: 1\r\n\r\n"},
          {"HTTP/1.1 000 Trouble\r\n" + fields + rest},
          {"HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + status_line + fields + rest},
          {status_line + "A: b\r\n X-Odd: 1\r\n" + fields + rest},
          {status_line + fields + "X Odd: 1\r\n" + rest}};
}

/// The gate of an agent before a scripted target.
struct scripted_gate {
  const endpoint address = loopback_net() + "100:7510";
  const routing::upstream_incarnation incarnation{"i-1", 1'000};
  boost::asio::io_context context;
  scripted_target target{context, address};
  support::event_log log{-1, "vm-1"};
  support::metrics_registry metrics;
  gate_service gate{context.get_executor(), {.upstream = address}, log, metrics};
  claims::claim_timing timing;
  key_calls calls{gate, timing, log};

  scripted_gate() { gate.update_upstream(incarnation, "ledger", 8); }

  /// Returns true if the gate takes the target for warm after it has answered a health check.
  bool is_warm_after(const scripted_answer& answer) {
    target.answer_with(answer);
    gate.set_slow_start(10, "/state");
    const auto end = boot_now() + milliseconds{900};
    while (gate.cold() && boot_now() < end) {
      gate.tick(boot_now());
      context.restart();
      context.run_for(milliseconds{20});
    }
    return !gate.cold();
  }
  /// Returns what the agent takes `answer` for, as the answer to a grant.
  claims::grant_result granted(const scripted_answer& answer) {
    target.answer_with(answer);
    std::optional<claims::grant_result> result;
    boost::asio::co_spawn(
        context, calls.grant({.upstream = incarnation, .keys = {0, 9}, .fence = 1}),
        [&](const std::exception_ptr&, claims::grant_result got) { result = got; });
    context.restart();
    while (!result) context.run_one();
    return *result;
  }
  /// Returns true if the agent takes `answer` for the answer to a release.
  bool released(const scripted_answer& answer) {
    target.answer_with(answer);
    std::optional<bool> result;
    boost::asio::co_spawn(
        context, calls.release({.upstream = incarnation, .keys = {0, 9}, .fence = 1}),
        [&](const std::exception_ptr&, const std::optional<std::string>& handover) {
          result = handover.has_value();
        });
    context.restart();
    while (!result) context.run_one();
    return *result;
  }
};

const std::string sound_rest = "Content-Length: 2\r\n\r\n{}";

}  // namespace

Test(health_check, with_a_broken_answer_leaves_the_upstream_cold) {
  const std::string fields = "X-Instance-Id: i-1\r\n";
  expect_true(scripted_gate().is_warm_after({status_line + fields + sound_rest}));
  for (const auto& answer : broken_answers(fields))
    expect_false(scripted_gate().is_warm_after(answer), answer.bytes);
}

Test(key_calls, with_a_broken_answer_grant_and_release_nothing) {
  const std::string fields = "X-Handover: h\r\n";
  const scripted_answer sound{status_line + fields + sound_rest};
  expect_true(scripted_gate().granted(sound) == claims::grant_result::granted);
  expect_true(scripted_gate().released(sound));
  for (const auto& answer : broken_answers(fields)) {
    expect_true(scripted_gate().granted(answer) != claims::grant_result::granted, answer.bytes);
    expect_false(scripted_gate().released(answer), answer.bytes);
  }
}
