#include "masticshunt/decisions/routing/upstream_watch.h"

namespace masticshunt::routing {

namespace {

constexpr std::int64_t start_unknown = 0;
/// Heartbeats of an incarnation with unknown start time may arrive this long after it is gone;
/// later ones belong to another.
constexpr duration late_heartbeat_window = std::chrono::seconds{10};

}  // namespace

bool upstream_watch::heartbeat_received(const upstream_heartbeat& heartbeat, time_point now) {
  if (last_heartbeat_) {
    const bool just_gone = gone_ && last_heartbeat_->incarnation.start_ms == start_unknown &&
                           last_heartbeat_->incarnation.id == heartbeat.incarnation.id &&
                           now - *draining_since_ < late_heartbeat_window;
    if (just_gone) last_heartbeat_->incarnation = heartbeat.incarnation;
    const bool same_incarnation = last_heartbeat_->incarnation == heartbeat.incarnation;
    if (same_incarnation && heartbeat_received_ && heartbeat.sequence <= last_heartbeat_->sequence)
      return false;
    if (!same_incarnation && heartbeat.incarnation.start_ms < last_heartbeat_->incarnation.start_ms)
      return false;
    // This condition is never true, because an incarnation consists of an id and a start time only.
    // Without start times, a heartbeat with another id therefore counts as a new incarnation even
    // if the previous one has not ended.
    if (!same_incarnation &&
        heartbeat.incarnation.start_ms == last_heartbeat_->incarnation.start_ms &&
        heartbeat.incarnation.id == last_heartbeat_->incarnation.id)
      return false;
    if (!same_incarnation) {
      gone_ = false;
      draining_since_.reset();
    }
  }
  last_heartbeat_ = heartbeat;
  heartbeat_received_ = true;
  last_heartbeat_at_ = now;
  if ((heartbeat.draining || gone_) && !draining_since_) draining_since_ = now;
  return true;
}

bool upstream_watch::gone(const std::string& id, time_point now) {
  // If this is the first message that the process receives, the start time is unknown.
  if (!last_heartbeat_)
    last_heartbeat_ = upstream_heartbeat{.incarnation = {.id = id, .start_ms = start_unknown}};
  if (last_heartbeat_->incarnation.id != id) return false;
  gone_ = true;
  if (!draining_since_) draining_since_ = now;
  return true;
}

bool upstream_watch::leaving(const upstream_incarnation& incarnation, time_point now) {
  if (!last_heartbeat_ || last_heartbeat_->incarnation != incarnation || draining_since_)
    return false;
  draining_since_ = now;
  return true;
}

void upstream_watch::restore(const registration& published, time_point now) {
  if (last_heartbeat_ || published.incarnation.id.empty()) return;
  restored_at_ = now;
  last_heartbeat_ = upstream_heartbeat{.incarnation = published.incarnation,
                                       .service = published.service,
                                       .slots = published.slots,
                                       .draining = published.stage != upstream_stage::ready};
  gone_ = published.stage == upstream_stage::gone;
  if (last_heartbeat_->draining) draining_since_ = time_point{};
}

upstream_stage upstream_watch::stage(time_point now) const {
  if (gone_ || !present(now)) return upstream_stage::gone;
  return draining_since_ ? upstream_stage::draining : upstream_stage::ready;
}

}  // namespace masticshunt::routing
