#include "masticshunt/decisions/ownership/agent_core.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "internal/agent_state.h"
#include "internal/json_codec.h"

namespace masticshunt::ownership {

agent_core::agent_core(core_settings settings)
    : state_(std::make_unique<state>(std::move(settings))) {}
agent_core::~agent_core() = default;
agent_core::agent_core(agent_core&&) noexcept = default;
agent_core& agent_core::operator=(agent_core&&) noexcept = default;

actions agent_core::handle(const event& input, time_point now) {
  step current{now, {}};
  state_->detect_pause(now);
  std::visit([&](const auto& typed) { state_->handle(typed, current); }, input);
  return std::move(current.out);
}

std::optional<route_answer> agent_core::route(std::string_view service, key_hash hash) const {
  const auto entry = state_->routes.find(service, hash);
  if (!entry) return std::nullopt;
  return route_answer{*entry->owner, entry->token, entry->owner->id == state_->self.id};
}

std::optional<admission_ticket> agent_core::admit(std::string_view service, key_hash hash,
                                                  time_point now) {
  if (!state_->own_group || state_->own_group->service != service) return std::nullopt;
  return state_->leases.admit(hash, now);
}

bool agent_core::accepts_callers() const {
  return !state_->stopping && !state_->drained();
}

std::string agent_core::dump(time_point now) const {
  const auto& core = *state_;
  nlohmann::json out{{"agent", core.self},
                     {"config_revision", core.records.revision()},
                     {"config_digest", core.records.digest()},
                     {"leased_ranges", core.leases.leased(now)},
                     {"pauses", core.leases.pauses()},
                     {"leaving", core.leases.draining()},
                     {"stopping", core.stopping},
                     {"store_calls_open", core.calls.size()},
                     {"invariant_violations", core.invariants.violations()}};
  auto& groups = out["groups"] = nlohmann::json::array();
  for (const auto& [name, group] : core.groups) {
    nlohmann::json described{{"page", group.page()},
                             {"coordinates", group.coordinates()},
                             {"renews", group.renews()},
                             {"write_in_doubt", group.write_outcome_unknown()},
                             {"demands", group.active_stop_count()}};
    if (const auto* own_renewer = group.own_renewer()) {
      const auto end = own_renewer->grantor_lease_end(group.page());
      const bool endless = end && *end == time_point::max();
      described["right_ms"] =
          !end ? nlohmann::json(nullptr)
          : endless
              ? nlohmann::json("endless")
              : nlohmann::json(
                    std::chrono::duration_cast<std::chrono::milliseconds>(*end - now).count());
    }
    groups.push_back(std::move(described));
  }
  return out.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace masticshunt::ownership
