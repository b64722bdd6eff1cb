#include "fleet/internal/store_watch.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;

namespace {

constexpr duration watch_duration = std::chrono::seconds{25};
constexpr duration watch_slack = std::chrono::seconds{2};
constexpr duration first_pause = std::chrono::milliseconds{100};
constexpr duration longest_pause = std::chrono::milliseconds{800};
constexpr duration confirmation_timeout = std::chrono::milliseconds{500};
constexpr int confirmation_calls_max = 2;

}  // namespace

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
  store_.on_era([this](store_era era) { era_began(era); });
}

void store_watch::era_began(store_era era) {
  if (!revision_ || era_of(*revision_) == era) return;
  forget_history();
  if (waiting_ != nullptr) waiting_->request();
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
  if (on_.up_to_date) on_.up_to_date(*revision_);
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
  // A listing comes in pages, so it can be read however many changes there were.
  if (answer.verdict == platform::store_verdict::history_gone || answer.too_large) {
    forget_history();
    co_return !answer.too_large;
  }
  failure reason;
  const auto changes = answer.done() ? answer.changes(reason) : std::nullopt;
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
  const store_revision from = *revision_;
  store_answer answer;
  // The second call uses a new connection.
  for (int calls = 0; calls < confirmation_calls_max && !answer.verdict; ++calls)
    answer = co_await store_.call(platform::watch_objects(kind_, from, std::chrono::milliseconds{1},
                                                          platform::freshness::current),
                                  confirmation_timeout);
  confirming_ = false;
  if (answer.era != era_of(from)) co_return;
  if (answer.verdict == platform::store_verdict::history_gone) {
    forget_history();
    store_.suspect_connections();
    co_return;
  }
  failure reason;
  const auto changes = answer.done() ? answer.changes(reason) : std::nullopt;
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
  if (on_.up_to_date) on_.up_to_date(changes.revision);
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
