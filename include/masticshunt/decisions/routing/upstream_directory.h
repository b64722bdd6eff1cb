/// @file
/// The upstreams registered by agents, and the choice of one for a request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::routing {

/// One incarnation of an upstream. A restarted upstream may keep its id, but has a new start time.
struct upstream_incarnation {
  std::string id;
  std::int64_t start_ms = 0;  ///< Unix time of its start.

  auto operator<=>(const upstream_incarnation&) const = default;
};

/// Lifecycle stage of an upstream.
enum class upstream_stage { ready, draining, gone };

/// Returns "ready", "draining" or "gone".
std::string_view to_string(upstream_stage stage);

/// An agent and its local upstream, as registered in the store.
struct registration {
  std::string agent;
  endpoint address;  ///< Where the agent accepts requests of its peers.
  std::string zone;
  std::string region;
  std::string service;
  upstream_incarnation incarnation;  ///< Empty id: no upstream was seen so far.
  upstream_stage stage = upstream_stage::ready;
  std::uint32_t slots = 1;

  bool operator==(const registration&) const = default;
};

/// Load of an upstream as its agent reports it in answers to peers.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  duration service_time{};  ///< Mean time of one request; zero if unknown.
  duration ran_for{};       ///< Time of the answered request; zero if it did not run.
  /// Requests a second that the upstream takes from all agents together, if it names a limit.
  std::optional<double> request_limit;
  duration limit_wait{};  ///< How long a further request would wait for that limit.
  std::optional<upstream_incarnation> leaving;  ///< The incarnation, if it drains or leaves.
  /// How long work takes on the upstream's VM at present, as a multiple of the usual time.
  double slowdown = 1;
};

/// Expected size and cost of a request, for the choice of an upstream.
struct request_estimate {
  std::uint64_t bytes = 0;  ///< Of its body and of the answer's.
  double work_ratio = 1;    ///< Its service time divided by the mean of all requests.
};

/// A request for which an upstream is to be chosen.
struct upstream_choice {
  std::string_view service;
  std::span<const std::string> tried{};    ///< Agents of earlier attempts.
  std::span<const std::string> regions{};  ///< That may handle the request; empty: all.
  request_estimate estimate{};
  /// If set, upstreams that are expected to answer later are not chosen: other upstreams were too
  /// busy already, and each offer takes a part of the way and of the time.
  std::optional<time_point> answer_by{};
  double draw = 0;  ///< Random number in [0, 1) that breaks near ties.
};

/// How an attempt at an upstream ended, for outlier detection.
enum class attempt_health {
  good,
  refused,     ///< The agent refused it before sending it to the upstream.
  starting,    ///< The agent has restarted, and has not heard from its upstream yet.
  failed,      ///< The upstream failed it, or refused it although a slot was free.
  unreachable  ///< The agent could not be reached, or the connection broke.
};

/// Costs for the choice of an upstream, all as time.
struct balance_settings {
  duration same_zone{};
  duration other_zone = std::chrono::milliseconds{10};
  duration other_region = std::chrono::milliseconds{40};
  duration kilobyte_to_other_zone = std::chrono::milliseconds{2};
  duration kilobyte_to_other_region = std::chrono::milliseconds{5};
  duration assumed_service_time = std::chrono::milliseconds{60};
  duration failure_penalty = std::chrono::milliseconds{600};  ///< At a failure share of 1.
  duration failure_half_life = std::chrono::seconds{2};       ///< Upstreams may recover.
  duration load_report_half_life = std::chrono::milliseconds{400};
  duration usual_queue_half_life = std::chrono::seconds{4};
  duration slowdown_half_life =
      std::chrono::milliseconds{150};               ///< It changes several times a second.
  duration limit_memory = std::chrono::seconds{3};  ///< How long a named limit counts.
  duration first_ejection = std::chrono::milliseconds{200};
  duration longest_ejection = std::chrono::seconds{2};
  duration estimate_lifetime = std::chrono::milliseconds{2};  ///< Of unchanged upstreams.
  duration warm_up = std::chrono::seconds{3};  ///< A new upstream is assumed to be slow this long.
  double warm_up_factor = 2;
};

/// Stores the registrations of all upstreams and chooses one for a request of an unsharded service.
///
/// Estimates for each upstream when an answer would arrive, from the network delay, the queue that
/// its agent reported (which decays with age to the usual queue there) plus the requests that this
/// agent sent since, and the work of the request. Bytes that cross zones or regions count as time,
/// as those links are narrow and billed by volume. Failures add to the estimate and decay with
/// time; an unreachable agent is ejected for a growing time. Thread safety: none.
class upstream_directory {
 public:
  upstream_directory(std::string zone, std::string region, balance_settings settings = {});
  upstream_directory(upstream_directory&&) = default;
  upstream_directory& operator=(upstream_directory&&) = default;
  upstream_directory(const upstream_directory&) = delete;
  upstream_directory& operator=(const upstream_directory&) = delete;
  ~upstream_directory() = default;

