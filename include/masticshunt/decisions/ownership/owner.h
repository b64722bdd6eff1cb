/// @file
/// The leases of one agent over ranges of its group.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// The report of an owner in each renewal request.
struct owner_report {
  std::uint64_t config_digest = 0;
  std::uint64_t config_revision = 0;
  double busy_slots = 0;
};

/// The lease holder: requests renewals, and admits requests while a lease is valid.
///
/// A lease counts from the time its request was sent, so late replies are harmless. A pause longer
/// than `pause_limit` revokes all leases until they are renewed.
/// Life cycle: one for the group of the local upstream.
/// Thread safety: none.
class owner {
 public:
  owner(agent_description self, lease_timing timing, fault_injection faults);

  /// Updates the description of this agent.
  void describe_self(const agent_description& self) { self_ = self; }
  /// Detects a pause of the process. To be called first for every event.
  void detect_pause(time_point now);
  /// Adopts a newer page: requests leases for new ranges, and drops ranges that it no longer owns.
  void page_adopted(const assignment_page& page, const owner_report& report, step& step);
  /// Sends the renewals that are due.
  void tick(const assignment_page& page, const owner_report& report, step& step);
  /// Records granted leases.
  void handle(const renew_reply& reply, std::uint64_t page_sequence, step& step);
  /// Starts to hand over the requested ranges.
  void handle(const release_request& request, step& step);
  /// Releases a finishing range: its requests in flight have ended.
  void range_idle(const hash_range& range, const assignment_page& page, const owner_report& report,
                  step& step);
  /// Hands over all ranges and accepts no new ones; `set_draining(false)` ends this.
  void set_draining(bool draining, step& step);
  /// Releases all ranges at once: the upstream is gone, so no request can run.
  void release_all(const assignment_page& page, const owner_report& report, step& step);

  /// Returns a ticket for `hash`, or nothing.
  [[nodiscard]] std::optional<admission_ticket> admit(key_hash hash, time_point now);

  /// Returns true while the owner is draining.
  [[nodiscard]] bool draining() const { return draining_; }
  /// Returns the number of ranges with a valid lease at `now`.
  [[nodiscard]] std::size_t leased(time_point now) const;
  /// Returns the number of detected pauses.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }
  /// Returns the time of the last reply of a renewer.
  [[nodiscard]] time_point last_answer() const { return last_answer_; }
  /// Returns true if all ranges are released.
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
  void finish(held_range& held, step& step);
  held_range* held_range_for(const range_assignment& granted, bool may_create);

  agent_description self_;
  lease_timing timing_;
  fault_injection faults_;
  clock_bounds bounds_;
  std::map<key_hash, held_range> held_;
  std::map<std::uint64_t, time_point> sent_;  ///< Send times of outstanding requests.
  std::uint64_t next_request_ = 1;
  time_point next_renewal_{};
  time_point last_answer_{};
  std::optional<time_point> unanswered_since_;
  time_point last_seen_{};
  std::uint64_t pauses_ = 0;
  bool draining_ = false;
};

}  // namespace masticshunt::ownership
