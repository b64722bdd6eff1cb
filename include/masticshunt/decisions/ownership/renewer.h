/// @file
/// The lease grantor of a group: renewal of existing owners' leases, and commitments to stop it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// A lease grantor of one group: renews the owners named by the page, and never changes them.
///
/// It may renew only while it holds a grantor lease. The grantor lease is extended by support of
/// other renewers or of the store, each counted from the time of its request. No owner's lease
/// outlasts it: once the grantor lease is known to have ended, so have all leases granted under it.
/// A commitment to stop renewing an owner lasts until the token is gone from the page; a renewer
/// withdrawn by the page stops for good.
/// Life cycle: one for each appointment of this agent; its state is not persisted.
/// Thread safety: none.
class renewer {
 public:
  renewer(agent_id self, std::uint64_t appointment, lease_timing timing, fault_injection faults,
          time_point now);

  /// Sends heartbeats that are due. Returns true if the store should be read for support.
  /// `next_stop` and `active_stops` describe the coordinator's active stop requests.
  bool tick(const assignment_page& page, std::uint64_t next_stop,
            const std::vector<std::uint64_t>& active_stops, step& step);
  /// Acknowledges the page to the other renewers, and discards state made obsolete by it.
  void page_adopted(const assignment_page& page, step& step);
  /// Handles an owner's renewal. `blocked` holds tokens with a pending change of owner.
  void handle(const renew_request& request, const endpoint& from, const assignment_page& page,
              const std::vector<fence_token>& blocked, invariant_counters& invariants, step& step);
  /// Grants or refuses support to another renewer.
  void handle(const support_request& request, const endpoint& from, const assignment_page& page,
              step& step);
  /// Records support by another renewer.
  void handle(const support_reply& reply, const assignment_page& page, step& step);
  /// Commits to stop renewing an owner.
  void handle(const stop_request& request, const endpoint& from, const assignment_page& page,
              step& step);
  /// Records support by the store: a read sent at `sent` returned a page that names this renewer.
  void supported_by_store(time_point sent);

  /// Returns the end of the grantor lease, or nothing without one.
  [[nodiscard]] std::optional<time_point> grantor_lease_end(const assignment_page& page) const;
  /// Returns the time by which the last lease granted to `owner` has ended at the owner.
  [[nodiscard]] time_point last_grant_end(const agent_id& owner) const;
  /// Returns the end of the last support given to an appointment.
  [[nodiscard]] time_point last_support_end(std::uint64_t appointment) const;
  /// Returns the time of the last message of `owner`, if any.
  [[nodiscard]] std::optional<time_point> owner_last_contact(const agent_id& owner) const;
  /// Returns the time of the last message of a renewer; without one, the start of this renewer.
  [[nodiscard]] time_point renewer_last_contact(std::uint64_t appointment) const;
  /// Returns the newest page sequence that a renewer is known to hold.
  [[nodiscard]] std::uint64_t observed_sequence(std::uint64_t appointment) const;
  /// Records a message of a renewer that holds page `sequence`.
  void record_contact(std::uint64_t appointment, std::uint64_t sequence, time_point now);
  /// Restarts all suspicion timers after a pause of this process.
  void reset_suspicion_timers(time_point now);
  [[nodiscard]] std::uint64_t appointment() const { return appointment_; }
  /// Sends an acknowledgement of the page to `to`.
  void send_ack(const endpoint& to, const assignment_page& page, step& step) const;

 private:
  /// Replaces the ranges by the page's sequence if all of them are granted and the owner holds the
  /// same page.
  static void compact_reply(renew_reply& reply, const renew_request& request,
                            const assignment_page& page);

  struct peer {
    time_point last_contact;
    std::uint64_t sequence = 0;
    time_point support_received_until{};  ///< Support received from this peer.
    time_point support_given_until{};     ///< Support given to this peer.
  };
  struct stop_commitment {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::uint64_t up_to = 0;
    bool active = false;
  };
  [[nodiscard]] bool counts_as_supporter(const assignment_page& page,
                                         const renewer_record& other) const;
  [[nodiscard]] bool committed_to_stop(const agent_id& owner, const fence_token& token) const;
  peer& peer_of(std::uint64_t appointment);

  agent_id self_;
  std::uint64_t appointment_;
  lease_timing timing_;
  fault_injection faults_;
  clock_bounds bounds_;
  time_point began_;
  std::map<std::uint64_t, peer> peers_;
  std::map<agent_id, stop_commitment> stop_commitments_;
  std::map<agent_id, time_point> grant_ends_;
  std::map<agent_id, time_point> owner_contacts_;
  std::map<std::uint64_t, time_point> sent_;  ///< Send times of outstanding support requests.
  std::uint64_t next_request_ = 1;
  time_point next_heartbeat_{};
  time_point store_support_until_{};
};

}  // namespace masticshunt::ownership
