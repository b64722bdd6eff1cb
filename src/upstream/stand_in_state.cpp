#include "upstream/internal/stand_in_state.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace masticshunt::upstream {

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || text.empty()) return {};
  return value;
}

bool is_idempotent(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

template <class Value>
void read_member(const nlohmann::json& object, const char* name, Value& value) {
  if (object.contains(name)) value = object.at(name).get<Value>();
}

template <class Value>
void read_member(const nlohmann::json& object, const char* name, std::optional<Value>& value) {
  if (!object.contains(name)) return;
  value =
      object.at(name).is_null() ? std::nullopt : std::optional<Value>(object.at(name).get<Value>());
}

template <class Duration>
void read_time(const nlohmann::json& object, const char* name, Duration& value) {
  if (object.contains(name)) value = Duration{object.at(name).get<std::uint32_t>()};
}

}  // namespace

std::optional<fence_token> parse_fence(std::string_view text) {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) return {};
  const auto epoch = parse_number(text.substr(0, dot));
  const auto sequence = parse_number(text.substr(dot + 1));
  if (!epoch || !sequence) return {};
  return fence_token{*epoch, *sequence};
}

std::optional<stand_in_faults> parse_faults(std::string_view text, const stand_in_faults& current,
                                            failure& reason) {
  try {
    const auto object = nlohmann::json::parse(text);
    stand_in_faults faults = current;
    read_time(object, "lag_us", faults.lag);
    read_member(object, "freeze", faults.frozen);
    read_member(object, "shed_share", faults.shed_share);
    read_member(object, "ignore_fences", faults.ignores_fences);
    read_member(object, "claimed_healthy", faults.claimed_healthy);
    read_member(object, "claimed_busy", faults.claimed_busy);
    read_member(object, "stalled_key", faults.stalled_key);
    read_time(object, "stall_ms", faults.stall);
    read_member(object, "state", faults.announced_state);
    return faults;
  } catch (const nlohmann::json::exception& error) {
    reason = {failure_kind::bad_input, std::string("the faults cannot be read: ") + error.what(),
              "send a JSON object as described in masticshunt/upstream/stand_in.h"};
    return {};
  }
}

std::string_view to_string(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::running:
      return "running";
    case run_outcome::finished:
      return "finished";
    case run_outcome::cancelled:
      return "cancelled";
    case run_outcome::timed_out:
      return "timed-out";
    case run_outcome::lost:
      return "lost";
  }
  return "unknown";
}

std::string to_json(const std::vector<run_record>& records) {
  auto list = nlohmann::json::array();
  for (const auto& record : records) {
    list.push_back({{"number", record.number},
                    {"upstream", record.upstream},
                    {"incarnation", record.incarnation},
                    {"method", record.method},
                    {"service", record.service},
                    {"key", record.key},
                    {"identity", record.idempotency_key},
                    {"request_id", record.request_id},
                    {"rank", record.rank},
                    {"fence", to_string(record.fence)},
                    {"body_bytes", record.body_bytes},
                    {"body_xxh64", record.body_hash},
                    {"started_ns", record.started.time_since_epoch().count()},
                    {"ended_ns", record.ended.time_since_epoch().count()},
                    {"end", to_string(record.outcome)},
                    {"out_of_reach", record.out_of_reach}});
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

stand_in_state::stand_in_state(const stand_in_settings& settings)
    : settings_(settings), random_(settings.seed), incarnation_(settings.incarnation) {}

stand_in_faults stand_in_state::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void stand_in_state::set_faults(const stand_in_faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

bool stand_in_state::reject_stale_fence(const stand_in_request& request) {
  const std::lock_guard lock(mutex_);
  if (!settings_.checks_fences || faults_.ignores_fences || !request.fence) return false;
  auto& highest = fences_[request.key];
  if (*request.fence < highest) {
    ++counts_.fenced;
    return true;
  }
  highest = *request.fence;
  return false;
}

bool stand_in_state::shed_by_fault() {
  const std::lock_guard lock(mutex_);
  if (faults_.shed_share <= 0) return false;
  const bool refuse = std::uniform_real_distribution<>(0, 1)(random_) < faults_.shed_share;
  counts_.shed += refuse ? 1 : 0;
  return refuse;
}

std::chrono::microseconds stand_in_state::draw_service_time(const stand_in_request& request) {
  const std::lock_guard lock(mutex_);
  const double spread = settings_.service_time_spread;
  const double factor = std::uniform_real_distribution<>(1 - spread, 1 + spread)(random_);
  auto time =
      std::chrono::duration_cast<std::chrono::microseconds>(settings_.service_time * factor);
  time += faults_.lag;
  if (!faults_.stalled_key.empty() && request.key == faults_.stalled_key) time += faults_.stall;
  return time;
}

std::uint64_t stand_in_state::begin_run(const stand_in_request& request, const endpoint& upstream,
                                        time_point now) {
  const std::lock_guard lock(mutex_);
  ++counts_.runs;
  if (!settings_.records_idempotent && is_idempotent(request.method)) return 0;
  run_record record;
  record.number = records_.size() + 1;
  record.upstream = upstream;
  record.incarnation = incarnation_;
  record.method = request.method;
  record.service = request.service;
  record.key = request.key;
  record.idempotency_key = request.idempotency_key;
  record.request_id = request.request_id;
  record.rank = request.rank;
  record.fence = request.fence.value_or(fence_token{});
  record.body_bytes = request.body_bytes;
  record.body_hash = request.body_hash;
  record.started = now;
  record.out_of_reach = request.out_of_reach;
  records_.push_back(std::move(record));
  running_.push_back(records_.size());
  return records_.size();
}

void stand_in_state::end_run(std::uint64_t number, run_outcome outcome, time_point now) {
  const std::lock_guard lock(mutex_);
  if (std::erase(running_, number) == 0) return;
  records_[number - 1].ended = now;
  records_[number - 1].outcome = outcome;
}

void stand_in_state::mark_running_out_of_reach() {
  const std::lock_guard lock(mutex_);
  std::ranges::for_each(running_,
                        [&](std::uint64_t number) { records_[number - 1].out_of_reach = true; });
}

void stand_in_state::end_incarnation(time_point now) {
  const std::lock_guard lock(mutex_);
  std::ranges::for_each(running_, [&](std::uint64_t number) {
    records_[number - 1].ended = now;
    records_[number - 1].outcome = run_outcome::lost;
  });
  running_.clear();
  fences_.clear();
  ++incarnation_;
}

void stand_in_state::count_shed() {
  const std::lock_guard lock(mutex_);
  ++counts_.shed;
}

void stand_in_state::count_late() {
  const std::lock_guard lock(mutex_);
  ++counts_.late;
}

void stand_in_state::count_truncated_body() {
  const std::lock_guard lock(mutex_);
  ++counts_.truncated_bodies;
}

void stand_in_state::count_refused_connection() {
  const std::lock_guard lock(mutex_);
  ++counts_.connections_refused;
}

std::uint64_t stand_in_state::incarnation() const {
  const std::lock_guard lock(mutex_);
  return incarnation_;
}

std::vector<run_record> stand_in_state::records() const {
  const std::lock_guard lock(mutex_);
  return {records_.begin(), records_.end()};
}

stand_in_counts stand_in_state::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace masticshunt::upstream
