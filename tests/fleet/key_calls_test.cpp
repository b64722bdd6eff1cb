#include "fleet/internal/key_calls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "expect.h"
#include "fleet/scripted_peer.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;

namespace {

const routing::upstream_incarnation incarnation{"i-1", 1'000};
constexpr std::string_view handover_line = "X-Handover: h\r\n";

std::string answer_with(std::string_view headers, unsigned status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + std::string(headers) +
         "Content-Length: 0\r\n\r\n";
}

/// Key calls to an upstream that answers with a script.
class key_calls_fixture {
 public:
  explicit key_calls_fixture(std::vector<std::string> script)
      : upstream_(context_, std::move(script)),
        gate_(context_.get_executor(), {.upstream = upstream_.address()}, log_, metrics_) {}

  claims::grant_result grant() {
    std::optional<claims::grant_result> result;
    run([&]() -> asio::awaitable<void> {
      claims::grant_keys request{.upstream = incarnation, .fence = 1};
      result = co_await calls_.grant(std::move(request));
    });
    return *result;
  }
  /// Returns the hand-over of the release, or nothing if it was not answered.
  std::optional<std::string> release() {
    std::optional<std::string> handover;
    run([&]() -> asio::awaitable<void> {
      claims::release_keys request{.upstream = incarnation, .fence = 1};
      handover = co_await calls_.release(std::move(request));
    });
    return handover;
  }
  scripted_peer& upstream() { return upstream_; }

 private:
  void run(const std::function<asio::awaitable<void>()>& call) {
    context_.restart();
    asio::co_spawn(context_, call(), [this](const auto&) { context_.stop(); });
    context_.run();
  }

  asio::io_context context_;
  scripted_peer upstream_;
  support::event_log log_{-1, "vm-1"};
  support::metrics_registry metrics_;
  gate_service gate_;
  claims::claim_timing timing_{.call_timeout = std::chrono::milliseconds{300},
                               .release_timeout = std::chrono::milliseconds{300}};
  key_calls calls_{gate_, timing_, log_};
};

}  // namespace

Test(key_calls, does_not_take_a_late_answer_to_a_request_for_the_answer_to_a_release) {
  key_calls_fixture fixture({answer_with("X-Request-Id: r\r\nX-Response-Signature: s\r\n")});
  expect_true(!fixture.release());
}

Test(key_calls, does_not_take_a_late_answer_to_a_grant_for_the_answer_to_a_release) {
  key_calls_fixture fixture({answer_with("")});
  expect_true(!fixture.release());
}

Test(key_calls, does_not_take_a_late_copy_of_the_answer_to_one_release_for_that_to_the_next) {
  key_calls_fixture fixture({answer_with(handover_line), answer_with("", 400)});
  fixture.upstream().repeats_answers = true;
  expect_true(fixture.release() == "h");
  expect_true(!fixture.release());
}

Test(key_calls, waits_for_the_answer_to_a_release_behind_a_late_answer) {
  key_calls_fixture fixture(
      {answer_with("X-Request-Id: r\r\n") + answer_with("") + answer_with(handover_line)});
  expect_true(fixture.release() == "h");
}

Test(key_calls, does_not_take_a_late_answer_to_a_request_for_a_grant) {
  key_calls_fixture fixture({answer_with("X-Request-Id: r\r\nX-Response-Signature: s\r\n")});
  expect_true(fixture.grant() != claims::grant_result::granted);
}

Test(key_calls, grants_over_a_connection_that_is_kept) {
  key_calls_fixture fixture({answer_with(""), answer_with("")});
  expect_true(fixture.grant() == claims::grant_result::granted);
  expect_true(fixture.grant() == claims::grant_result::granted);
  expect_equal(fixture.upstream().connections, 1);
}
