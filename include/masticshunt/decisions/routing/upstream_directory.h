/// @file
/// The upstreams that agents announced, and which one a request should go to.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::routing {

/// One life of an upstream. A restarted upstream may keep its id, but is born anew.
struct upstream_incarnation {
  std::string id;
  std::int64_t start_ms = 0;  ///< Unix time of its start.

  auto operator<=>(const upstream_incarnation&) const = default;
};

/// How far an upstream is from its end.
enum class upstream_stage { ready, draining, gone };

/// Returns "ready", "draining" or "gone".
std::string_view to_string(upstream_stage stage);

/// An agent with the upstream beside it, as the store's registry holds it.
struct registration {
  std::string agent;
  endpoint address;  ///< Where the agent takes requests from its peers.
  std::string zone;
  std::string region;
  std::string service;
  upstream_incarnation incarnation;  ///< Empty id: no upstream is known there yet.
  upstream_stage stage = upstream_stage::ready;
  std::uint32_t slots = 1;

  bool operator==(const registration&) const = default;
};

/// Load of an upstream as its agent states it in answers to peers.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  duration service_time{};  ///< Usual time of one request; zero if unknown.
  duration ran_for{};       ///< Of the request that it answers; zero if that did not run.
};

/// What the choice of an upstream expects of a request.
struct request_estimate {
  std::uint64_t bytes = 0;  ///< Of its body and its answer's.
  double work_ratio = 1;    ///< Its service time over that of all requests of an upstream.
};

/// How an attempt at an upstream ended, for the choice of the next.
enum class attempt_health {
  good,
  refused,     ///< The agent refused it before it was sent to the upstream.
  failed,      ///< The upstream failed it, or refused it although its agent had a slot for it.
  unreachable  ///< The agent could not be reached or broke off.
};

/// Costs that the choice weighs, all as time.
struct balance_settings {
  duration same_zone{};
  duration other_zone = std::chrono::milliseconds{10};
  duration other_region = std::chrono::milliseconds{40};
  duration kilobyte_to_other_zone = std::chrono::milliseconds{2};
  duration kilobyte_to_other_region = std::chrono::milliseconds{5};
  duration assumed_service_time = std::chrono::milliseconds{60};
  duration failure_penalty = std::chrono::milliseconds{600};  ///< At a failure share of one.
  duration failure_half_life = std::chrono::seconds{2};       ///< An upstream may have recovered.
  duration load_report_half_life = std::chrono::milliseconds{400};
  duration first_ejection = std::chrono::milliseconds{200};
  duration longest_ejection = std::chrono::seconds{2};
  duration warm_up = std::chrono::seconds{3};  ///< A new upstream is taken for slow this long.
  double warm_up_factor = 2;
};

/// Knows all upstreams and chooses among those of a service without keys.
///
/// The choice estimates for each upstream when an answer would be there: the way to it, the queue
/// that its agent stated, aged, plus what this agent sent since, and the request's own work. Bytes
/// that cross zones or regions count as time, as links are narrow and billed by volume. Failures
/// add to the estimate and are forgotten with time; an agent that can't be reached is set aside for
/// a growing time. Thread safety: none.
class upstream_directory {
 public:
  upstream_directory(std::string zone, std::string region, balance_settings settings = {});

  /// Replaces everything known by `all`. Returns the agents that appeared, left or changed.
  std::vector<std::string> replace_all(std::vector<registration> all, time_point now);
  /// Takes in one registration. Returns true if anything changed.
  bool put(registration entry, time_point now);
  /// Forgets an agent. Returns true if it was known.
  bool remove(std::string_view agent);

  /// Returns the registration of `agent`, or null. Valid until the next change.
  [[nodiscard]] const registration* find(std::string_view agent) const;
  /// Returns all registrations of `service`, by agent.
  [[nodiscard]] std::vector<const registration*> of_service(std::string_view service) const;
  /// Returns all registrations, by agent.
  [[nodiscard]] std::vector<const registration*> all() const;

  /// Returns the agent for a request of `service`, or nothing. Agents in `tried` come last, those
  /// that can't be reached only if there is nobody else. `draw` in [0, 1) breaks near ties.
  [[nodiscard]] std::optional<std::string> choose(std::string_view service,
                                                  const std::vector<std::string>& tried,
                                                  double draw, time_point now,
                                                  const request_estimate& request = {}) const;
  /// Returns false while an agent is set aside because it could not be reached.
  [[nodiscard]] bool reachable(std::string_view agent, time_point now) const;

  /// Notes that an attempt was sent.
  void sent(std::string_view agent);
  /// Notes how an attempt ended, with the load stated in the answer if there was one.
  void ended(std::string_view agent, attempt_health mark, std::optional<load_report> load,
             time_point now);

 private:
  struct member {
    registration entry;
    time_point known_since;
    std::uint32_t in_flight = 0;
    std::uint32_t sent_since_statement = 0;
    load_report load;
    time_point stated_at{};
    double failure_share = 0;
    time_point failure_noted{};
    std::uint32_t unreachable_in_row = 0;
    time_point aside_until{};
  };
  [[nodiscard]] double cost(const member& one, const request_estimate& request,
                            time_point now) const;
  [[nodiscard]] double failure_share(const member& one, time_point now) const;
  member* known(std::string_view agent);

  std::string zone_;
  std::string region_;
  balance_settings settings_;
  std::map<std::string, member, std::less<>> members_;
  bool started_ = false;  ///< The first registrations are not taken for new upstreams.
};

}  // namespace masticshunt::routing
