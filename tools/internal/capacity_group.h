/// @file
/// One group with its coordinator, standbys and owners; the decisions run in virtual time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>

#include "capacity_measure.h"
#include "capacity_routing.h"
#include "capacity_spread.h"
#include "masticshunt/decisions/configuration/records.h"
#include "masticshunt/decisions/ownership/page.h"
#include "soak/fake_store.h"

namespace masticshunt::capacity {

/// The traffic, processor time and store calls of one agent.
struct agent_traffic {
  double messages = 0;  ///< Sent and received.
  double sent_bytes = 0;
  double received_bytes = 0;
  double processor_ns = 0;  ///< Decisions, encoding and decoding.
  double store_reads = 0;   ///< Lists and watches included.
  double store_writes = 0;
};

/// A group of agents that exchange encoded messages. The only faults are the crashes requested.
class measured_group {
 public:
  explicit measured_group(std::uint32_t members) : traffic(members), cores_(members) {
    configuration::service_record service;
    service.name = "booking-ledger";
    service.default_rank = "normal";
    const configuration::record record{1, service};
    store_.put(configuration::object_name(record), configuration::to_value(record));
    for (std::uint32_t index = 0; index < members; ++index) start(index, members);
  }

  void run(duration length) {
    const auto end = now_ + length;
    while (!events_.empty() && events_.top().when <= end) {
      const auto next = events_.top();
      events_.pop();
      now_ = next.when;
      next.action();
    }
    now_ = end;
  }

  void crash(std::size_t index) { cores_[index].reset(); }

  [[nodiscard]] std::optional<ownership::assignment_page> page() const {
    failure reason;
    const auto object = store_.find("groups/booking-ledger/0");
    return object ? ownership::page_from_object(*object, reason) : std::nullopt;
  }

  /// Returns the index of the agent called `id`.
  [[nodiscard]] std::size_t index_of(const agent_id& id) const { return indices_.at(id.name); }

  /// Returns true if any agent would admit a request for `hash` now.
  [[nodiscard]] bool is_served(key_hash hash) const {
    return std::ranges::any_of(cores_, [&](const auto& core) {
      return core && core->admit("booking-ledger", hash, now_);
    });
  }

  void reset_traffic() { traffic.assign(traffic.size(), {}); }

  std::vector<agent_traffic> traffic;

 private:
  struct scheduled {
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  void at(time_point when, std::function<void()> action) {
    events_.push({std::max(when, now_), ++order_, std::move(action)});
  }

  void start(std::uint32_t index, std::uint32_t members) {
    ownership::core_settings settings;
    settings.self = sample_agent(index);
    settings.self.region = "region-0";
    settings.self.failure_domain = "region-0-" + std::to_string(index % 4);
    const auto upstream = *settings.self.upstream;
    settings.self.upstream.reset();
    settings.seed = index + 1;
    settings.expected_members = members;
    indices_[settings.self.id.name] = index;
    by_endpoint_[settings.self.control] = index;
    endpoints_.push_back(settings.self.control);
    cores_[index] = std::make_unique<ownership::agent_core>(settings);
    timers_.push_back(0);
    at(now_ + std::chrono::milliseconds{7 * (index + 1)}, [this, index, upstream] {
      deliver(index, ownership::started{});
      deliver(index, ownership::upstream_announced{upstream});
    });
  }

  void deliver(std::size_t index, const ownership::event& event) {
    if (!cores_[index]) return;
    ownership::actions pending_actions;
    traffic[index].processor_ns +=
        time_each(1, 1, [&] { pending_actions = cores_[index]->handle(event, now_); }).median();
    for (const auto& action : pending_actions) {
      std::visit([&](const auto& request) { act(index, request); }, action);
    }
  }

  void act(std::size_t index, const ownership::send_message& message) {
    const auto target = by_endpoint_.find(message.to);
    if (target == by_endpoint_.end()) return;
    const auto to = target->second;
    auto bytes = std::make_shared<std::string>();
    traffic[index].processor_ns += time_each(1, 1, [&] {
                                     *bytes = ownership::encode(message.body, endpoints_[index]);
                                   }).median();
    const double size = static_cast<double>(bytes->size()) + transport_bytes;
    ++traffic[index].messages;
    traffic[index].sent_bytes += size;
    at(now_ + std::chrono::microseconds{1'500}, [this, to, bytes, size] {
      if (!cores_[to]) return;
      ++traffic[to].messages;
      traffic[to].received_bytes += size;
      std::optional<ownership::envelope> received;
      failure reason;
      traffic[to].processor_ns +=
          time_each(1, 1, [&] { received = ownership::decode(*bytes, reason); }).median();
      if (received) deliver(to, ownership::message_received{received->from, received->body});
    });
  }
  void act(std::size_t index, const ownership::store_read& call) {
    ++traffic[index].store_reads;
    answer(index, [this, call] { return store_.read(call); });
  }
  void act(std::size_t index, const ownership::store_write& call) {
    ++traffic[index].store_writes;
    answer(index, [this, call] { return store_.write(call); });
  }
  void act(std::size_t index, const ownership::store_list& call) {
    ++traffic[index].store_reads;
    if (!call.after_revision) {
      answer(index, [this, call] { return store_.list(call); });
    } else {
      wait_for_change(index, call, now_ + std::chrono::seconds{20});
    }
  }
  void act(std::size_t index, const ownership::wake_at& wake) {
    const auto generation = ++timers_[index];
    at(wake.when, [this, index, generation] {
      if (timers_[index] == generation) deliver(index, ownership::timer_fired{});
    });
  }
  template <class Other>
  void act(std::size_t, const Other&) {}

