/// @file
/// The leases that an agent holds over ranges of its group.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// What an owner reports with each renewal.
struct owner_report {
  std::uint64_t config_digest = 0;
  std::uint64_t config_revision = 0;
  double busy_slots = 0;
};

/// The owner's side of leases: asks for renewal, and says what may be started here.
///
/// A lease counts from when its request was sent, so late replies are harmless. A pause longer
/// than `pause_limit` revokes every lease until it is renewed.
/// Life cycle: one for the group that the upstream beside the agent belongs to.
/// Thread safety: none.
class owner {
 public:
  owner(agent_description self, lease_timing timing, fault_injection faults);

  /// Takes a changed description of this agent.
  void describe_self(const agent_description& self) { self_ = self; }
  /// Notices a pause: call it first for every event.
  void detect_pause(time_point now);
  /// Takes in a newer page: new ranges are asked for, lost ones dropped.
  void page_adopted(const assignment_page& page, const owner_report& report, step& step);
  /// Sends the renewals that are due.
  void tick(const assignment_page& page, const owner_report& report, step& step);
  /// Takes in granted leases.
  void handle(const renew_reply& reply, std::uint64_t page_sequence, step& step);
  /// Starts to hand over some ranges.
  void handle(const release_request& request, step& step);
  /// A range that was told to finish is quiet: releases it.
  void range_idle(const hash_range& range, const assignment_page& page, const owner_report& report,
                  step& step);
  /// Hands over everything and takes no range any more; `set_draining(false)` ends that.
  void set_draining(bool leaving, step& step);
  /// Gives up every range at once: the upstream is gone, nothing of it can run.
  void release_all(const assignment_page& page, const owner_report& report, step& step);

  /// Returns a ticket for `hash`, or nothing.
  [[nodiscard]] std::optional<admission_ticket> admit(key_hash hash, time_point now);

  /// Returns true while the owner hands over everything.
  [[nodiscard]] bool leaving() const { return leaving_; }
  /// Returns how many ranges have a lease at `now`.
  [[nodiscard]] std::size_t leased(time_point now) const;
  /// Returns the pauses noticed.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }
  /// Returns when a renewer last answered.
  [[nodiscard]] time_point last_answer() const { return last_answer_; }
  /// Returns true if no range is held that is not yet released.
  [[nodiscard]] bool empty() const;

 private:
  enum class phase { held, finishing, released };
  struct held_range {
    range_assignment assignment;
    time_point lease_end{};
    std::optional<time_point> owned_since;
    phase state = phase::held;
  };
  void send_renewals(const assignment_page& page, const owner_report& report, bool to_all,
                     step& step);
  void finish(held_range& entry, step& step);
  held_range* held_range_for(const range_assignment& granted, bool may_create);

  agent_description self_;
  lease_timing timing_;
  fault_injection faults_;
  clock_bounds bounds_;
  std::map<key_hash, held_range> held_;
  std::map<std::uint64_t, time_point> sent_;  ///< Requests that may still be answered.
  std::uint64_t next_request_ = 1;
  time_point next_renewal_{};
  time_point last_answer_{};
  std::optional<time_point> unanswered_since_;
  time_point last_seen_{};
  std::uint64_t pauses_ = 0;
  bool leaving_ = false;
};

}  // namespace masticshunt::ownership
