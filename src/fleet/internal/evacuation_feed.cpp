#include "fleet/internal/evacuation_feed.h"

#include <utility>

#include "fleet/internal/spawn.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

evacuation_feed::evacuation_feed(const fleet_settings& settings, fleet_view& view,
                                 store_client& store, support::event_log& log)
    : settings_(settings),
      view_(view),
      store_(store),
      log_(log),
      confirmation_({.bound = settings.evacuate}) {}

void evacuation_feed::start() {
  if (settings_.evacuate <= duration{}) return;
  watch_ = std::make_unique<store_watch>(
      store_, std::string(platform::kind_evacuations), store_watch::reading{},
      store_watch::handlers{
          .listed = [this](const auto& objects) { listed(objects); },
          .changed =
              [this](const platform::stored_change& change) {
                changes_.push_back({change.object.name, !change.deleted});
              },
          .up_to_date = [this](std::uint64_t revision) { up_to_date(revision); }});
  spawn(store_.executor(), watch_->run());
}

void evacuation_feed::tick(time_point now, double draw) {
  if (watch_ && confirmation_.due(now, view_.directory.size(), draw))
    spawn(store_.executor(), watch_->confirm());
}

void evacuation_feed::listed(const std::vector<platform::stored_object>& objects) {
  listed_zones_.emplace();
  for (const auto& each : objects) listed_zones_->insert(each.name);
}

void evacuation_feed::up_to_date(std::uint64_t revision) {
  confirmation_.store_answered();
  const auto now = boot_now();
  const auto changes = std::exchange(changes_, {});
  const auto zones = std::exchange(listed_zones_, std::nullopt);
  const bool changed = zones ? view_.evacuations.listed(*zones, revision, now)
                             : view_.evacuations.changed(changes, revision, now);
  if (changed) zones_changed("store");
}

void evacuation_feed::stated_by_peer(const routing::evacuation_set& peer) {
  if (!watch_ || !view_.evacuations.stated_by_peer(peer, boot_now())) return;
  confirmation_.version_learned_from_peer(boot_now());
  zones_changed("peer");
}

void evacuation_feed::zones_changed(std::string_view from) {
  const auto now = boot_now();
  const auto& set = view_.evacuations.set();
  std::string zones;
  for (const std::string& zone : set.zones) {
    zones += (zones.empty() ? "" : ",") + zone;
    if (view_.directory.has_zone(zone)) continue;
    support::event_text unknown("evacuation_of_unknown_zone");
    unknown.add("zone", zone).add_quoted("remedy", "correct the name of the evacuation");
    log_.line(support::line_class::process, unknown.text(), now);
  }
  support::event_text line("evacuations");
  line.add_quoted("zones", zones).add("revision", set.changed_at).add("from", from);
  log_.line(support::line_class::process, line.text(), now);
  view_.directory.set_evacuated_zones(set.zones);
  if (on_change_) on_change_();
}

}  // namespace masticshunt::fleet
