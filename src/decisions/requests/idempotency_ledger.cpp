#include "masticshunt/decisions/requests/idempotency_ledger.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <list>
#include <unordered_map>
#include <utility>

namespace masticshunt::requests {

namespace {

struct record_key {
  std::string service;
  key_hash hash = 0;
  std::string idempotency_key;

  bool operator==(const record_key&) const = default;
};

struct record_key_hash {
  std::size_t operator()(const record_key& key) const {
    const std::hash<std::string> text_hash;
    return text_hash(key.idempotency_key) ^ (text_hash(key.service) * 31U) ^ key.hash;
  }
};

struct ledger_record {
  bool running = true;
  execution_status execution = execution_status::unknown;
  std::string caller;
  time_point last_used;
  already_answered answer;
  std::list<const record_key*>::iterator position;  ///< In `by_last_use`, or in `in_progress`.
};

record_key key_of(const request_descriptor& request) {
  return {request.service, request.hash, request.idempotency_key};
}

}  // namespace

struct idempotency_ledger::state {
  using table = std::unordered_map<record_key, ledger_record, record_key_hash>;

  explicit state(const ledger_settings& given) : settings(given) {}

  ledger_settings settings;
  table entries;
  std::list<const record_key*> by_last_use;  ///< Ended entries only, least recent first.
  std::list<const record_key*> in_progress;
  std::size_t answer_bytes = 0;
  ledger_counts counts;

  [[nodiscard]] duration retention() const {
    return settings.repeat_window + settings.delivery_bound;
  }

  void expire(time_point now) {
    while (!by_last_use.empty()) {
      const auto found = entries.find(*by_last_use.front());
      if (now - found->second.last_used < retention()) return;
      erase(found);
    }
  }

  void erase(table::iterator entry) {
    answer_bytes -= entry->second.answer.body.size();
    auto& order = entry->second.running ? in_progress : by_last_use;
    order.erase(entry->second.position);
    entries.erase(entry);
  }

  void keep_answer(ledger_record& entry, already_answered answer) {
    const std::size_t bytes = answer.body.size();
    const bool fits =
        bytes <= settings.answer_bytes_kept && answer_bytes + bytes <= settings.answer_bytes_total;
    answer.body_kept = answer.body_kept && fits;
    if (!answer.body_kept) answer.body.clear();
    answer_bytes += answer.body.size();
    entry.answer = std::move(answer);
  }

  [[nodiscard]] bool may_be_duplicate(const request_descriptor& request,
                                      const ownership_view& owner, time_point now) const {
    if (settings.faults.ignore_history_gap || owner.owned_since == time_point::min()) return false;
    if (now - owner.owned_since >= retention()) return false;
    return !is_proven_first_attempt(request, owner);
  }

  [[nodiscard]] bool is_proven_first_attempt(const request_descriptor& request,
                                             const ownership_view& owner) const {
    if (request.declared_attempt != 1U) return false;
    if (settings.faults.ignore_stale_route || !request.routed_fence) return true;
    return *request.routed_fence >= owner.fence;
  }

  idempotency_verdict answer_duplicate(const request_descriptor& request,
                                       const ledger_record& entry) {
    if (entry.running) return refuse_duplicate(refusal_reason::already_running);
    if (entry.execution != execution_status::answered || entry.caller != request.caller)
      return refuse_duplicate(refusal_reason::repeat_unknown);
    ++counts.duplicates_answered;
    return entry.answer;
  }

  idempotency_verdict refuse_duplicate(refusal_reason reason) {
    ++counts.duplicates_refused;
    return must_not_run{outcome::may_have_run, reason};
  }

  bool make_room(time_point now) {
    if (entries.size() < settings.capacity) return true;
    if (!settings.faults.evict_when_full || by_last_use.empty()) return false;
    const auto oldest = entries.find(*by_last_use.front());
    if (now - oldest->second.last_used < retention()) ++counts.evicted_early;
    erase(oldest);
    return true;
  }

  void insert_running(const request_descriptor& request, time_point now) {
    const auto [entry, inserted] = entries.try_emplace(key_of(request));
    entry->second.caller = request.caller;
    entry->second.last_used = now;
    entry->second.position = in_progress.insert(in_progress.end(), &entry->first);
    ++counts.runs;
    if (entries.size() > settings.capacity) ++counts.over_capacity;
  }

