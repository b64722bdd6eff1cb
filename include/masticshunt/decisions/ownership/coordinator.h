/// @file
/// Decisions of a group's coordinator: members, renewers and changes of owners.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/decisions/ownership/renewer.h"
#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// The operators' intent for a group.
struct group_intent {
  bool move_when_isolated = false;  ///< The service's isolation policy is `move`.
  /// Returns true if the agent is to be taken out of service.
  std::function<bool(const agent_description&)> drained;
};

/// Collects evidence about a group and decides the next page from it.
///
/// Every renewer of a group keeps one, so that a standby that takes over has the evidence at hand;
/// only the coordinator named by the page acts on it. An owner is replaced only once it is known to
/// have stopped: it released the range; or its new incarnation or an operator's record proves that
/// it is gone, and the longest lease has ended; or every renewer that could have renewed it has
/// stopped, and its last grant has ended.
///
/// Thread safety: none.
class coordinator {
 public:
  coordinator(agent_description self, lease_timing timing, fault_injection faults,
              time_point began);

  /// Updates the evidence from a newer page.
  void page_adopted(const assignment_page& page, const renewer& own_renewer, time_point now);
  /// Records an agent's request for membership.
  void handle(const join_request& request, time_point now);
  /// Records an owner's report from its renewal request.
  void handle(const renew_request& request, const assignment_page& page, time_point now);
  /// Records when a renewer's support for withdrawn renewers ends and, if the renewer itself is
  /// withdrawn, when its own grants end.
  void handle(const page_ack& ack, time_point now);
  /// Records that a renewer has stopped renewing an owner.
  void handle(const stop_reply& reply, const assignment_page& page, time_point now);
  /// Records that the processes of an agent up to `last_incarnation` are gone.
  void record_agent_ended(const std::string& name, std::uint64_t last_incarnation, time_point now);
  /// Restarts all suspicion timers after a pause of this process: missing messages prove nothing.
  void reset_suspicion_timers(time_point now);
  /// Sets whether this agent itself is draining.
  void set_draining(bool draining) { self_draining_ = draining; }

  /// Sends the stop and release requests that are due. While the outcome of a write is unknown
  /// (`may_revoke` is false), no stop request is revoked, since the write may depend on its
  /// replies.
  void tick(const assignment_page& page, const renewer& own_renewer, const group_intent& intent,
            bool may_revoke, step& step);
  /// Returns the page that should replace `page`, or nothing if no change is needed.
  [[nodiscard]] std::optional<assignment_page> next_page(const assignment_page& page,
                                                         const renewer& own_renewer,
                                                         const group_intent& intent,
                                                         time_point now) const;
  /// Returns the page with which a standby becomes coordinator, or nothing if it should not.
  [[nodiscard]] std::optional<assignment_page> takeover_page(const assignment_page& page,
                                                             const renewer& own_renewer,
                                                             time_point now) const;
  /// Returns true if a withdrawn renewer's grantor lease and all its grants are known to have
  /// ended.
  [[nodiscard]] bool renewer_ended(const assignment_page& page, const renewer_record& record,
                                   const renewer& own_renewer, time_point now) const;
  /// Returns the number of the next stop request.
  [[nodiscard]] std::uint64_t next_stop() const { return next_number_; }
  /// Returns the numbers of the active stop requests.
  [[nodiscard]] std::vector<std::uint64_t> active_stops() const;
  /// Returns true if `owner` is known to hold no lease and cannot obtain one.
  [[nodiscard]] bool owner_ended(const assignment_page& page, const agent_id& owner,
                                 const renewer& own_renewer, time_point now) const;

 private:
  struct owner_change {
    std::uint64_t number = 0;
    std::uint64_t up_to = 0;
    std::map<std::uint64_t, time_point> grant_ends;  ///< When the grants of each appointment end.
    time_point next_send{};
  };
  struct member_report {
    time_point last_contact;
    std::uint64_t config_revision = 0;
    std::uint32_t schema_version_max = 1;
    bool draining = false;
  };
  [[nodiscard]] std::optional<time_point> ended_since(const agent_id& id) const;
  [[nodiscard]] bool ended_and_lease_expired(const agent_id& id, time_point now) const;
  [[nodiscard]] time_point last_contact(const agent_id& id) const;
  [[nodiscard]] bool unresponsive(const agent_id& owner, time_point now) const;
  [[nodiscard]] bool suspected(const agent_id& owner, time_point now) const;
  [[nodiscard]] bool alive(const agent_id& id, time_point now) const;
  [[nodiscard]] bool had_recent_contact(const agent_id& id, time_point now) const;
  [[nodiscard]] bool eligible(const agent_description& member, const group_intent& intent,
                              time_point now) const;
  [[nodiscard]] std::optional<time_point> withdrawn_lease_end(const assignment_page& page,
                                                              const renewer_record& record,
                                                              const renewer& own_renewer) const;
  [[nodiscard]] bool can_prove_end(const assignment_page& page, const renewer_record& record,
                                   const renewer& own_renewer, time_point now) const;
  [[nodiscard]] bool withdrawal_acknowledged(const assignment_page& page,
                                             const renewer_record& record) const;
  void send_stop_requests(const assignment_page& page, const renewer& own_renewer, bool may_revoke,
                          step& step);
  void send_release_requests(const assignment_page& page, const group_intent& intent, step& step);
  [[nodiscard]] std::map<std::string, double> quotas(const assignment_page& page,
                                                     const group_intent& intent,
                                                     time_point now) const;
  bool update_members(assignment_page& next, time_point now) const;
  bool update_renewers(assignment_page& next, const assignment_page& page,
                       const renewer& own_renewer, time_point now) const;
  bool appoint(assignment_page& next, time_point now) const;
  bool hand_over_coordination(assignment_page& next, time_point now) const;
  bool assign_ranges(assignment_page& next, const assignment_page& page, const renewer& own_renewer,
                     const group_intent& intent, time_point now) const;

  agent_description self_;
  lease_timing timing_;
  fault_injection faults_;
  clock_bounds bounds_;
  time_point began_;
  bool self_draining_ = false;
  std::map<std::string, agent_description> joins_;
  std::map<std::string, std::pair<std::uint64_t, time_point>> ended_;  ///< Last ended incarnation.
  std::map<agent_id, member_report> reports_;
  std::map<agent_id, owner_change> changes_;
  /// Owners are not suspected before this time: another renewer reported recent contact.
  std::map<agent_id, time_point> suspect_not_before_;
  std::set<fence_token> released_;
  std::map<std::uint64_t, time_point> withdrawn_seen_;
  /// Withdrawn agents are not reappointed at once.
  std::map<std::string, time_point> appoint_after_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, time_point> support_ends_;
  std::map<std::uint64_t, time_point> own_grant_ends_;
  std::uint64_t next_number_ = 1;
  time_point next_release_{};
  time_point members_changed_{};
  bool was_coordinator_ = false;
  time_point coordinator_since_;            ///< Earliest start of any suspicion timer.
  std::uint64_t previous_coordinator_ = 0;  ///< Appointment of the previous page's coordinator.
};

}  // namespace masticshunt::ownership
