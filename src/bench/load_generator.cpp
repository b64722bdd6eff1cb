#include "masticshunt/bench/load_generator.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "bench/internal/answer_check.h"
#include "bench/internal/http_exchange.h"

// GCC 12 reports the allocator of coroutine frames in Boost.Asio as a mismatched new/delete pair.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticshunt::bench {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable_t<strand_executor>{});
constexpr std::chrono::milliseconds retry_delay{20};

std::optional<tcp::endpoint> parse_endpoint(const endpoint& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return {};
  return tcp::endpoint(ip, static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
}

bool is_idempotent(const std::string& method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

/// Sends the scheduled requests. All coroutines run on one strand.
class load_generator::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(asio::io_context& context, const load_settings& settings)
      : settings_(settings),
        strand_(asio::make_strand(context)),
        timer_(strand_),
        random_(settings.schedule.seed ^ 0x9e3779b97f4a7c15ULL),
        schedule_(make_schedule(settings.schedule)) {
    result_.measured = settings.schedule.duration - settings.warm_up;
    result_.log.reserve(schedule_.size());
    for (const auto& kind : settings_.schedule.kinds) label_index(kind.label());
  }

  void start(std::function<void()> done) {
    done_ = std::move(done);
    asio::co_spawn(strand_, send_all(), asio::detached);
  }

  void cancel() {
    asio::dispatch(strand_, [self = shared_from_this()] {
      self->cancelled_ = true;
      self->timer_.cancel();
    });
  }

  [[nodiscard]] const load_result& result() const { return result_; }

 private:
  awaitable<void> send_all();
  awaitable<void> send_request(arrival next, std::uint64_t number);
  awaitable<attempt_log> attempt(outgoing_request request, endpoint agent, std::uint32_t kind,
                                 steady_time deadline, endpoint& owner_hint);

  [[nodiscard]] outgoing_request make_request(const request_kind& kind, const std::string& key,
                                              std::uint64_t number) const;
  [[nodiscard]] bool should_retry(attempt_outcome outcome, bool idempotent) const;
  endpoint pick_agent(const endpoint& last, const endpoint& owner_hint);
  connection_pool* pool(const endpoint& agent, std::uint32_t kind);
  std::size_t label_index(const std::string& label);
  void record_result(const request_log& log);
  void request_finished();

  const load_settings settings_;
  strand_executor strand_;
  strand_timer timer_;
  std::mt19937_64 random_;
  std::vector<arrival> schedule_;
  std::map<std::pair<endpoint, std::uint32_t>, connection_pool> pools_;
  load_result result_;
  steady_time start_;
  std::uint64_t running_ = 0;
  bool all_sent_ = false;
  bool cancelled_ = false;
  std::function<void()> done_;
};

awaitable<void> load_generator::implementation::send_all() {
  const auto self = shared_from_this();
  start_ = std::chrono::steady_clock::now();
  ++running_;
  std::uint64_t number = 0;
  for (const arrival& next : schedule_) {
    if (std::chrono::steady_clock::now() < start_ + next.at) {
      timer_.expires_at(start_ + next.at);
      co_await timer_.async_wait(as_result);
    }
    if (cancelled_) break;
    ++running_;
    asio::co_spawn(strand_, send_request(next, ++number), asio::detached);
  }
  all_sent_ = true;
  request_finished();
}

void load_generator::implementation::request_finished() {
  --running_;
  if (!all_sent_ || running_ > 0) return;
  pools_.clear();
  done_();
}

outgoing_request load_generator::implementation::make_request(const request_kind& kind,
                                                              const std::string& key,
                                                              std::uint64_t number) const {
  outgoing_request request;
  request.method = kind.method;
  request.target = (settings_.direct ? "/" : "/s/") + kind.service + "/" + key;
  if (kind.answer_bytes > 0) {
    request.target += "?answer_bytes=" + std::to_string(kind.answer_bytes);
  }
  request.rank = kind.rank;
  request.caller = "caller-" + std::to_string(number % settings_.callers);
  request.body_bytes = kind.body_bytes;
  request.answer_bytes = kind.answer_bytes;
  request.direct = settings_.direct;
  if (!is_idempotent(kind.method)) {
    request.idempotency_key = settings_.name + "-i" + std::to_string(settings_.schedule.seed) +
                              "-" + std::to_string(number);
  }
  return request;
}

awaitable<void> load_generator::implementation::send_request(arrival next, std::uint64_t number) {
  const auto self = shared_from_this();
  const auto& kind = settings_.schedule.kinds[next.kind];
  const std::string key = kind.key.empty() ? key_name(next.key) : kind.key;
  outgoing_request request = make_request(kind, key, number);
  request_log log;
  log.kind = next.kind;
  log.service = kind.service;
  log.key = key;
  log.idempotency_key = request.idempotency_key;
  log.scheduled = next.at;
  const steady_time deadline = start_ + next.at + kind.deadline;
  endpoint agent;
  endpoint owner_hint;
  std::uint32_t attempts_sent = 0;
  while (true) {
    agent = pick_agent(agent, owner_hint);
    request.attempt = attempts_sent + 1;
    request.request_id = settings_.name + "-r" + std::to_string(settings_.schedule.seed) + "-" +
                         std::to_string(number) + "-" + std::to_string(log.attempts.size() + 1);
    log.body_hash = request.body_bytes > 0 ? hash_of_body(request) : 0;
    auto ended = co_await attempt(request, agent, next.kind, deadline, owner_hint);
    const attempt_outcome outcome = ended.outcome;
    attempts_sent += outcome == attempt_outcome::unreachable ? 0 : 1;
    log.attempts.push_back(std::move(ended));
    const bool retry = log.attempts.size() < settings_.retry.attempts_max &&
                       should_retry(outcome, request.idempotency_key.empty()) &&
                       std::chrono::steady_clock::now() + retry_delay < deadline;
    if (!retry) break;
    strand_timer pause(strand_, retry_delay * log.attempts.size());
    co_await pause.async_wait(as_result);
  }
  log.ended = std::chrono::steady_clock::now() - start_;
  record_result(log);
  result_.log.push_back(std::move(log));
  request_finished();
}

bool load_generator::implementation::should_retry(attempt_outcome outcome, bool idempotent) const {
  switch (outcome) {
    case attempt_outcome::served:
    case attempt_outcome::invalid_answer:
      return false;
    case attempt_outcome::not_run:
      return settings_.retry.after_not_run;
    case attempt_outcome::unreachable:
      return settings_.retry.after_unreachable;
    default:
      return idempotent || settings_.retry.after_may_have_run;
  }
}

endpoint load_generator::implementation::pick_agent(const endpoint& last,
                                                    const endpoint& owner_hint) {
  const auto& agents = settings_.agents;
  if (settings_.retry.follows_owner_hint && !owner_hint.empty() && owner_hint != last) {
    return owner_hint;
  }
  const auto first = random_() % agents.size();
  if (agents[first] != last || agents.size() == 1) return agents[first];
  return agents[(first + 1) % agents.size()];
}

connection_pool* load_generator::implementation::pool(const endpoint& agent, std::uint32_t kind) {
  const auto found = pools_.find({agent, kind});
  if (found != pools_.end()) return &found->second;
  const auto address = parse_endpoint(agent);
  if (!address) return nullptr;
  return &pools_.try_emplace({agent, kind}, strand_, *address, settings_.connections_per_kind)
              .first->second;
}

awaitable<attempt_log> load_generator::implementation::attempt(outgoing_request request,
                                                               endpoint agent, std::uint32_t kind,
                                                               steady_time deadline,
                                                               endpoint& owner_hint) {
  attempt_log log;
  log.request_id = request.request_id;
  log.agent = agent;
  connection_pool* connections = pool(agent, kind);
  if (!connections) co_return log;
  auto connection = co_await connections->acquire(deadline);
  if (!connection) {
    log.reason = "no connection within the deadline";
    co_return log;
  }
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  request.time_remaining = std::max(remaining, std::chrono::milliseconds(1));
  const auto answer = co_await exchange(*connection, request, deadline + settings_.answer_grace);
  log.status = answer.status;
  log.outcome = classify_answer(request, answer, log.reason);
  owner_hint = answer.owner;
  const bool reusable = answer.complete && answer.keep_alive;
  connections->release(reusable ? std::move(connection) : nullptr);
  co_return log;
}

std::size_t load_generator::implementation::label_index(const std::string& label) {
  const auto found = std::ranges::find(result_.labels, label, &label_result::label);
  if (found != result_.labels.end()) return found - result_.labels.begin();
  label_result added;
  added.label = label;
  const auto intervals = settings_.schedule.duration / result_interval + 1;
  added.served_per_interval.resize(static_cast<std::size_t>(intervals));
  result_.labels.push_back(std::move(added));
  return result_.labels.size() - 1;
}

void load_generator::implementation::record_result(const request_log& log) {
  auto& label = result_.labels[label_index(settings_.schedule.kinds[log.kind].label())];
  if (log.outcome() == attempt_outcome::served) {
    ++label.served_per_interval[static_cast<std::size_t>(log.scheduled / result_interval)];
    const bool measured = settings_.warm_up <= log.ended && log.ended < settings_.schedule.duration;
    label.completed += measured ? 1 : 0;
  }
  if (log.scheduled < settings_.warm_up) return;
  ++label.offered;
  label.retries += log.attempts.size() - 1;
  ++label.outcomes[static_cast<std::size_t>(log.outcome())];
  auto& histogram =
      log.outcome() == attempt_outcome::served ? label.latency : label.refusal_latency;
  histogram.record(log.ended - log.scheduled);
}

load_generator::load_generator(asio::io_context& context, const load_settings& settings)
    : implementation_(std::make_shared<implementation>(context, settings)) {}

load_generator::~load_generator() {
  implementation_->cancel();
}

void load_generator::start(std::function<void()> done) {
  implementation_->start(std::move(done));
}
void load_generator::cancel() {
  implementation_->cancel();
}
const load_result& load_generator::result() const {
  return implementation_->result();
}

}  // namespace masticshunt::bench
