// What an agent reads of the store and of other agents, when these send what is no whole answer.
#include "broken_answers/scripted_target.h"
#include "expect.h"
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
