/// @file
/// One agent's local view of a group: the page, and this agent's roles in it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/coordinator.h"
#include "masticshunt/decisions/ownership/page_writer.h"
#include "masticshunt/decisions/ownership/renewer.h"
#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// Composes the page, the renewer and the coordinator of one group.
///
/// The renewer and the coordinator exist while the page lists this incarnation of this agent as a
/// renewer; a new appointment creates new ones.
/// Thread safety: none.
class group_host {
 public:
  group_host(agent_description self, lease_timing timing, fault_injection faults, group_name name);

  /// Adopts a page from the store or a peer. Returns true if it is newer than the one held.
  bool adopt(const assignment_page& page, invariant_counters& invariants, step& step);
  /// Runs the work that is due: heartbeats, stop and release requests, the next page. Returns true
  /// if the page should be read from the store for support.
  bool tick(const group_intent& intent, invariant_counters& invariants, step& step);
  /// Starts a write of `next` unless the outcome of another write is unknown.
  void propose(assignment_page next, time_point now);
  /// Starts a write of the group's first page, with this agent as its only renewer.
  void create(std::uint32_t groups, std::uint32_t ranges, time_point now);
  /// Starts a write of a page with this agent as coordinator, though it is not a renewer: for a
  /// group whose renewers are unresponsive.
  void take_over_as_outsider(time_point now);
  /// Handles the response to a write. Returns true if the page must be read to determine
  /// its outcome.
  bool handle_write_result(const store_write_done& answer, jitter_source& jitter,
                           invariant_counters& invariants, step& step);
  /// Handles a page read from the store by a call sent at `sent`.
  void read_for_support(const assignment_page& page, time_point sent,
                        invariant_counters& invariants, step& step);
  /// Handles a message for the renewer or the coordinator; others are ignored.
  void handle(const message& body, const endpoint& from, invariant_counters& invariants,
              step& step);
  /// Restarts all suspicion timers after a pause of this process.
  void reset_suspicion_timers(time_point now);
  /// Sets whether this agent is draining.
  void set_draining(bool draining);
  /// Updates the description of this agent.
  void describe_self(const agent_description& self) { self_ = self; }
  /// Records that the processes of an agent up to `last_incarnation` are gone.
  void record_agent_ended(const std::string& name, std::uint64_t last_incarnation, time_point now);

  /// Returns the page; its version is zero if no page is known.
  [[nodiscard]] const assignment_page& page() const { return page_; }
  [[nodiscard]] const group_name& name() const { return name_; }
  /// Returns this agent's renewer, or null.
  [[nodiscard]] const renewer* own_renewer() const { return renewer_ ? &*renewer_ : nullptr; }
  /// Returns true if this agent is the group's coordinator.
  [[nodiscard]] bool coordinates() const;
  /// Returns true if this agent is a renewer that is not withdrawn.
  [[nodiscard]] bool renews() const;
  /// Returns true while the outcome of a page write is unknown.
  [[nodiscard]] bool write_outcome_unknown() const { return writer_.busy(); }
  /// Returns the number of this coordinator's active stop requests.
  [[nodiscard]] std::size_t active_stop_count() const {
    return coordinator_ ? coordinator_->active_stops().size() : 0;
  }
  /// Returns the writer, for sending the write that is due.
  [[nodiscard]] page_writer& writer() { return writer_; }

 private:
  [[nodiscard]] std::vector<fence_token> tokens_in_change() const;
  void consider_next_page(const group_intent& intent, time_point now);
  void on(const join_request& request, const endpoint& from, invariant_counters&, step& step);
  void on(const renew_request& request, const endpoint& from, invariant_counters& invariants,
          step& step);
  void on(const support_request& request, const endpoint& from, invariant_counters&, step& step);
  void on(const support_reply& reply, const endpoint& from, invariant_counters&, step& step);
  void on(const stop_request& request, const endpoint& from, invariant_counters&, step& step);
  void on(const stop_reply& reply, const endpoint& from, invariant_counters&, step& step);
  void on(const page_ack& ack, const endpoint& from, invariant_counters&, step& step);

  agent_description self_;
  lease_timing timing_;
  fault_injection faults_;
  group_name name_;
  assignment_page page_;
  std::optional<renewer> renewer_;
  std::optional<coordinator> coordinator_;
  page_writer writer_;
  std::uint64_t writes_ = 0;
  std::uint64_t takeovers_ = 0;
  time_point next_takeover_{};
  bool draining_ = false;
};

}  // namespace masticshunt::ownership
