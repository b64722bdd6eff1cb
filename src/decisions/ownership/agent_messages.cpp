#include <algorithm>
#include <ranges>

#include "internal/agent_state.h"

namespace masticshunt::ownership {
namespace {

constexpr duration record_mismatch_timeout = std::chrono::seconds{3};
constexpr duration group_watch_interval = std::chrono::seconds{1};
constexpr duration record_watch_interval = std::chrono::milliseconds{300};

/// Returns the group named in the message, or nothing.
std::optional<group_name> group_in(const message& body) {
  return std::visit(
      [](const auto& typed) -> std::optional<group_name> {
        if constexpr (requires { typed.group.service; }) return typed.group;
        return std::nullopt;
      },
      body);
}

/// Returns the sequence of the sender's page; zero if the message does not state it.
std::uint64_t sequence_in(const message& body) {
  return std::visit(
      [](const auto& typed) -> std::uint64_t {
        if constexpr (requires { typed.sequence; }) return typed.sequence;
        return 0;
      },
      body);
}

std::vector<stored_record> records_of(const std::vector<store_object>& objects) {
  std::vector<stored_record> result;
  std::ranges::transform(objects, std::back_inserter(result), [](const store_object& object) {
    return stored_record{object.name, object.version, object.value};
  });
  return result;
}

}  // namespace

void agent_core::state::handle(const message_received& input, step& step) {
  std::visit(
      [&](const auto& typed) {
        if constexpr (requires { this->on(typed, input.from, step); }) on(typed, input.from, step);
      },
      input.body);
  const auto name = group_in(input.body);
  auto* host = name ? find_group(*name) : nullptr;
  if (host == nullptr) return;
  if (sequence_in(input.body) > host->page().sequence) {
    step.send(input.from, page_request{*name, host->page().sequence});
  }
  const auto before = host->page();
  host->handle(input.body, input.from, invariants, step);
  page_changed(*host, before, step);
}

void agent_core::state::on(const page_update& body, const endpoint& /*from*/, step& step) {
  if (body.page.version == 0 || !ranges_are_contiguous(body.page)) return;
  adopt(body.page, step);
}

void agent_core::state::on(const page_request& body, const endpoint& from, step& step) {
  const auto* host = find_group(body.group);
  if (host == nullptr || host->page().sequence <= body.sequence) return;
  step.send(from, page_update{host->page()});
}

void agent_core::state::on(const records_update& body, const endpoint& /*from*/, step& step) {
  records_changed(body.complete
                      ? records.apply_snapshot(body.records, body.revision, invariants, step)
                      : records.apply(body.records, invariants, step),
                  step);
}

void agent_core::state::on(const renew_reply& body, const endpoint& /*from*/, step& step) {
  const auto* host = own_host();
  if (host == nullptr || body.group != host->name()) return;
  const auto& page = host->page();
  if (!body.whole) {
    leases.handle(body, page.sequence, step);
    return;
  }
  // `whole` refers to the ranges of page `sequence`, which may differ in the page held here. The
  // next renewal requests them again.
  if (body.sequence != page.sequence) return;
  renew_reply expanded = body;
  std::ranges::copy_if(page.ranges, std::back_inserter(expanded.granted),
                       [&](const auto& entry) { return entry.owner == self.id; });
  leases.handle(expanded, page.sequence, step);
}

void agent_core::state::on(const release_request& body, const endpoint& /*from*/, step& step) {
  if (own_group == body.group) leases.handle(body, step);
}

void agent_core::state::on(const renew_request& body, const endpoint& from, step& step) {
  const auto* host = find_group(body.group);
  if (host == nullptr || !host->renews()) return;
  if (body.config_digest == records.digest()) {
    record_mismatch_since.erase(body.owner);
    return;
  }
  const auto since = record_mismatch_since.try_emplace(body.owner, step.now).first;
  if (step.now - since->second < record_mismatch_timeout) return;
  since->second = step.now;
  step.send(from, records.snapshot());
}

void agent_core::state::on(const spread_notice& body, const endpoint& from, step& step) {
  perform(objects.handle(from, body, step.now), step);
}

void agent_core::state::on(const spread_pull& body, const endpoint& from, step& step) {
  perform(objects.handle(from, body, step.now), step);
}

void agent_core::state::on(const spread_objects& body, const endpoint& from, step& step) {
  perform(objects.handle(from, body, step.now), step);
}

void agent_core::state::on(const spread_digest& body, const endpoint& from, step& step) {
  perform(objects.handle(from, body, step.now), step);
}

void agent_core::state::handle(const store_read_done& input, step& step) {
  const auto call = end_call(input.call);
  if (!call) return;
  reading.erase(call->group);
  auto& [next_read, delays] = read_delays[call->group];
  failure reason;
  const auto page = input.object ? page_from_object(*input.object, reason) : std::nullopt;
  if (!input.object && input.reason.kind == failure_kind::not_found) own_page_read = true;
  if (!page) {
    next_read = step.now + delays.next_delay(jitter);
    return;
  }
  delays.reset();
  objects.put({input.object->name, input.object->version, input.object->value, false}, step.now);
  auto& host = group(call->group);
  const auto before = host.page();
  host.read_for_support(*page, call->sent, invariants, step);
  page_changed(host, before, step);
}

void agent_core::state::handle(const store_write_done& input, step& step) {
  const auto call = end_call(input.call);
  if (!call) return;
  auto& host = group(call->group);
  const auto before = host.page();
  if (host.handle_write_result(input, jitter, invariants, step)) read_page(call->group, step);
  if (input.version && host.page().version == *input.version) {
    objects.put({page_object_name(call->group), *input.version, to_value(host.page()), false},
                step.now);
  }
  page_changed(host, before, step);
}

void agent_core::state::handle(const store_list_done& input, step& step) {
  const auto call = end_call(input.call);
  if (!call) return;
  const bool of_groups =
      call->purpose == call_purpose::list_groups || call->purpose == call_purpose::watch_groups;
  auto& reader = of_groups ? group_reader : record_reader;
  const bool first = call->purpose == reader.list;
  reader.waiting = false;
  if (!input.objects) {
    reader.next_try = step.now + reader.delays.next_delay(jitter);
    return;
  }
  reader.delays.reset();
  reader.listed = true;
  reader.revision = std::max(reader.revision, input.revision);
  reader.next_try = step.now + (of_groups ? group_watch_interval : record_watch_interval);
  if (!of_groups) {
    const auto listed = records_of(*input.objects);
    auto newer = first ? records.apply_snapshot(listed, input.revision, invariants, step)
                       : records.apply(listed, invariants, step);
    records.advance_revision(input.revision);
    records_changed(std::move(newer), step);
    return;
  }
  for (const auto& object : *input.objects) adopt_object(object, step);
}

}  // namespace masticshunt::ownership