  /// Replaces all registrations by `all`. Returns the agents that were added, removed or changed.
  std::vector<std::string> replace_all(std::vector<registration> all, time_point now);
  /// Adds or updates one registration. Returns true if anything changed.
  bool put(registration published, time_point now);
  /// Removes an agent. Returns true if it was registered.
  bool remove(std::string_view agent);

  /// Returns the registration of `agent`, or null. Valid until the next change.
  [[nodiscard]] const registration* find(std::string_view agent) const;
  /// Returns all registrations of `service`, by agent.
  [[nodiscard]] std::vector<const registration*> of_service(std::string_view service) const;
  /// Returns all registrations, by agent.
  [[nodiscard]] std::vector<const registration*> all() const;
  /// Returns the number of registrations.
  [[nodiscard]] std::size_t size() const { return members_.size(); }

  /// Sets the zones whose upstreams get no requests.
  void set_evacuated_zones(std::set<std::string> zones);
  /// Returns true if an upstream is registered in `region`, whatever its stage.
  [[nodiscard]] bool has_region(std::string_view region) const;
  /// Returns true if an upstream is registered in `zone`, whatever its stage.
  [[nodiscard]] bool has_zone(std::string_view zone) const;

  /// Returns the agent for `request`, or nothing. Agents in `request.tried` rank last, unreachable
  /// ones behind all reachable agents that were not tried.
  [[nodiscard]] std::optional<std::string> choose(const upstream_choice& request,
                                                  time_point now) const;
  /// Returns when a report said that the upstream of `agent` leaves, or nothing. A new incarnation
  /// takes that back, a report without it does not: its agent may have restarted.
  [[nodiscard]] std::optional<time_point> leaving_since(std::string_view agent) const;
  /// Returns false while an agent is ejected because it was unreachable.
  [[nodiscard]] bool reachable(std::string_view agent, time_point now) const;

  /// Returns the limit that the upstream of `agent` named lately, in requests a second, or nothing.
  [[nodiscard]] std::optional<double> request_limit(std::string_view agent, time_point now) const;

  /// Records that an attempt was sent.
  void sent(std::string_view agent);
  /// Records how an attempt ended, with the load reported in the answer if there was one.
  void ended(std::string_view agent, attempt_health health, std::optional<load_report> load,
             time_point now);

 private:
  struct member {
    registration published;
    time_point added_at;
    std::uint32_t in_flight = 0;
    std::uint32_t sent_since_report = 0;
    load_report load;
    time_point reported_at{};
    double usual_queue = 0;  ///< Moving average of the reported queues.
    std::size_t index = 0;   ///< Of its costs among those of its service.
    double failure_share = 0;
    time_point failure_updated_at{};
    std::uint32_t consecutive_unreachable = 0;
    time_point ejected_until{};
    std::optional<time_point> leaving_since;
  };
  /// What the costs of one upstream, in seconds, consist of. It is kept for a moment, as choices
  /// come far more often than the estimates change.
  struct cost_terms {
    const member* upstream = nullptr;
    time_point estimated_at{};
    bool usable = false;  ///< Ready, not leaving, and not in an evacuated zone.
    double wait = 0;      ///< Until the work of a request begins.
    double work = 0;      ///< Of an average request.
    double kilobyte = 0;
    double other = 0;    ///< The way, and the penalty for failures.
    double ejected = 0;  ///< The penalty for an upstream that could not be reached.
    bool has_reported = false;
    double rank = 0;  ///< In the choice that is being made.
  };
  using service_costs = std::vector<cost_terms>;

  void index_by_service();
  void add_to_index(member& upstream);
  /// Estimates the terms anew with the next choice.
  void invalidate(const member& upstream) const;
  void estimate(cost_terms& terms, time_point now) const;
  /// Returns the cost of `request` without penalties for upstreams that rank last.
  [[nodiscard]] static double cost(const cost_terms& terms, const request_estimate& request);
  /// Returns the cost of `request` with the penalties; infinity if the upstream is no candidate, or
  /// is expected to be busy with it for longer than `answer_within` seconds.
  [[nodiscard]] static double rank(const cost_terms& terms, const upstream_choice& request,
                                   double answer_within);
  /// Returns the requests at the upstream and in its queue, with one that is sent now.
  [[nodiscard]] double expected_queue(const member& upstream, time_point now) const;
  /// Returns the slowdown to expect from the last report, which turns into 1 with its age.
  [[nodiscard]] double slowdown(const member& upstream, time_point now) const;
  [[nodiscard]] double failure_share(const member& upstream, time_point now) const;
  [[nodiscard]] double limit_wait(const member& upstream, time_point now) const;
  member* find_member(std::string_view agent);

  std::string zone_;
  std::string region_;
  balance_settings settings_;
  std::map<std::string, member, std::less<>> members_;
  mutable std::map<std::string, service_costs, std::less<>> by_service_;
  std::set<std::string> evacuated_zones_;
  bool initialized_ = false;  ///< Upstreams of the first registrations do not count as new.
};

}  // namespace masticshunt::routing
