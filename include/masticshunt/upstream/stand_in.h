/// @file
/// A stand-in of an upstream server with faults on request, for the demo, the bench and tests.
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

/// What a stand-in is and how fast it works.
struct stand_in_settings {
  std::string service = "demo";
  std::string listen_ip = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0 takes any free port.
  endpoint agent;          ///< Upstream port of the agent beside it; empty: no announcements.
  std::uint64_t incarnation = 1;
  std::uint32_t slots = 12;         ///< Requests it runs at once.
  std::uint32_t connections = 120;  ///< Connections it accepts.
  std::uint32_t queue_limit = 64;   ///< Requests waiting for a slot; more are shed.
  bool checks_fences = true;
  std::chrono::microseconds service_time{2'000};  ///< Mean time a request runs.
  double service_time_spread = 0.5;               ///< Share by which the time varies either way.
  std::chrono::milliseconds announce_interval{1'000};
  std::uint64_t seed = 1;          ///< Drives service times and shed requests.
  bool records_idempotent = true;  ///< Record runs of GET, PUT and the like as well.
};

/// Faults that a stand-in shows until they are changed.
struct stand_in_faults {
  std::chrono::microseconds lag{0};           ///< Added to the service time.
  bool frozen = false;                        ///< Accepts connections and does nothing.
  double shed_share = 0;                      ///< Share of requests refused before running.
  bool ignores_fences = false;                ///< Runs requests with stale fences.
  std::optional<bool> claimed_healthy;        ///< What /health says instead of the truth.
  std::optional<std::uint32_t> claimed_busy;  ///< What /load says instead of the truth.
  std::string stalled_key;                    ///< Requests of this key take `stall` longer.
  std::chrono::milliseconds stall{0};
  std::string announced_state = "ready";  ///< "ready", "draining" or "stopping".
};

/// Returns the faults in `text`, a JSON object with any of the members lag_us, freeze, shed_share,
/// ignore_fences, claimed_healthy, claimed_busy, stalled_key, stall_ms and state. Members that are
/// missing keep their value from `current`; null ends a claim.
std::optional<stand_in_faults> parse_faults(std::string_view text, const stand_in_faults& current,
                                            failure& reason);

/// How a run ended.
enum class run_outcome {
  running,    ///< It has not ended.
  finished,   ///< It ended and its answer was handed to the connection.
  cancelled,  ///< The connection closed while it ran.
  timed_out,  ///< Its deadline passed while it ran.
  lost        ///< The upstream crashed while it ran.
};

/// Returns the name of `outcome`, for example "finished".
std::string_view to_string(run_outcome outcome);

/// One request that the stand-in began to run.
struct run_record {
  std::uint64_t number = 0;  ///< Counts the runs of the stand-in from 1.
  endpoint upstream;         ///< The stand-in's address.
  std::uint64_t incarnation = 0;
  std::string method;
  std::string service;
  std::string key;
  std::string idempotency_key;  ///< Idempotency-Key.
  std::string request_id;
  std::string rank;
  fence_token fence;
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;  ///< xxHash64 of the request's body.
  time_point started;
  time_point ended;  ///< Meaningful unless `outcome` is `running`.
  run_outcome outcome = run_outcome::running;
  bool out_of_reach = false;  ///< For a time it could not have been cancelled: the stand-in was
                              ///< frozen or the connection silent while it waited or ran.
};

/// Counts of what a stand-in did not run, and of its load.
struct stand_in_counts {
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;
  std::uint64_t fenced = 0;               ///< Refused for a stale fence.
  std::uint64_t late = 0;                 ///< Refused because the deadline had passed.
  std::uint64_t truncated_bodies = 0;     ///< Requests whose body ended early; they did not run.
  std::uint64_t connections_refused = 0;  ///< Connections beyond the announced number.
  std::uint32_t busy = 0;
  std::uint32_t queued = 0;
  std::uint32_t connections = 0;
};

/// An HTTP/1.1 server that behaves like an upstream as docs/INTERFACES.md describes it.
///
/// It announces itself, runs requests in slots for a seeded time, streams bodies, checks fences,
/// honours deadlines and cancellation, and records every run so that checks can judge at most
/// once, one owner at a time and false "not run". A restarted stand-in forgets its fences, as an
/// upstream does, and keeps its records for the judge.
///
/// Over HTTP: `POST /stand-in/fault` takes the JSON of `parse_faults` with, besides, `"silence":
/// true` (open connections go silent, new ones work) and `"crash": true` with an optional
/// `"restart_after_ms"`; `GET /stand-in/records` returns the runs; `GET /health`; `GET /load`.
///
/// An answer's body is JSON with the request's identity and the xxHash64 of its body, or, with
/// `?answer_bytes=N`, N bytes made from the request identity; `X-Answer-Xxh64` holds its checksum.
///
/// Life cycle: construct, `start`, run the context; `stop` before the context ends.
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

  /// Listens and begins to announce itself. Returns false with `reason` filled on failure.
  bool start(failure& reason);
  /// Closes the listener and all connections; runs that have not ended are lost.
  void stop();

  /// Returns the port it listens on.
  [[nodiscard]] std::uint16_t port() const;
  /// Returns the address it announces.
  [[nodiscard]] endpoint address() const;
  /// Changes the agent that it announces itself to, from the next announcement on.
  void announce_to(const endpoint& agent);

  /// Replaces the faults.
  void set_faults(const stand_in_faults& faults);
  /// Returns the faults in force.
  [[nodiscard]] stand_in_faults faults() const;
  /// Makes the connections that are open now silent for good; new ones work.
  void hang_open_connections();
  /// Loses everything but the records: the listener, all connections, all runs, all fences.
  void crash();
  /// Starts again on the same port with the next incarnation.
  void restart();

  /// Returns the runs so far.
  [[nodiscard]] std::vector<run_record> records() const;
  /// Returns the counts so far.
  [[nodiscard]] stand_in_counts counts() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

/// Runs one stand-in until SIGTERM or SIGINT and returns the exit status of the process.
int run_stand_in(const stand_in_settings& settings);

}  // namespace masticshunt::upstream
