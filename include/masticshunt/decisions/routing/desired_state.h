/// @file
/// The desired state that operators configure: routes, services and limits, as one version.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticshunt::routing {

/// Whether the agent may retry a request that may have run.
enum class retry_rule { idempotent, at_most_once };

/// A service that a route leads to, with its weight among the route's services.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// One route. Requests match by host and by the longest path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  retry_rule retries = retry_rule::at_most_once;
  std::chrono::milliseconds timeout{};     ///< Limit for the time to the answer.
  std::chrono::milliseconds target{};      ///< Latency within which an answer has its full value.
  std::uint32_t rank = 0;                  ///< 0 is the most urgent.
  std::uint32_t upstreams_max = 1;         ///< Upstreams that may run one request.
  std::vector<weighted_service> services;  ///< Never empty.
  /// Regions in which requests may be handled; empty: everywhere.
  std::vector<std::string> regions;

  bool operator==(const route&) const = default;
};

struct service {
  std::string name;
  std::string health_path;
  std::uint32_t connections_max = 0;    ///< To one upstream, from all agents together.
  bool keyed = false;                   ///< Each key is owned by one upstream.
  std::chrono::milliseconds warm_up{};  ///< How long keys without a hand-over are slow.
  /// Requests a second that an upstream takes while it is cold, if that is limited.
  std::optional<double> slow_start_rate;

  bool operator==(const service&) const = default;
};

/// Limits for the size of a caller's requests, and for how long a caller may send or stay idle.
struct caller_limits {
  std::uint64_t header_bytes = 16'384;
  std::uint64_t body_bytes = 67'108'864;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};

  bool operator==(const caller_limits&) const = default;
};

/// One version of the whole configuration.
struct desired_state {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service, std::less<>> services;
  caller_limits limits;

  bool operator==(const desired_state&) const = default;
};

/// Finds routes of one desired state.
///
/// Thread safety: immutable after construction.
///
///     route_table table(state);
///     if (const route* found = table.match("shop.example", "/carts/7")) use(*found);
class route_table {
 public:
  route_table() = default;
  explicit route_table(desired_state state);

  /// Returns the route of `host` with the longest prefix of `path`, or null. Ignores a port in
  /// `host`, and a query in `path`.
  [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
  /// Returns the service named `name`, or null.
  [[nodiscard]] const service* find_service(std::string_view name) const;
  /// Returns the state that the table was made from.
  [[nodiscard]] const desired_state& state() const { return state_; }
  /// Returns the version in force; zero before the first one.
  [[nodiscard]] std::uint64_t version() const { return state_.version; }

 private:
  desired_state state_;
  /// By host: indexes into `state_.routes`, the longest prefix first.
  std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

/// Returns the service among `services` for a request whose idempotency key hashes to `hash`. The
/// same request always goes to the same service, and over many requests each service gets a share
/// in proportion to its weight.
const std::string& service_for(const std::vector<weighted_service>& services, std::uint64_t hash);

}  // namespace masticshunt::routing
