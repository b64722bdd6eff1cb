/// @file
/// A stand-in of an upstream server with fault injection, for the demo, the bench and tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/failure.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::upstream {

/// Identity, capacity and speed of a stand-in.
struct stand_in_settings {
  std::string service = "demo";
  std::string listen_ip = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: any free port.
  endpoint agent;          ///< Upstream port of the local agent; empty: no announcements.
  std::uint64_t incarnation = 1;
  std::uint32_t slots = 12;         ///< Maximum number of requests running at once.
  std::uint32_t connections = 120;  ///< Announced maximum; 8 more are accepted.
  std::uint32_t queue_limit = 64;   ///< Maximum number of waiting requests; more are shed.
  bool checks_fences = true;
  std::chrono::microseconds service_time{2'000};  ///< Mean run time of a request.
  double service_time_spread = 0.5;               ///< Maximum relative deviation from the mean.
  std::chrono::milliseconds announce_interval{1'000};
  std::uint64_t seed = 1;          ///< Seeds service times and the choice of shed requests.
  bool records_idempotent = true;  ///< Also records runs of idempotent methods (GET, PUT, ...).
};

/// Injected faults; in force until they are changed.
struct stand_in_faults {
  std::chrono::microseconds lag{0};           ///< Added to the service time.
  bool frozen = false;                        ///< Accepts connections but processes nothing.
  double shed_share = 0;                      ///< Share of requests refused before running.
  bool ignores_fences = false;                ///< Runs requests with stale fencing tokens.
  std::optional<bool> claimed_healthy;        ///< Reported by /health instead of the real state.
  std::optional<std::uint32_t> claimed_busy;  ///< Reported by /load instead of the real number.
  std::string stalled_key;                    ///< Requests for this key take `stall` longer.
  std::chrono::milliseconds stall{0};
  std::string announced_state = "ready";  ///< "ready", "draining" or "stopping".
};

/// Parses the faults in `text`, a JSON object with any of the members lag_us, freeze, shed_share,
/// ignore_fences, claimed_healthy, claimed_busy, stalled_key, stall_ms and state. Missing members
/// keep their value from `current`; null removes a claimed_healthy or claimed_busy.
std::optional<stand_in_faults> parse_faults(std::string_view text, const stand_in_faults& current,
                                            failure& reason);

/// The outcome of a run.
enum class run_outcome {
  running,    ///< Has not ended.
  finished,   ///< Completed; its response was passed to the connection.
  cancelled,  ///< The connection was closed during the run.
  timed_out,  ///< The deadline passed during the run.
  lost        ///< The upstream crashed during the run.
};

/// Returns the name of `outcome`, for example "finished".
std::string_view to_string(run_outcome outcome);

/// One run of a request.
struct run_record {
  std::uint64_t number = 0;  ///< Number of the run, from 1.
  endpoint upstream;         ///< The stand-in's address.
  std::uint64_t incarnation = 0;
  std::string method;
  std::string service;
  std::string key;
  std::string idempotency_key;  ///< Value of the Idempotency-Key header.
  std::string request_id;
  std::string rank;
  fence_token fence;
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;  ///< xxHash64 of the request's body.
  time_point started;
  time_point ended;  ///< Meaningful unless `outcome` is `running`.
  run_outcome outcome = run_outcome::running;
  bool out_of_reach = false;  ///< Could not be cancelled for some time, because the stand-in was
                              ///< frozen or the connection hung while the request waited or ran.
};

/// Counters of runs and refused requests, and the current load.
struct stand_in_counts {
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;
  std::uint64_t fenced = 0;               ///< Refused because of a stale fencing token.
  std::uint64_t late = 0;                 ///< Refused because the deadline had passed.
  std::uint64_t truncated_bodies = 0;     ///< Requests with a truncated body; they did not run.
  std::uint64_t connections_refused = 0;  ///< Beyond the announced number and a reserve.
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
  std::uint32_t connections = 0;
};

/// An HTTP/1.1 server that implements the upstream interface of docs/INTERFACES.md.
///
/// It announces itself, runs requests in slots for a seeded random time, streams bodies, checks
/// fencing tokens, and honours deadlines and cancellation. It records every run, so that tests can
/// check at-most-once execution, single ownership and false "not run" outcomes. A restart discards
/// the fencing tokens, as in a real upstream, but keeps the records.
///
/// Over HTTP: `POST /stand-in/fault` takes the JSON of `parse_faults`, and also `"silence": true`
/// (open connections hang, new ones work) and `"crash": true` with an optional
/// `"restart_after_ms"`; `GET /stand-in/records` returns the runs; `GET /health`; `GET /load`.
///
/// The body of a response is JSON with the request's ID, idempotency key and xxHash64 of its body,
/// or, with `?answer_bytes=N`, N bytes generated from the request ID; `X-Answer-Xxh64` holds its
/// checksum.
///
/// Construct, call `start`, run the context; call `stop` before the context ends.
/// Thread safety: all members may be called from any thread.
///
///     stand_in server(context, settings);
///     failure reason;
///     if (!server.start(reason)) return report(reason);
class stand_in {
 public:
  stand_in(boost::asio::io_context& context, const stand_in_settings& settings);
  ~stand_in();
  stand_in(const stand_in&) = delete;
  stand_in& operator=(const stand_in&) = delete;

  /// Starts listening and announcing. Returns false, with `reason` filled, on failure.
  bool start(failure& reason);
  /// Closes the listener and all connections; runs in progress end as `lost`.
  void stop();

  /// Returns the listening port.
  [[nodiscard]] std::uint16_t port() const;
  /// Returns the announced address.
  [[nodiscard]] endpoint address() const;
  /// Sends announcements to `agent` from the next one on.
  void announce_to(const endpoint& agent);

  /// Replaces the faults.
  void set_faults(const stand_in_faults& faults);
  /// Returns the faults in force.
  [[nodiscard]] stand_in_faults faults() const;
  /// Makes all open connections hang until they are closed; new ones work.
  void hang_open_connections();
  /// Simulates a crash: drops the listener, all connections, runs and fencing tokens, but keeps the
  /// records.
  void crash();
  /// Restarts after a crash, on the same port with the next incarnation.
  void restart();

  /// Returns the runs so far.
  [[nodiscard]] std::vector<run_record> records() const;
  /// Returns the counters and the current load.
  [[nodiscard]] stand_in_counts counts() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

/// Runs a stand-in until SIGTERM or SIGINT. Returns the exit status for the process.
int run_stand_in(const stand_in_settings& settings);

}  // namespace masticshunt::upstream
