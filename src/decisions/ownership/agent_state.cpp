#include "internal/agent_state.h"

#include <algorithm>
#include <ranges>

namespace masticshunt::ownership {
namespace {

constexpr duration join_interval = std::chrono::milliseconds{300};
constexpr duration refresh_interval = std::chrono::seconds{2};
constexpr duration stop_timeout = std::chrono::seconds{10};
constexpr duration takeover_delay_after_restart = std::chrono::milliseconds{1000};
constexpr duration takeover_delay_without_evidence = std::chrono::seconds{10};
constexpr duration page_list_delay = std::chrono::seconds{2};
constexpr std::size_t pushed_members_max = 32;
constexpr duration start_jitter_max = std::chrono::milliseconds{50};

}  // namespace

agent_core::state::state(core_settings given)
    : settings(std::move(given)),
      self(settings.self),
      records(settings.faults),
      objects({.self = self.control, .region = self.region, .seed = settings.seed}),
      leases(settings.self, settings.timing, settings.faults),
      jitter(settings.seed) {
  group_reader.prefix = "groups/";
  group_reader.list = call_purpose::list_groups;
  group_reader.watch = call_purpose::watch_groups;
  record_reader.prefix = "config/";
  record_reader.list = call_purpose::list_records;
  record_reader.watch = call_purpose::watch_records;
}

store_call_id agent_core::state::start_call(call_purpose purpose, const group_name& group,
                                            time_point now) {
  calls[next_call] = {purpose, group, now};
  return next_call++;
}

std::optional<pending_call> agent_core::state::end_call(store_call_id call) {
  const auto found = calls.find(call);
  if (found == calls.end()) return std::nullopt;
  auto ended = found->second;
  calls.erase(found);
  return ended;
}

group_host& agent_core::state::group(const group_name& name) {
  const auto found = groups.find(name);
  if (found != groups.end()) return found->second;
  return groups.emplace(name, group_host(self, settings.timing, settings.faults, name))
      .first->second;
}

group_host* agent_core::state::find_group(const group_name& name) {
  const auto found = groups.find(name);
  return found == groups.end() ? nullptr : &found->second;
}

group_host* agent_core::state::own_host() {
  return own_group ? &group(*own_group) : nullptr;
}

group_intent agent_core::state::intent_of(const group_name& name) const {
  const auto service = records.registry().service(name.service);
  const bool moves = service && service->isolation == configuration::isolation_policy::move;
  return {moves, [this](const agent_description& agent) {
            return !settings.faults.drain_ignored &&
                   records.registry().drained(agent.id.name, agent.failure_domain);
          }};
}

owner_report agent_core::state::report() const {
  return {records.digest(), records.revision(), busy_slots};
}

bool agent_core::state::coordinates_any() const {
  return std::ranges::any_of(groups | std::views::values, &group_host::coordinates);
}

bool agent_core::state::drained() const {
  if (settings.faults.drain_ignored) return false;
  return records.registry().drained(self.id.name, self.failure_domain);
}

std::uint32_t agent_core::state::groups_of(const std::string& service) const {
  const auto record = records.registry().service(service);
  return record ? std::max(record->groups, 1U) : 1U;
}

void agent_core::state::detect_pause(time_point now) {
  leases.detect_pause(now);
  const bool paused = last_event != time_point{} && now - last_event > settings.timing.pause_limit;
  last_event = std::max(last_event, now);
  if (!paused) return;
  for (auto& group : groups | std::views::values) group.reset_suspicion_timers(now);
  last_renewer_contact = now;
}

void agent_core::state::handle(const started& /*input*/, step& step) {
  last_renewer_contact = step.now;
  began = step.now;
  group_reader.next_try = step.now + jitter.next_up_to(start_jitter_max);
  record_reader.next_try = step.now + jitter.next_up_to(start_jitter_max);
  takeover_jitter = jitter.next_up_to(takeover_delay_after_restart);
  tick(step);
}

void agent_core::state::handle(const timer_fired& /*input*/, step& step) {
  tick(step);
}

void agent_core::state::tick(step& step) {
  read_prefix(record_reader, step);
  read_prefix(group_reader, step);
  tick_groups(step);
  tick_own_group(step);
  refresh_pages(step);
  finish_stopping(step);
  perform(objects.tick(step.now), step);
  step.out.emplace_back(wake_at{step.now + settings.timing.tick});
}

void agent_core::state::tick_groups(step& step) {
  for (auto& [name, host] : groups) {
    if (host.tick(intent_of(name), invariants, step)) read_page(name, step);
    const auto write = host.writer().due(next_call, step.now);
    if (!write) continue;
    static_cast<void>(start_call(call_purpose::write, name, step.now));
    step.out.emplace_back(*write);
  }
}

void agent_core::state::read_page(const group_name& name, step& step) {
  const auto delay = read_delays.find(name);
  if (delay != read_delays.end() && step.now < delay->second.first) return;
  if (!reading.insert(name).second) return;
  const auto call = start_call(call_purpose::read, name, step.now);
  step.out.emplace_back(store_read{call, page_object_name(name)});
}

void agent_core::state::read_prefix(prefix_reader& reader, step& step) {
  if (reader.waiting || step.now < reader.next_try) return;
  if (reader.listed && !coordinates_any()) return;
  if (&reader == &group_reader && !reader.listed && !needs_page_list(step.now)) return;
  reader.waiting = true;
  const auto call = start_call(reader.listed ? reader.watch : reader.list, {}, step.now);
  store_list list{call, reader.prefix, {}};
  if (reader.listed) list.after_revision = reader.revision;
  step.out.emplace_back(std::move(list));
}

void agent_core::state::tick_own_group(step& step) {
  auto* host = own_host();
  if (host == nullptr) {
    choose_own_group(step);
    return;
  }
  if (host->page().version == 0 && !own_page_read) {
    read_page(host->name(), step);
    return;
  }
  update_draining(step);
  if (self.upstream && !stopping) join(*host, step);
  if (host->page().version != 0) leases.tick(host->page(), report(), step);
}

void agent_core::state::join(group_host& host, step& step) {
  if (host.page().version == 0) {
    const auto service = records.registry().service(host.name().service);
    const std::uint32_t ranges_per_member = service ? service->ranges_per_member : 16;
    host.create(groups_of(host.name().service), ranges_per_member * settings.expected_members,
                step.now);
    return;
  }
  const auto& page = host.page();
  if (!host.renews()) {
    const bool restarted = std::ranges::any_of(page.renewers, [&](const renewer_record& record) {
      return record.id.name == self.id.name && record.id.incarnation < self.id.incarnation;
    });
    const duration takeover_delay =
        (restarted ? takeover_delay_after_restart : takeover_delay_without_evidence) +
        takeover_jitter;
    if (step.now - std::max(last_renewer_contact, leases.last_answer()) > takeover_delay) {
      host.take_over_as_outsider(step.now);
      last_renewer_contact = step.now;
    }
  }
  const auto* member = find_member(page, self.id.name);
  const bool is_member = member != nullptr && *member == self;
  if (is_member || leases.draining() || step.now < next_join) return;
  next_join = step.now + join_interval;
  const join_request request{host.name(), self};
  if (host.renews()) host.handle(request, self.control, invariants, step);
  for (const auto& renewer : page.renewers) {
    if (!renewer.withdrawn && renewer.control != self.control) {
      step.send(renewer.control, request);
    }
  }
}

void agent_core::state::update_draining(step& step) {
  leases.set_draining(stopping || drained() || !self.upstream, step);
}

void agent_core::state::refresh_pages(step& step) {
  if (step.now < next_refresh) return;
  next_refresh = step.now + refresh_interval;
  const auto* host = own_host();
  if (host == nullptr || host->renews() || host->page().renewers.empty()) return;
  step.send(host->page().renewers.front().control,
            page_request{host->name(), host->page().sequence});
}

bool agent_core::state::needs_page_list(time_point now) const {
  const bool without_upstream = !self.upstream && now - began > page_list_delay;
  return without_upstream || coordinates_any();
}

void agent_core::state::choose_own_group(step& step) {
  if (!self.upstream || !record_reader.listed) return;
  const auto& service = self.upstream->service;
  own_group = group_name{service, group_of_agent(self.id.name, groups_of(service))};
  tick_own_group(step);
}

void agent_core::state::finish_stopping(step& step) {
  if (!stopping || stop_reported) return;
  const bool owns = std::ranges::any_of(groups | std::views::values, [&](const auto& host) {
    return owns_any(host.page(), self.id);
  });
  const bool renews = std::ranges::any_of(groups | std::views::values, &group_host::renews);
  if ((owns || renews) && step.now < stop_deadline) return;
  stop_reported = true;
  step.out.emplace_back(stopped{});
}

void agent_core::state::push_page(const group_host& host, std::uint64_t owner_changes_before,
                                  step& step) {
  const auto& page = host.page();
  std::set<endpoint> targets;
  for (const auto& renewer : page.renewers) targets.insert(renewer.control);
  if (page.members.size() <= pushed_members_max) {
    for (const auto& member : page.members) targets.insert(member.control);
  }
  for (const auto& entry : page.ranges) {
    if (entry.token.sequence <= owner_changes_before) continue;
    if (const auto* member = find_member(page, entry.owner.name)) targets.insert(member->control);
  }
  targets.erase(self.control);
  for (const auto& target : targets) step.send(target, page_update{page});
}

void agent_core::state::adopt(const assignment_page& page, step& step) {
  auto& host = group(name_of(page));
  const auto before = host.page();
  host.adopt(page, invariants, step);
  page_changed(host, before, step);
}

void agent_core::state::adopt_object(const store_object& object, step& step) {
  failure reason;
  const auto page = page_from_object(object, reason);
  if (!page) return;
  objects.put({object.name, object.version, object.value, false}, step.now);
  adopt(*page, step);
}

void agent_core::state::page_changed(group_host& host, const assignment_page& before, step& step) {
  const auto& page = host.page();
  if (page.version == before.version) return;
  routes.apply(page);
  std::vector<spread_peer> peers;
  std::ranges::transform(page.members, std::back_inserter(peers), [](const auto& member) {
    return spread_peer{member.control, member.region};
  });
  objects.set_peers(page_object_name(host.name()), std::move(peers));
  if (own_group == host.name()) {
    leases.page_adopted(page, report(), step);
    last_renewer_contact = step.now;
  }
  if (host.coordinates()) push_page(host, before.owner_changes, step);
}

void agent_core::state::records_changed(std::vector<stored_record> newer, step& step) {
  if (newer.empty()) return;
  for (const auto& [name, incarnation] : records.lost_agents()) {
    for (auto& host : groups | std::views::values)
      host.record_agent_ended(name, incarnation, step.now);
  }
  for (auto& record : newer) {
    const bool deleted = record.value.empty();
    objects.put({std::move(record.name), record.version, std::move(record.value), deleted},
                step.now);
  }
}

void agent_core::state::perform(spread_output output, step& step) {
  for (auto& outgoing : output.sends) {
    std::visit([&](auto& typed) { step.send(outgoing.to, std::move(typed)); }, outgoing.body);
  }
  std::vector<stored_record> received;
  for (auto& object : output.adopted) {
    if (!object.name.starts_with(group_reader.prefix)) {
      received.push_back({std::move(object.name), object.version, std::move(object.value)});
      continue;
    }
    failure reason;
    const auto page = page_from_object({object.name, object.version, object.value}, reason);
    if (page) adopt(*page, step);
  }
  records_changed(records.apply(received, invariants, step), step);
}

void agent_core::state::handle(const upstream_announced& input, step& step) {
  self.upstream = input.upstream;
  leases.describe_self(self);
  for (auto& host : groups | std::views::values) host.describe_self(self);
  tick_own_group(step);
}

void agent_core::state::handle(const upstream_lost& /*input*/, step& step) {
  self.upstream.reset();
  leases.describe_self(self);
  for (auto& host : groups | std::views::values) host.describe_self(self);
  if (auto* host = own_host()) leases.release_all(host->page(), report(), step);
}

void agent_core::state::handle(const load_observed& input, step& /*step*/) {
  busy_slots = input.busy_slots;
}

void agent_core::state::handle(const stop_requested& /*input*/, step& step) {
  if (stopping) return;
  stopping = true;
  stop_deadline = step.now + stop_timeout;
  for (auto& host : groups | std::views::values) host.set_draining(true);
  update_draining(step);
  tick(step);
}

void agent_core::state::handle(const range_idle& input, step& step) {
  if (auto* host = own_host()) leases.range_idle(input.range, host->page(), report(), step);
}

}  // namespace masticshunt::ownership
