/// @file
/// The right to renew existing owners, and the promises that end it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// A renewer of one group: renews the owners that the page names, never changes them.
///
/// It may renew only while its right lasts. The right comes from supports of other renewers or of
/// the store, each counted from when it was asked for. Every lease ends no later than the right,
/// so whoever knows that the right ended knows that every lease granted under it ended.
/// A promise to stop renewing an owner lasts until the token is gone from the page; a renewer that
/// the page withdraws stops for good.
/// Life cycle: one for each appointment of this agent; it dies with the process.
/// Thread safety: none.
class renewer {
 public:
  renewer(agent_id self, std::uint64_t appointment, lease_timing timing, fault_injection faults,
          time_point now);

  /// Sends heartbeats that are due. Returns true if the store should be read for support.
  /// `next_stop` and `active_stops` are the coordinator's demands that still stand.
  bool tick(const assignment_page& page, std::uint64_t next_stop,
            const std::vector<std::uint64_t>& active_stops, step& step);
  /// Tells the other renewers which page is held, and drops what the page made void.
  void page_adopted(const assignment_page& page, step& step);
  /// Answers an owner. `blocked` names tokens that are being changed.
  void handle(const renew_request& request, const endpoint& from, const assignment_page& page,
              const std::vector<fence_token>& blocked, invariant_counters& invariants, step& step);
  /// Gives or refuses support.
  void handle(const support_request& request, const endpoint& from, const assignment_page& page,
              step& step);
  /// Takes in support.
  void handle(const support_reply& reply, const assignment_page& page, step& step);
  /// Promises to stop renewing an owner.
  void handle(const stop_request& request, const endpoint& from, const assignment_page& page,
              step& step);
  /// The store showed the page with this renewer named, in a read sent at `sent`.
  void supported_by_store(time_point sent);

  /// Returns until when leases may be granted, or nothing without a right.
  [[nodiscard]] std::optional<time_point> grantor_lease_end(const assignment_page& page) const;
  /// Returns when the last lease granted to `owner` ends on the owner's side.
  [[nodiscard]] time_point last_grant_end(const agent_id& owner) const;
  /// Returns when the last support given to an appointment ends.
  [[nodiscard]] time_point last_support_end(std::uint64_t appointment) const;
  /// Returns when `owner` was last heard, if it ever was.
  [[nodiscard]] std::optional<time_point> heard(const agent_id& owner) const;
  /// Returns when the renewer with an appointment was last heard, or when this one began.
  [[nodiscard]] time_point renewer_last_heard(std::uint64_t appointment) const;
  /// Returns the newest sequence that a renewer is known to hold.
  [[nodiscard]] std::uint64_t observed_sequence(std::uint64_t appointment) const;
  /// Notes that a renewer was heard and holds a page.
  void record_contact(std::uint64_t appointment, std::uint64_t sequence, time_point now);
  /// Forgets silences: this process itself was paused.
  void reset_suspicion_timers(time_point now);
  /// Returns this renewer's appointment.
  [[nodiscard]] std::uint64_t appointment() const { return appointment_; }
  /// Sends its word about the page to `to`.
  void send_ack(const endpoint& to, const assignment_page& page, step& step) const;

 private:
  /// Names the page in place of the ranges where the owner holds the same page and gets them all.
  static void compact_reply(renew_reply& reply, const renew_request& request,
                            const assignment_page& page);

  struct peer {
    time_point heard;
    std::uint64_t sequence = 0;
    time_point support_received_until{};  ///< Right received from this peer.
    time_point support_given_until{};     ///< Right given to this peer.
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
  std::map<agent_id, time_point> owners_heard_;
  std::map<std::uint64_t, time_point> sent_;  ///< Support requests that may still be answered.
  std::uint64_t next_request_ = 1;
  time_point next_heartbeat_{};
  time_point store_support_until_{};
};

}  // namespace masticshunt::ownership
