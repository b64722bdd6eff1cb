/// @file
/// The state of `agent_core`, and its event handlers.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "masticshunt/decisions/ownership/group_host.h"
#include "masticshunt/decisions/ownership/owner.h"
#include "masticshunt/decisions/ownership/page.h"
#include "masticshunt/decisions/ownership/record_feed.h"
#include "masticshunt/decisions/ownership/routing_table.h"
#include "masticshunt/decisions/ownership/spread.h"
#include "masticshunt/decisions/ownership/step.h"

namespace masticshunt::ownership {

/// Purpose of a store call.
enum class call_purpose { list_groups, list_records, watch_groups, watch_records, read, write };

/// A store call in progress.
struct pending_call {
  call_purpose purpose = call_purpose::read;
  group_name group;
  time_point sent;
};

/// A continuous list-and-watch of one prefix.
struct prefix_reader {
  std::string prefix;
  call_purpose list = call_purpose::list_groups;
  call_purpose watch = call_purpose::watch_groups;
  bool listed = false;   ///< The first list has succeeded.
  bool waiting = false;  ///< A call is in progress.
  std::uint64_t revision = 0;
  time_point next_try{};
  backoff delays;
};

/// The implementation of `agent_core`.
struct agent_core::state {
  explicit state(core_settings given);

  void handle(const started& input, step& step);
  void handle(const timer_fired& input, step& step);
  void handle(const message_received& input, step& step);
  void handle(const store_read_done& input, step& step);
  void handle(const store_write_done& input, step& step);
  void handle(const store_list_done& input, step& step);
  void handle(const upstream_announced& input, step& step);
  void handle(const upstream_lost& input, step& step);
  void handle(const load_observed& input, step& step);
  void handle(const stop_requested& input, step& step);
  void handle(const range_idle& input, step& step);

  void on(const page_update& body, const endpoint& from, step& step);
  void on(const page_request& body, const endpoint& from, step& step);
  void on(const records_update& body, const endpoint& from, step& step);
  void on(const renew_reply& body, const endpoint& from, step& step);
  void on(const release_request& body, const endpoint& from, step& step);
  void on(const renew_request& body, const endpoint& from, step& step);
  void on(const spread_notice& body, const endpoint& from, step& step);
  void on(const spread_pull& body, const endpoint& from, step& step);
  void on(const spread_objects& body, const endpoint& from, step& step);
  void on(const spread_digest& body, const endpoint& from, step& step);

  void detect_pause(time_point now);
  void tick(step& step);
  void tick_groups(step& step);
  void tick_own_group(step& step);
  void join(group_host& group, step& step);
  void read_prefix(prefix_reader& reader, step& step);
  void refresh_pages(step& step);
  void finish_stopping(step& step);
  void read_page(const group_name& name, step& step);
  void adopt(const assignment_page& page, step& step);
  void page_changed(group_host& group, const assignment_page& before, step& step);
  void records_changed(std::vector<stored_record> newer, step& step);
  void push_page(const group_host& group, std::uint64_t owner_changes_before, step& step);
  void perform(spread_output output, step& step);
  void adopt_object(const store_object& object, step& step);
  void choose_own_group(step& step);
  void update_draining(step& step);

  [[nodiscard]] store_call_id start_call(call_purpose purpose, const group_name& group,
                                         time_point now);
  [[nodiscard]] std::optional<pending_call> end_call(store_call_id call);
  [[nodiscard]] group_host& group(const group_name& name);
  [[nodiscard]] group_host* find_group(const group_name& name);
  [[nodiscard]] group_host* own_host();
  [[nodiscard]] group_intent intent_of(const group_name& name) const;
  [[nodiscard]] owner_report report() const;
  [[nodiscard]] bool coordinates_any() const;
  [[nodiscard]] bool drained() const;
  [[nodiscard]] bool needs_page_list(time_point now) const;
  [[nodiscard]] std::uint32_t groups_of(const std::string& service) const;

  core_settings settings;
  agent_description self;
  std::map<group_name, group_host> groups;
  routing_table routes;  ///< Built from all pages in `groups`.
  std::optional<group_name> own_group;
  record_feed records;
  spread objects;  ///< Pages and records, disseminated among agents.
  std::map<agent_id, time_point> record_mismatch_since;  ///< Owners with a different record digest.
  owner leases;
  invariant_counters invariants;
  jitter_source jitter;
  std::map<store_call_id, pending_call> calls;
  store_call_id next_call = 1;
  prefix_reader group_reader;
  prefix_reader record_reader;
  std::set<group_name> reading;
  std::map<group_name, std::pair<time_point, backoff>> read_delays;
  double busy_slots = 0;
  time_point last_event{};
  time_point next_join{};
  time_point next_refresh{};
  time_point last_renewer_contact{};
  time_point began{};
  bool own_page_read = false;
  duration takeover_jitter{};
  bool stopping = false;
  bool stop_reported = false;
  time_point stop_deadline{};
};

}  // namespace masticshunt::ownership