  template <class Call>
  void answer(std::size_t index, Call call) {
    at(now_ + std::chrono::milliseconds{2}, [this, index, call] {
      const auto result = call();
      at(now_ + std::chrono::milliseconds{2}, [this, index, result] { deliver(index, result); });
    });
  }

  void wait_for_change(std::size_t index, const ownership::store_list& call, time_point end) {
    at(now_ + std::chrono::milliseconds{50}, [this, index, call, end] {
      auto result = store_.list(call);
      if (result.objects->empty() && now_ < end) {
        wait_for_change(index, call, end);
      } else {
        deliver(index, std::move(result));
      }
    });
  }

  time_point now_{std::chrono::hours{1}};
  std::uint64_t order_ = 0;
  testing::fake_store store_;
  std::vector<std::unique_ptr<ownership::agent_core>> cores_;
  std::vector<endpoint> endpoints_;
  std::vector<std::uint64_t> timers_;
  std::map<std::string, std::size_t> indices_;
  std::map<endpoint, std::size_t> by_endpoint_;
  std::priority_queue<scheduled> events_;
};

/// Crashes all owners that `is_lost` selects at once. Returns the milliseconds until all of their
/// ranges are served again.
template <class Lost>
double unavailable_after_loss(measured_group& group, Lost is_lost) {
  std::vector<key_hash> hashes;
  const auto page = group.page();
  if (!page) return not_measured;
  for (const auto& range : page->ranges) {
    if (is_lost(range.owner)) hashes.push_back(range.range.first);
  }
  for (const auto& member : page->members) {
    if (is_lost(member.id)) group.crash(group.index_of(member.id));
  }
  constexpr duration step = std::chrono::milliseconds{10};
  constexpr duration limit = std::chrono::seconds{20};
  for (duration waited{}; waited < limit; waited += step) {
    std::erase_if(hashes, [&](key_hash hash) { return group.is_served(hash); });
    if (hashes.empty()) return seconds_of(waited) * 1e3;
    group.run(step);
  }
  return not_measured;
}

/// Crashes the coordinator. Returns the longest time in milliseconds, within the next 10 s, for
/// which a range of a surviving owner was not served.
inline double longest_gap_of_surviving_owners(measured_group& group) {
  const auto page = group.page();
  if (!page) return not_measured;
  const auto lost = page->renewers.front().id;
  group.crash(group.index_of(lost));
  std::map<key_hash, double> gaps;
  constexpr duration step = std::chrono::milliseconds{10};
  double greatest = 0;
  for (duration waited{}; waited < std::chrono::seconds{10}; waited += step) {
    for (const auto& range : page->ranges) {
      if (range.owner == lost) continue;
      auto& gap = gaps[range.range.first];
      gap = group.is_served(range.range.first) ? 0 : gap + seconds_of(step) * 1e3;
      greatest = std::max(greatest, gap);
    }
    group.run(step);
  }
  return greatest;
}

inline void measure_large_losses(const report& out, measured_slopes& slopes) {
  table rows{"large_losses",
             {"members", "a failure domain lost (a quarter of them): all served again after, ms",
              "coordinator lost: longest gap of a range whose owner lives, ms"},
             {}};
  for (const std::uint32_t members : {12U, 24U, 48U}) {
    measured_group by_domain(members);
    by_domain.run(seconds{30});
    slopes.domain_unavailable_ms = unavailable_after_loss(by_domain, [&](const agent_id& id) {
      return by_domain.index_of(id) % 4 == 1;  // The failure domain that `start` assigns.
    });
    measured_group by_coordinator(members);
    by_coordinator.run(seconds{30});
    rows.rows.push_back({format_number(members), format_number(slopes.domain_unavailable_ms),
                         format_number(longest_gap_of_surviving_owners(by_coordinator))});
  }
  out.write(rows);
}

inline void measure_group(const report& out, measured_slopes& slopes) {
  constexpr double seconds_measured = 10;
  table roles{"group",
              {"members", "role", "messages/s", "sent, bytes/s", "received, bytes/s",
               "processor, % of a core", "store reads/s", "store writes/s"},
              {}};
  table losses{"loss",
               {"members",
                "served again after the loss of an owner, ms (median, least, greatest "
                "of 3)"},
               {}};
  table pages{"page",
              {"members", "ranges", "stored bytes", "encode, µs", "decode, µs",
               "patch after 16 ranges changed owner, bytes"},
              {}};
  std::vector<std::pair<double, double>> sent;
  std::vector<std::pair<double, double>> received;
  std::vector<std::pair<double, double>> core;
  std::vector<std::pair<double, double>> messages;
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> encode;
  std::vector<std::pair<double, double>> decode;
  for (const std::uint32_t members : {25U, 50U, 100U}) {
    measured_group group(members);
    group.run(seconds{30});
    group.reset_traffic();
    group.run(seconds{static_cast<int>(seconds_measured)});
    auto page = group.page();
    if (!page || page->members.size() != members) {
      std::cerr << "the group of " << members
                << " did not reach full membership: " << (page ? page->members.size() : 0)
                << " members\n";
      if (!page) continue;
    }
    const auto row = [&](const std::string& role, const agent_traffic& usage) {
      roles.rows.push_back({format_number(members), role,
                            format_number(usage.messages / seconds_measured),
                            format_number(usage.sent_bytes / seconds_measured),
                            format_number(usage.received_bytes / seconds_measured),
                            format_number(usage.processor_ns / seconds_measured / 1e7),
                            format_number(usage.store_reads / seconds_measured),
                            format_number(usage.store_writes / seconds_measured)});
    };
    const auto renews = [&](const agent_id& id) {
      return std::ranges::count(page->renewers, id, &ownership::renewer_record::id) != 0;
    };
    const auto coordinator = group.traffic[group.index_of(page->renewers.front().id)];
    row("coordinator", coordinator);
    if (page->renewers.size() > 1) {
      const auto standby = group.traffic[group.index_of(page->renewers[1].id)];
      row("standby", standby);
      slopes.standby_bytes_per_second = standby.sent_bytes / seconds_measured;
      slopes.standby_core_share = standby.processor_ns / seconds_measured / 1e9;
    }
    std::vector<agent_id> owners;
    for (const auto& member : page->members) {
      if (!renews(member.id)) owners.push_back(member.id);
    }
    const auto owner = group.traffic[group.index_of(owners.front())];
    row("owner", owner);
    slopes.owner_bytes_per_second = owner.sent_bytes / seconds_measured;
    slopes.owner_messages_per_second = owner.messages / seconds_measured;
    slopes.owner_core_share = owner.processor_ns / seconds_measured / 1e9;
    const double size = members;
    messages.emplace_back(size, coordinator.messages / seconds_measured);
    sent.emplace_back(size, coordinator.sent_bytes / seconds_measured);
    received.emplace_back(size, coordinator.received_bytes / seconds_measured);
    core.emplace_back(size, coordinator.processor_ns / seconds_measured / 1e9);

    std::string value;
    const auto encoded = time_each(1, 5, [&] { value = ownership::to_value(*page); });
    const auto decoded = time_each(1, 5, [&] {
      failure reason;
      const auto read = ownership::page_from_object({"groups/booking-ledger/0", 1, value}, reason);
      if (!read) std::cerr << reason.message << "\n";
    });
    auto changed = *page;
    for (std::size_t index = 0; index < 16 && index < changed.ranges.size(); ++index) {
      auto& range = changed.ranges[index * changed.ranges.size() / 16];
      range.owner = owners.back();
      range.token.sequence += 1'000'000;
    }
    const auto patch = ownership::make_patch_steps(value, ownership::to_value(changed));
    pages.rows.push_back(
        {format_number(members), format_number(static_cast<double>(page->ranges.size())),
         format_number(static_cast<double>(value.size())), format_number(encoded.median() / 1e3),
         format_number(decoded.median() / 1e3), format_number(static_cast<double>(patch.size()))});
    bytes.emplace_back(size, value.size());
    encode.emplace_back(size, encoded.median() / 1e3);
    decode.emplace_back(size, decoded.median() / 1e3);

    readings unavailable;
    for (std::size_t loss = 0; loss < 3 && loss < owners.size(); ++loss) {
      unavailable.values.push_back(
          unavailable_after_loss(group, [&](const agent_id& id) { return id == owners[loss]; }));
      group.run(seconds{5});
    }
    slopes.unavailable_ms = std::ranges::max(unavailable.values);
    losses.rows.push_back({format_number(members), unavailable.with_range()});
  }
  slopes.coordinator_messages_by_members = fit(messages);
  slopes.coordinator_bytes_by_members = fit(sent);
  slopes.coordinator_received_by_members = fit(received);
  slopes.coordinator_core_by_members = fit(core);
  slopes.page_bytes_by_members = fit(bytes);
  slopes.page_encode_us_by_members = fit(encode);
  slopes.page_decode_us_by_members = fit(decode);
  out.write(roles);
  out.write(losses);
  out.write(pages);
  out.plot("coordinator", "Coordinator: bytes a second by members of the group", "members",
           "bytes/s", {{"sent", sent}, {"received", received}});
}

}  // namespace masticshunt::capacity
