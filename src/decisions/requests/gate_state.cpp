#include "decisions/requests/internal/gate_state.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace masticshunt::requests {

namespace {

constexpr std::size_t stalled_keys_max = 1024;
constexpr std::uint32_t parked_per_key_divisor = 8;  // A key may park 1/8 of its rank's queue.
constexpr std::uint32_t rank_capacity_min = 4;
constexpr double wait_service_times_max = 4;
constexpr double limit_growth_max = 4;
constexpr duration retry_after_min = std::chrono::milliseconds{10};
constexpr duration retry_after_max = std::chrono::seconds{5};
constexpr duration overdue_after_min = std::chrono::milliseconds{5};

std::size_t rank_count(const gate_settings& settings) {
  return std::max<std::size_t>(settings.ranks.size(), 1);
}

std::uint32_t capacity_of_rank(const gate_settings& settings) {
  const auto share = settings.queue_capacity / static_cast<std::uint32_t>(rank_count(settings));
  return std::max(share, rank_capacity_min);
}

std::size_t pool_capacity(const gate_settings& settings) {
  const std::size_t waiting = capacity_of_rank(settings) * rank_count(settings);
  const auto running = static_cast<std::size_t>(settings.slots * limit_growth_max) + 1;
  return waiting + running + 1;
}

std::vector<double> floors_of(const gate_settings& settings) {
  std::vector<double> floors;
  std::ranges::transform(settings.ranks, std::back_inserter(floors), &rank_policy::floor);
  floors.resize(rank_count(settings));
  return floors;
}

gate_settings with_default_rank(gate_settings settings) {
  if (settings.ranks.empty()) settings.ranks.emplace_back();
  settings.slots = std::max(settings.slots, 1U);
  return settings;
}

std::uint64_t caller_hash(const request_descriptor& request) {
  return XXH64(request.caller.data(), request.caller.size(), request.rank + 1);
}

duration scaled(duration span, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace

gate::state::state(gate_settings given, std::size_t held)
    : settings(with_default_rank(std::move(given))),
      attempts(pool_capacity(settings) + held),
      callers(pool_capacity(settings) + held),
      keys(pool_capacity(settings) + held, stalled_keys_max, rank_count(settings)),
      shares(floors_of(settings)),
      ranks(rank_count(settings)),
      limit({.algorithm = settings.algorithm,
             .start = static_cast<double>(settings.slots),
             .growth_max = limit_growth_max,
             .latency_classes = rank_count(settings)}),
      rank_capacity(capacity_of_rank(settings)) {}

void gate::state::offer(const request_descriptor& request, time_point now, gate_actions& actions) {
  ++counts.offered;
  attempt_entry entry{.attempt = request.attempt,
                      .caller = caller_hash(request),
                      .key = request.hash,
                      .offered_at = now,
                      .deadline = request.deadline,
                      .rank = request.rank};
  if (request.rank >= ranks.size() || attempts.find(request.attempt) != no_index)
    return refuse(request.attempt, 0, refusal_reason::bad_request, actions);
  if (!can_meet_deadline(entry, now) && !settings.faults.ignore_deadlines)
    return refuse(request.attempt, request.rank, refusal_reason::deadline_passed, actions);
  if (!make_room(entry, now, actions))
    return refuse(request.attempt, request.rank, refusal_reason::overloaded, actions);
  entry.expires_at = wait_deadline(entry);
  const pool_index index = attempts.add(entry);
  attempts.at(index).key_node = keys.acquire(entry.key);
  enqueue(index, now);
  if (waiting(entry.rank) > rank_capacity) ++counts.queue_bound_broken;
}

bool gate::state::can_meet_deadline(const attempt_entry& entry, time_point now) const {
  if (now >= entry.deadline) return false;
  return running == 0 || now + ranks[entry.rank].service.median() <= entry.deadline;
}

bool gate::state::make_room(const attempt_entry& entry, time_point now, gate_actions& actions) {
  if (attempts.full()) return false;
  if (settings.faults.ignore_queue_bound || waiting(entry.rank) < rank_capacity) return true;
  const rank_queue& rank = ranks[entry.rank];
  if (rank.callers.size == 0) return false;
  const std::uint32_t own = callers.queued(entry.caller);
  const pool_index longest = callers.longest_of_next(rank.callers);
  const attempt_list& queue = callers.at(longest).queue;
  const bool own_is_longest = own >= queue.size;
  const bool newest_wins =
      settings.discipline == queue_discipline::newest_first && has_lasting_backlog(entry.rank, now);
  if (own_is_longest && !newest_wins) return false;
  refuse_waiting(queue.head, refusal_reason::overloaded, actions);
  return true;
}

void gate::state::enqueue(pool_index index, time_point now) {
  attempt_entry& entry = attempts.at(index);
  rank_queue& rank = ranks[entry.rank];
  if (waiting(entry.rank) == 0) rank.backlog_since = now;
  entry.stage = attempt_stage::queued;
  callers.push_back(rank.callers, attempts, index);
  ++shares.at(entry.rank).eligible;
}

void gate::state::dequeue(pool_index index) {
  const attempt_entry& entry = attempts.at(index);
  callers.unlink(ranks[entry.rank].callers, attempts, index);
  --shares.at(entry.rank).eligible;
}

void gate::state::park(pool_index index) {
  dequeue(index);
  attempt_entry& entry = attempts.at(index);
  entry.stage = attempt_stage::parked;
  attempts.push_back(keys.parked(entry.key_node, entry.rank), index);
  ++keys.at(entry.key_node).parked;
  ++ranks[entry.rank].parked;
}

void gate::state::unpark(pool_index key_index) {
  key_node& key = keys.at(key_index);
  const std::uint32_t allowed = allowance(key);
  for (std::uint32_t room = allowed > key.running ? allowed - key.running : 0;
       room > 0 && key.parked > 0; --room) {
    const std::size_t rank = keys.first_parked_rank(key_index);
    attempt_list& list = keys.parked(key_index, rank);
    const pool_index index = list.head;
    attempts.unlink(list, index);
    --key.parked;
    --ranks[rank].parked;
    attempts.at(index).stage = attempt_stage::queued;
    callers.push_front(ranks[rank].callers, attempts, index);
    ++shares.at(rank).eligible;
  }
}

void gate::state::dispatch(time_point now, gate_actions& actions) {
  mark_overdue(now);
  while (running + 1 <= limit.value()) {
    const auto rank = shares.next(limit.value(), settings.faults.ignore_floors);
    if (!rank) return;
    if (const auto index = take_next(*rank, now, actions)) start(*index, now, actions);
  }
}

std::optional<pool_index> gate::state::take_next(std::size_t rank, time_point now,
                                                 gate_actions& actions) {
  const pool_index index = next_in_turn(rank, now);
  const attempt_entry& entry = attempts.at(index);
  const key_node& key = keys.at(entry.key_node);
  if (!can_meet_deadline(entry, now) && !settings.faults.ignore_deadlines) {
    refuse_waiting(index, refusal_reason::deadline_passed, actions);
    return std::nullopt;
  }
  if (waited_too_long(entry, now)) {
    refuse_waiting(index, refusal_reason::overloaded, actions);
    return std::nullopt;
  }
  if (key.stalled && key.running == 0 && stalled_keys_at_limit()) {
    refuse_waiting(index, refusal_reason::overloaded, actions);
    return std::nullopt;
  }
  if (key.running >= allowance(key)) {
    if (key.parked >= std::max(1U, rank_capacity / parked_per_key_divisor)) {
      refuse_waiting(index, refusal_reason::overloaded, actions);
    } else {
      park(index);
    }
    return std::nullopt;
  }
  dequeue(index);
  callers.advance(ranks[rank].callers);
  return index;
}

pool_index gate::state::next_in_turn(std::size_t rank, time_point now) const {
  const attempt_list& queue = callers.at(ranks[rank].callers.head).queue;
  const bool newest =
      settings.discipline == queue_discipline::newest_first && has_lasting_backlog(rank, now);
  return newest ? queue.tail : queue.head;
}

bool gate::state::waited_too_long(const attempt_entry& entry, time_point now) const {
  if (settings.discipline != queue_discipline::controlled_delay) return false;
  const duration service = ranks[entry.rank].service.median();
  const duration bound = std::max(settings.ranks[entry.rank].target - service,
                                  scaled(service, wait_service_times_max));
  return has_lasting_backlog(entry.rank, now) && now - entry.offered_at > bound;
}

void gate::state::start(pool_index index, time_point now, gate_actions& actions) {
  attempt_entry& entry = attempts.at(index);
  key_node& key = keys.at(entry.key_node);
  if (now >= entry.deadline) ++counts.started_late;
  if ((key.stalled || key.overdue > 0) && key.running > 0) ++counts.key_bound_broken;
  if (!shares.started(entry.rank, limit.value())) ++counts.floor_broken;
  ++key.running;
  entry.stage = attempt_stage::running;
  entry.started_at = now;
  insert_running(index);
  attempts.set_expiry(index, entry.deadline);
  ++counts.started;
  actions.emplace_back(start_attempt{entry.attempt});
}

void gate::state::insert_running(pool_index index) {
  const attempt_entry& entry = attempts.at(index);
  rank_queue& rank = ranks[entry.rank];
  attempts.push_back(rank.running, index);
  if (rank.first_not_overdue == no_index) rank.first_not_overdue = index;
  ++shares.at(entry.rank).running;
  ++running;
}

void gate::state::mark_overdue(time_point now) {
  for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
    pool_index& index = ranks[rank].first_not_overdue;
    const duration bound = overdue_after(rank);
    while (index != no_index && now - attempts.at(index).started_at > bound) {
      attempt_entry& entry = attempts.at(index);
      entry.overdue = true;
      ++overdue;
      key_node& key = keys.at(entry.key_node);
      ++key.overdue;
      key.stalled = true;
      index = entry.next;
    }
  }
}

void gate::state::finish(pool_index index, attempt_result result, time_point now) {
  attempt_entry& entry = attempts.at(index);
  rank_queue& rank = ranks[entry.rank];
  observe_end(entry, result, now);
  if (rank.first_not_overdue == index) rank.first_not_overdue = entry.next;
  attempts.unlink(rank.running, index);
  --shares.at(entry.rank).running;
  --running;
  key_node& key = keys.at(entry.key_node);
  --key.running;
  if (entry.overdue) {
    --key.overdue;
    --overdue;
  }
  const bool quick = !entry.overdue && result == attempt_result::answered;
  if (quick && key.overdue == 0) key.stalled = false;
  unpark(entry.key_node);
  keys.release(entry.key_node);
  attempts.release(index);
}

void gate::state::observe_end(const attempt_entry& entry, attempt_result result, time_point now) {
  const duration service = now - entry.started_at;
  const bool few_stall = overdue > 0 && 2 * overdue < running;
  if (!few_stall) limit.observe({entry.rank, service, running, result});
  if (result == attempt_result::answered) ranks[entry.rank].service.observe(service);
}

void gate::state::remove_waiting(pool_index index) {
  const attempt_entry& entry = attempts.at(index);
  if (entry.stage == attempt_stage::queued) {
    dequeue(index);
  } else {
    attempts.unlink(keys.parked(entry.key_node, entry.rank), index);
    --keys.at(entry.key_node).parked;
    --ranks[entry.rank].parked;
  }
  keys.release(entry.key_node);
  attempts.release(index);
}

void gate::state::refuse(attempt_id attempt, std::size_t rank, refusal_reason reason,
                         gate_actions& actions) {
  ++(reason == refusal_reason::deadline_passed ? counts.refused_deadline
                                               : counts.refused_overloaded);
  actions.emplace_back(refuse_attempt{attempt, reason, retry_after(rank)});
}

void gate::state::refuse_waiting(pool_index index, refusal_reason reason, gate_actions& actions) {
  const attempt_entry& entry = attempts.at(index);
  refuse(entry.attempt, entry.rank, reason, actions);
  remove_waiting(index);
}

void gate::state::advance(time_point now) {
  shares.advance(limit.value(), longest_usual_service(), now);
}

void gate::state::expire(time_point now, gate_actions& actions) {
  for (pool_index index = attempts.first_to_expire();
       index != no_index && attempts.at(index).expires_at <= now;
       index = attempts.first_to_expire()) {
    attempt_entry& entry = attempts.at(index);
    if (entry.stage == attempt_stage::running) {
      entry.cancelled = true;
      actions.emplace_back(cancel_attempt{entry.attempt});
      ++counts.cancelled;
      attempts.set_expiry(index, time_point::max());
      continue;
    }
    const bool deadline = !can_meet_deadline(entry, now);
    refuse_waiting(index, deadline ? refusal_reason::deadline_passed : refusal_reason::overloaded,
                   actions);
  }
}

time_point gate::state::wait_deadline(const attempt_entry& entry) const {
  if (settings.faults.ignore_deadlines) return time_point::max();
  const duration service = ranks[entry.rank].service.median();
  const duration wait_max =
      std::max(settings.ranks[entry.rank].target, scaled(service, wait_service_times_max));
  return std::min(entry.deadline - service, entry.offered_at + wait_max);
}

std::uint32_t gate::state::allowance(const key_node& key) const {
  const auto share = static_cast<std::uint32_t>(std::ceil(limit.value() * settings.key_share));
  if (settings.faults.ignore_key_bound) return UINT32_MAX;
  return key.stalled || key.overdue > 0 ? 1 : std::max(1U, share);
}

bool gate::state::stalled_keys_at_limit() const {
  return !settings.faults.ignore_key_bound && overdue >= limit.value() * settings.stalled_share;
}

duration gate::state::overdue_after(std::size_t rank) const {
  const duration usual = ranks[rank].service.median();
  if (usual == duration{}) return duration::max();
  return std::max(overdue_after_min, scaled(usual, settings.stalled_after));
}

bool gate::state::has_lasting_backlog(std::size_t rank, time_point now) const {
  return shares.at(rank).eligible > 0 && now - ranks[rank].backlog_since > settings.backlog_after;
}

std::uint32_t gate::state::waiting(std::size_t rank) const {
  return shares.at(rank).eligible + ranks[rank].parked;
}

duration gate::state::longest_usual_service() const {
  const auto longest = std::ranges::max_element(
      ranks, {}, [](const rank_queue& rank) { return rank.service.median(); });
  return longest->service.median();
}

duration gate::state::retry_after(std::size_t rank) const {
  const double rounds = waiting(rank) / std::max(limit.value(), 1.0);
  return std::clamp(scaled(ranks[rank].service.median(), rounds), retry_after_min, retry_after_max);
}

void gate::state::adopt(const state& other, time_point now) {
  const auto rank_named = [this](const std::string& name) {
    const auto found = std::ranges::find(settings.ranks, name, &rank_policy::name);
    const auto last = std::prev(settings.ranks.end());
    return static_cast<std::uint32_t>((found == settings.ranks.end() ? last : found) -
                                      settings.ranks.begin());
  };
  std::vector<attempt_entry> held;
  other.attempts.for_each([&](const attempt_entry& entry) { held.push_back(entry); });
  std::ranges::sort(held, {}, [](const attempt_entry& entry) {
    return entry.stage == attempt_stage::running ? entry.started_at : entry.offered_at;
  });
  for (std::size_t rank = 0; rank < other.ranks.size(); ++rank)
    ranks[rank_named(other.settings.ranks[rank].name)].service = other.ranks[rank].service;
  std::ranges::for_each(held, [&](attempt_entry entry) {
    const bool runs = entry.stage == attempt_stage::running;
    entry.rank = rank_named(other.settings.ranks[entry.rank].name);
    const pool_index index = attempts.add(entry);
    attempts.at(index).key_node = keys.acquire(entry.key);
    attempts.at(index).overdue = false;
    if (!runs) return enqueue(index, now);
    ++keys.at(attempts.at(index).key_node).running;
    insert_running(index);
  });
  const bool same_ranks = std::ranges::equal(settings.ranks, other.settings.ranks, {},
                                             &rank_policy::name, &rank_policy::name);
  if (same_ranks && settings.slots == other.settings.slots &&
      settings.algorithm == other.settings.algorithm)
    limit = other.limit;
  counts = other.counts;
}

}  // namespace masticshunt::requests
