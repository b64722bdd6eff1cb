#include "masticshunt/decisions/requests/gate.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "decisions/requests/internal/gate_state.h"

namespace masticshunt::requests {

namespace {

template <class Step>
gate_actions collect_actions(Step step) {
  gate_actions actions;
  step(actions);
  return actions;
}

double milliseconds(duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

}  // namespace

gate::gate(gate_settings settings) : state_(std::make_unique<state>(std::move(settings))) {}
gate::~gate() = default;
gate::gate(gate&&) noexcept = default;
gate& gate::operator=(gate&&) noexcept = default;

void gate::offer(const request_descriptor& request, time_point now, gate_actions& actions) {
  state_->advance(now);
  state_->expire(now, actions);
  state_->offer(request, now, actions);
  state_->dispatch(now, actions);
}

void gate::finished(attempt_id attempt, attempt_result result, time_point now,
                    gate_actions& actions) {
  state_->advance(now);
  const pool_index index = state_->attempts.find(attempt);
  if (index != no_index && state_->attempts.at(index).stage == attempt_stage::running)
    state_->finish(index, result, now);
  state_->expire(now, actions);
  state_->dispatch(now, actions);
}

void gate::abandoned(attempt_id attempt, time_point now, gate_actions& actions) {
  state_->advance(now);
  const pool_index index = state_->attempts.find(attempt);
  if (index != no_index) {
    const attempt_entry& entry = state_->attempts.at(index);
    if (entry.stage == attempt_stage::running) {
      if (!entry.cancelled) state_->attempts.set_expiry(index, now);
    } else {
      state_->remove_waiting(index);
    }
  }
  state_->expire(now, actions);
  state_->dispatch(now, actions);
}

void gate::tick(time_point now, gate_actions& actions) {
  state_->advance(now);
  state_->expire(now, actions);
  state_->dispatch(now, actions);
}

gate_actions gate::offer(const request_descriptor& request, time_point now) {
  return collect_actions([&](gate_actions& actions) { offer(request, now, actions); });
}

gate_actions gate::finished(attempt_id attempt, attempt_result result, time_point now) {
  return collect_actions([&](gate_actions& actions) { finished(attempt, result, now, actions); });
}

gate_actions gate::abandoned(attempt_id attempt, time_point now) {
  return collect_actions([&](gate_actions& actions) { abandoned(attempt, now, actions); });
}

gate_actions gate::tick(time_point now) {
  return collect_actions([&](gate_actions& actions) { tick(now, actions); });
}

void gate::reconfigure(gate_settings settings, time_point now) {
  if (settings.ranks.empty()) settings.ranks.emplace_back();
  if (settings == state_->settings) return;
  auto next = std::make_unique<state>(std::move(settings), state_->attempts.size());
  next->adopt(*state_, now);
  state_ = std::move(next);
}

std::size_t gate::running() const {
  return state_->running;
}

std::size_t gate::waiting() const {
  return state_->attempts.size() - state_->running;
}

std::size_t gate::waiting(std::uint32_t rank) const {
  return rank < state_->ranks.size() ? state_->waiting(rank) : 0;
}

double gate::limit() const {
  return state_->limit.value();
}

const gate_counts& gate::counts() const {
  return state_->counts;
}

std::string gate::dump(time_point now) const {
  nlohmann::json ranks = nlohmann::json::array();
  for (std::size_t rank = 0; rank < state_->ranks.size(); ++rank) {
    const rank_queue& queue = state_->ranks[rank];
    const bool backlog = state_->waiting(rank) > 0;
    ranks.push_back({{"name", state_->settings.ranks[rank].name},
                     {"floor", state_->settings.ranks[rank].floor},
                     {"running", state_->shares.at(rank).running},
                     {"waiting", state_->shares.at(rank).eligible},
                     {"waiting_for_key", queue.parked},
                     {"callers_waiting", queue.callers.size},
                     {"backlog_ms", backlog ? milliseconds(now - queue.backlog_since) : 0.0},
                     {"service_ms", milliseconds(queue.service.median())}});
  }
  const gate_counts& counts = state_->counts;
  const nlohmann::json all{{"limit", limit()},
                           {"slots", state_->settings.slots},
                           {"running", running()},
                           {"waiting", waiting()},
                           {"keys", state_->keys.size()},
                           {"ranks", std::move(ranks)},
                           {"offered", counts.offered},
                           {"started", counts.started},
                           {"refused_overloaded", counts.refused_overloaded},
                           {"refused_deadline", counts.refused_deadline},
                           {"cancelled", counts.cancelled}};
  return all.dump();
}

}  // namespace masticshunt::requests