  /// Inserts an entry at or after `position` in order of last use; returns its position.
  std::list<const record_key*>::iterator import_after(
      std::list<const record_key*>::iterator position, const ledger_entry& given, time_point now) {
    const auto [entry, inserted] =
        entries.try_emplace({given.service, given.hash, given.idempotency_key});
    if (!inserted) return position;
    ledger_record& added = entry->second;
    added.running = false;
    added.caller = given.caller;
    added.execution = given.execution;
    added.last_used = now - std::clamp(given.age, duration{}, retention());
    position = std::find_if(position, by_last_use.end(), [&](const record_key* other) {
      return entries.find(*other)->second.last_used > added.last_used;
    });
    added.position = by_last_use.insert(position, &entry->first);
    keep_answer(added, given.answer);
    return added.position;
  }

  void move_to_ended(ledger_record& entry, const record_key& key, time_point now) {
    in_progress.erase(entry.position);
    entry.running = false;
    entry.last_used = now;
    entry.position = by_last_use.insert(by_last_use.end(), &key);
  }
};

idempotency_ledger::idempotency_ledger(ledger_settings settings)
    : state_(std::make_unique<state>(settings)) {}
idempotency_ledger::~idempotency_ledger() = default;
idempotency_ledger::idempotency_ledger(idempotency_ledger&&) noexcept = default;
idempotency_ledger& idempotency_ledger::operator=(idempotency_ledger&&) noexcept = default;

idempotency_verdict idempotency_ledger::begin(const request_descriptor& request,
                                              time_point owned_since, time_point now) {
  return begin(request, ownership_view{.owned_since = owned_since}, now);
}

idempotency_verdict idempotency_ledger::begin(const request_descriptor& request,
                                              const ownership_view& owner, time_point now) {
  state_->expire(now);
  if (const auto existing = state_->entries.find(key_of(request));
      existing != state_->entries.end())
    return state_->answer_duplicate(request, existing->second);
  if (state_->may_be_duplicate(request, owner, now))
    return state_->refuse_duplicate(refusal_reason::repeat_unknown);
  if (!state_->make_room(now)) {
    ++state_->counts.refused_full;
    return must_not_run{refusal_outcome(request), refusal_reason::overloaded};
  }
  state_->insert_running(request, now);
  return may_run{};
}

void idempotency_ledger::ended(const request_descriptor& request, execution_status execution,
                               already_answered answer, time_point now) {
  const auto found = state_->entries.find(key_of(request));
  if (found == state_->entries.end() || !found->second.running) return;
  const bool discard =
      execution == execution_status::did_not_run ||
      (execution == execution_status::unknown && state_->settings.faults.discard_unknown);
  if (discard) {
    state_->erase(found);
    return;
  }
  found->second.execution = execution;
  state_->move_to_ended(found->second, found->first, now);
  if (execution == execution_status::answered)
    state_->keep_answer(found->second, std::move(answer));
}

ledger_hand_over idempotency_ledger::export_range(std::string_view service, const hash_range& range,
                                                  time_point owned_since, time_point now) const {
  ledger_hand_over exported;
  if (owned_since != time_point::min()) exported.history_length = now - owned_since;
  const auto add = [&](const record_key* key) {
    if (key->service != service || !range.contains(key->hash)) return;
    const ledger_record& entry = state_->entries.find(*key)->second;
    exported.entries.push_back({key->service, key->hash, key->idempotency_key, entry.caller,
                                entry.execution, entry.running ? duration{} : now - entry.last_used,
                                entry.answer});
  };
  std::ranges::for_each(state_->by_last_use, add);
  std::ranges::for_each(state_->in_progress, add);
  return exported;
}

std::optional<time_point> idempotency_ledger::import_range(const ledger_hand_over& given,
                                                           time_point now) {
  state_->expire(now);
  if (state_->entries.size() + given.entries.size() > state_->settings.capacity)
    return std::nullopt;
  std::vector<const ledger_entry*> oldest_first;
  std::ranges::transform(given.entries, std::back_inserter(oldest_first),
                         [](const ledger_entry& entry) { return &entry; });
  std::ranges::sort(oldest_first, std::ranges::greater{}, &ledger_entry::age);
  auto position = state_->by_last_use.begin();
  std::ranges::for_each(oldest_first, [&](const ledger_entry* entry) {
    position = state_->import_after(position, *entry, now);
  });
  return given.history_length ? now - *given.history_length : time_point::min();
}

void idempotency_ledger::drop_range(std::string_view service, const hash_range& range) {
  for (auto entry = state_->entries.begin(); entry != state_->entries.end();) {
    const auto next = std::next(entry);
    if (!entry->second.running && entry->first.service == service &&
        range.contains(entry->first.hash))
      state_->erase(entry);
    entry = next;
  }
}

std::size_t idempotency_ledger::size() const {
  return state_->entries.size();
}

std::size_t idempotency_ledger::answer_bytes() const {
  return state_->answer_bytes;
}

const ledger_counts& idempotency_ledger::counts() const {
  return state_->counts;
}

}  // namespace masticshunt::requests
