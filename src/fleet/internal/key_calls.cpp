#include "fleet/internal/key_calls.h"

#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

constexpr std::string_view release_key = "release";

/// Returns false for a success without a hand-over: it is the answer to another call.
bool may_answer_release(const answer_head& head) {
  return head.result_int() != status_ok || platform::handover_of(head).has_value();
}

claims::grant_result grant_result_of(const exchange_outcome& exchange) {
  switch (exchange.result) {
    case exchange_result::not_connected:
      return claims::grant_result::unreachable;
    case exchange_result::too_late:
      return claims::grant_result::refused;
    case exchange_result::broken:
      return claims::grant_result::connection_lost;
    case exchange_result::malformed:
    case exchange_result::timed_out:
    case exchange_result::cancelled:
      return claims::grant_result::no_answer;
    case exchange_result::answered:
      break;
  }
  return exchange.status == status_ok         ? claims::grant_result::granted
         : exchange.status == status_conflict ? claims::grant_result::newer_fence
                                              : claims::grant_result::refused;
}

std::string text_of(const claims::key_range& keys) {
  return std::to_string(keys.first) + "-" + std::to_string(keys.last);
}

}  // namespace

exchange_request key_calls::request_to(const routing::upstream_incarnation& to,
                                       const platform::call& call, duration timeout) const {
  const auto now = boot_now();
  exchange_request request{
      .head = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: " + gate_.upstream() +
              "\r\nContent-Type: application/json\r\n" + platform::expected_upstream_header(to.id),
      .body = std::make_shared<body_pipe>(),
      // Key calls bear no id, so an answer with one belongs to a request.
      .id_of = [](const answer_head& head) { return platform::answer_id(head); },
      .deadline = now + timeout,
      .send_before = now + timing_.send_limit};
  request.body->append(call.body);
  request.body->finish();
  return request;
}

asio::awaitable<exchange_outcome> key_calls::run(exchange_request request) {
  cancellation never_cancelled;
  co_return co_await run_exchange(gate_.pool(), gate_.upstream(), std::move(request),
                                  never_cancelled);
}

asio::awaitable<claims::grant_result> key_calls::grant(claims::grant_keys request) {
  const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(request.hold);
  const auto exchange = co_await run(request_to(
      request.upstream, platform::grant_call(request.keys, request.fence, hold, request.handover),
      timing_.call_timeout));
  const auto result = grant_result_of(exchange);
  if (result != claims::grant_result::granted) {
    support::event_text line("grant_failed");
    line.add("keys", text_of(request.keys))
        .add("fence", request.fence)
        .add("status", exchange.status)
        .add_quoted("detail", exchange.detail);
    log_.line(support::line_class::process, line.text(), boot_now());
  }
  co_return result;
}

asio::awaitable<std::optional<std::string>> key_calls::release(claims::release_keys request) {
  auto call = request_to(request.upstream, platform::release_call(request.keys, request.fence),
                         timing_.release_timeout);
  call.accepts_anonymous = &may_answer_release;
  // Answers to releases differ in nothing that could be foreseen.
  call.answer_key = release_key;
  call.answer_key_until = time_point::max();
  call.repeats_after_success = true;
  const auto exchange = co_await run(std::move(call));
  std::optional<std::string> handover;
  if (exchange.result == exchange_result::answered && exchange.status == status_ok)
    handover = platform::handover_of(exchange.head);
  support::event_text line("released");
  line.add("keys", text_of(request.keys))
      .add("fence", request.fence)
      .add("answered", handover ? "yes" : "no");
  log_.line(support::line_class::process, line.text(), boot_now());
  co_return handover;
}

}  // namespace masticshunt::fleet
