#include "fleet/internal/store_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticshunt/support/clock.h"
#include "platform/headers.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration list_timeout = std::chrono::milliseconds{1'500};

}  // namespace

store_client::store_client(const asio::any_io_executor& executor, endpoint address,
                           support::event_log& log)
    : pool_(executor, store_connections), address_(std::move(address)), log_(log) {}

asio::awaitable<store_answer> store_client::call(platform::call call_request, duration timeout,
                                                 cancellation* cancel) {
  ++counts_.calls;
  exchange_request request{.head = call_request.method + ' ' + call_request.target +
                                   " HTTP/1.1\r\nHost: " + address_ +
                                   "\r\nContent-Type: application/json\r\n",
                           .body_max = document_bytes_max,
                           .deadline = boot_now() + timeout};
  if (!call_request.body.empty()) {
    request.body = std::make_shared<body_pipe>();
    request.body->append(call_request.body);
    request.body->finish();
  }
  cancellation never_cancelled;
  auto exchange = co_await run_exchange(pool_, address_, std::move(request),
                                        cancel == nullptr ? never_cancelled : *cancel);
  store_answer answer;
  if (exchange.result == exchange_result::cancelled) co_return answer;
  if (exchange.result != exchange_result::answered || !exchange.body->fully_buffered()) {
    ++counts_.unanswered;
    answer.too_large = exchange.result == exchange_result::answered;
    // Nothing was sent, so the call has not taken effect.
    if (exchange.result == exchange_result::not_connected)
      answer.verdict = platform::store_verdict::refused;
    set_reached(false, "no answer " + exchange.detail);
    unanswered_at_ = boot_now();
    pool_.drop_idle(address_);
    co_return answer;
  }
  answer.verdict = platform::store_verdict_of(exchange.status);
  answer.era = platform::store_era_in(exchange.head).value_or(era());
  answer.body = exchange.body->buffered();
  const bool refused = answer.verdict == platform::store_verdict::refused;
  if (refused) ++counts_.refused;
  set_reached(!refused, "status=" + std::to_string(exchange.status));
  if (unanswered_at_) regained(*std::exchange(unanswered_at_, std::nullopt));
  if (answer.era < era()) {
    answer.verdict.reset();
    support::event_text line("store_answer_outdated");
    line.add("era", answer.era).add("known", era()).add("call", call_request.method);
    log_.line(support::line_class::process, line.text(), boot_now());
  }
  era_seen(answer.era);
  co_return answer;
}

void store_client::era_seen(store_era era) {
  if (era_ && era <= *era_) return;
  const auto before = std::exchange(era_, era);
  support::event_text line("store_era");
  line.add("era", era);
  if (before) line.add("before", *before);
  log_.line(support::line_class::process, line.text(), boot_now());
  for (const auto& action : on_era_) action(era);
}

void store_client::regained(time_point lost_at) const {
  for (const auto& action : on_regained_) action(lost_at);
}

void store_client::suspect_connections() {
  log_.line(support::line_class::process, "store_connections_suspected", boot_now());
  pool_.drop_idle(address_);
  regained(boot_now());
}

void store_client::log_unreadable(const std::string& kind,
                                  const std::vector<std::string>& reasons) {
  for (const auto& why : reasons) {
    support::event_text line("store_object_unreadable");
    line.add("kind", kind).add_quoted("why", why);
    log_.line(support::line_class::process, line.text(), boot_now());
  }
}

void store_client::set_reached(bool reached, const std::string& why) {
  const auto now = boot_now();
  if (reached == !unreachable_since_) return;
  if (!reached) {
    unreachable_since_ = now;
    log_.line(support::line_class::process, "store_lost why=\"" + why + "\"", now);
    return;
  }
  const auto outage =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - *unreachable_since_);
  unreachable_since_.reset();
  log_.line(support::line_class::process,
            "store_regained away_ms=" + std::to_string(outage.count()), now);
}

asio::awaitable<std::optional<platform::stored_page>> store_client::list(std::string kind,
                                                                         platform::freshness data) {
  platform::stored_page listing;
  std::string after;
  for (;;) {
    const auto answer = co_await call(platform::list_objects(kind, after, data), list_timeout);
    if (!answer.done()) co_return std::nullopt;
    failure reason;
    auto page = platform::decode_page(answer.body, reason, answer.era);
    if (!page) {
      log_.line(support::line_class::process,
                "store_list_unreadable kind=" + kind + " why=\"" + reason.describe() + "\"",
                boot_now());
      co_return std::nullopt;
    }
    log_unreadable(kind, page->unreadable);
    if (listing.revision == 0) listing.revision = page->revision;
    // The pages before it are of an era whose objects may be gone.
    if (era_of(listing.revision) != answer.era) co_return std::nullopt;
    if (!page->objects.empty()) after = page->objects.back().name;
    std::ranges::move(page->objects, std::back_inserter(listing.objects));
    if (!page->more || page->objects.empty()) co_return listing;
  }
}

}  // namespace masticshunt::fleet
