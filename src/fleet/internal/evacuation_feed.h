/// @file
/// Follows the operators' orders to evacuate failure domains.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/internal/fleet_view.h"
#include "fleet/internal/store_client.h"
#include "fleet/internal/store_watch.h"
#include "masticshunt/decisions/routing/state_confirmation.h"
#include "masticshunt/fleet/settings.h"
#include "masticshunt/support/event_log.h"

namespace masticshunt::fleet {

/// Brings the evacuated zones from the store and from peers into the agent's view.
///
/// Does nothing unless `[bounds] evacuate` is set. Life cycle: construct, `start`, and `tick` a few
/// times a second. Thread safety: none.
class evacuation_feed {
 public:
  evacuation_feed(const fleet_settings& settings, fleet_view& view, store_client& store,
                  support::event_log& log);

  /// Begins to follow the store.
  void start();
  /// Asks the store whether the view is the newest, if that is due. `draw` is a random number in
  /// [0, 1).
  void tick(time_point now, double draw);
  /// Takes the set that a peer stated.
  void stated_by_peer(const routing::evacuation_set& peer);
  /// Sets the callback that runs after the evacuated zones changed.
  void on_change(std::function<void()> action) { on_change_ = std::move(action); }

 private:
  void listed(const std::vector<platform::stored_object>& objects);
  void up_to_date(std::uint64_t revision);
  void zones_changed(std::string_view from);

  const fleet_settings& settings_;
  fleet_view& view_;
  store_client& store_;
  support::event_log& log_;
  routing::state_confirmation confirmation_;
  std::unique_ptr<store_watch> watch_;
  /// What the store stated since the last revision.
  std::optional<std::set<std::string>> listed_zones_;
  std::vector<routing::evacuation_change> changes_;
  std::function<void()> on_change_;
};

}  // namespace masticshunt::fleet
