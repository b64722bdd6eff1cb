#include "fleet/internal/store_client.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration watch_duration = std::chrono::seconds{25};
constexpr duration watch_slack = std::chrono::seconds{2};
constexpr duration list_timeout = std::chrono::milliseconds{1'500};
constexpr duration first_pause = std::chrono::milliseconds{100};
constexpr duration longest_pause = std::chrono::milliseconds{800};
constexpr duration confirmation_timeout = std::chrono::milliseconds{500};
constexpr int confirmation_calls_max = 2;

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
    // Nothing was sent, so the call has not taken effect.
    if (exchange.result == exchange_result::not_connected)
      answer.verdict = platform::store_verdict::refused;
    set_reached(false, "no answer " + exchange.detail);
    unanswered_at_ = boot_now();
    pool_.drop_idle(address_);
    co_return answer;
  }
  answer.verdict = platform::store_verdict_of(exchange.status);
  answer.body = exchange.body->buffered();
  const bool refused = answer.verdict == platform::store_verdict::refused;
  if (refused) ++counts_.refused;
  set_reached(!refused, "status=" + std::to_string(exchange.status));
  if (unanswered_at_) regained(*std::exchange(unanswered_at_, std::nullopt));
  co_return answer;
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
    auto page = platform::decode_page(answer.body, reason);
    if (!page) {
      log_.line(support::line_class::process,
                "store_list_unreadable kind=" + kind + " why=\"" + reason.describe() + "\"",
                boot_now());
      co_return std::nullopt;
    }
    log_unreadable(kind, page->unreadable);
    if (listing.revision == 0) listing.revision = page->revision;
    if (!page->objects.empty()) after = page->objects.back().name;
    std::ranges::move(page->objects, std::back_inserter(listing.objects));
    if (!page->more || page->objects.empty()) co_return listing;
  }
}

store_watch::store_watch(store_client& store, std::string kind, reading how, handlers on)
    : store_(store),
      kind_(std::move(kind)),
      how_(how),
      on_(std::move(on)),
      pause_(store.executor()),
      listing_data_(how.first_listing) {
  store_.on_regained([this](time_point lost_at) {
    if (waiting_ != nullptr && waiting_since_ < lost_at) waiting_->request();
  });
}

asio::awaitable<void> store_watch::wait(duration span) {
  boost::system::error_code ignored;
  pause_.expires_after(span);
  co_await pause_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> store_watch::run() {
  duration pause = first_pause;
  for (;;) {
    const bool succeeded = revision_ ? co_await watch() : co_await list();
    if (succeeded) {
      pause = first_pause;
      continue;
    }
    co_await wait(pause);
    pause = std::min(pause * 2, longest_pause);
  }
}

asio::awaitable<bool> store_watch::list() {
  const auto listing = co_await store_.list(kind_, listing_data_);
  if (!listing) co_return false;
  revision_ = listing->revision;
  listing_data_ = how_.changes;
  on_.listed(listing->objects);
  if (on_.up_to_date) on_.up_to_date();
  co_return true;
}

asio::awaitable<bool> store_watch::watch() {
  cancellation cancel;
  waiting_ = &cancel;
  waiting_since_ = boot_now();
  const auto opened = waiting_since_;
  const auto answer = co_await store_.call(
      platform::watch_objects(kind_, *revision_,
                              std::chrono::duration_cast<std::chrono::milliseconds>(watch_duration),
                              how_.changes),
      watch_duration + watch_slack, &cancel);
  waiting_ = nullptr;
  // What a watch that was given up brought may be older than what came since.
  if (cancel.requested()) co_return true;
  if (answer.verdict == platform::store_verdict::history_gone) {
    forget_history();
    co_return true;
  }
  failure reason;
  const auto changes = answer.done() ? platform::decode_changes(answer.body, reason) : std::nullopt;
  if (!changes) {
    log_lost_watch(answer, opened);
    co_return false;
  }
  apply(*changes);
  if (!changes->changes.empty() && how_.batching > duration{}) co_await wait(how_.batching);
  co_return true;
}

asio::awaitable<void> store_watch::confirm() {
  if (!revision_ || confirming_) co_return;
  confirming_ = true;
  store_answer answer;
  // The second call uses a new connection.
  for (int calls = 0; calls < confirmation_calls_max && !answer.verdict; ++calls)
    answer = co_await store_.call(
        platform::watch_objects(kind_, *revision_, std::chrono::milliseconds{1},
                                platform::freshness::current),
        confirmation_timeout);
  confirming_ = false;
  if (answer.verdict == platform::store_verdict::history_gone) {
    forget_history();
    store_.suspect_connections();
    co_return;
  }
  failure reason;
  const auto changes = answer.done() ? platform::decode_changes(answer.body, reason) : std::nullopt;
  if (!changes) co_return;
  const bool was_late = !changes->changes.empty() && waiting_ != nullptr;
  apply(*changes);
  if (was_late) store_.suspect_connections();
}

void store_watch::apply(const platform::stored_changes& changes) {
  // An answer that may be old can state an earlier revision than the last one.
  revision_ = std::max(revision_.value_or(0), changes.revision);
  store_.log_unreadable(kind_, changes.unreadable);
  std::ranges::for_each(changes.changes, on_.changed);
  if (on_.up_to_date) on_.up_to_date();
}

void store_watch::forget_history() {
  store_.log().line(support::line_class::process, "store_history_gone kind=" + kind_, boot_now());
  revision_.reset();
}

void store_watch::log_lost_watch(const store_answer& answer, time_point opened) {
  support::event_text line("watch_lost");
  line.add("kind", kind_)
      .add("revision", *revision_)
      .add("open_ms", boot_now() - opened)
      .add("answered", answer.verdict ? "yes" : "no");
  store_.log().line(support::line_class::process, line.text(), boot_now());
}

}  // namespace masticshunt::fleet
