/// @file
/// The state of a stand-in: faults, fencing tokens, runs and counters, without I/O.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "masticshunt/upstream/stand_in.h"

namespace masticshunt::upstream {

/// The parts of a request that the stand-in evaluates.
struct stand_in_request {
  std::string method;
  std::string service;
  std::string key;
  std::string idempotency_key;
  std::string request_id;
  std::string rank;
  std::optional<fence_token> fence;
  std::optional<std::chrono::milliseconds> time_remaining;
  std::uint64_t answer_bytes = 0;  ///< 0: the response is the JSON receipt.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  bool out_of_reach = false;  ///< A fault delayed it before it ran.
};

/// Returns the fencing token in `text` ("<epoch>.<sequence>"), or nothing if it is malformed.
std::optional<fence_token> parse_fence(std::string_view text);

/// Returns the JSON form of `records`.
std::string to_json(const std::vector<run_record>& records);

/// The shared state of one stand-in.
///
/// Thread safety: all members may be called from any thread. Each one locks the mutex and calls no
/// outside code while it holds it.
class stand_in_state {
 public:
  explicit stand_in_state(const stand_in_settings& settings);

  /// Returns the faults in force.
  [[nodiscard]] stand_in_faults faults() const;
  /// Replaces the faults.
  void set_faults(const stand_in_faults& faults);

  /// Returns true if the request's fencing token is stale; otherwise records the token.
  bool reject_stale_fence(const stand_in_request& request);
  /// Returns true if the shedding fault hits the request.
  bool shed_by_fault();
  /// Returns a random run time for the request, with the delays of the faults.
  std::chrono::microseconds draw_service_time(const stand_in_request& request);

  /// Records the start of a run and returns its number, or 0 if it is not recorded.
  std::uint64_t begin_run(const stand_in_request& request, const endpoint& upstream,
                          time_point now);
  /// Records the end of a run.
  void end_run(std::uint64_t number, run_outcome outcome, time_point now);
  /// Sets `out_of_reach` on the runs in progress.
  void mark_running_out_of_reach();
  /// Ends all runs as lost, discards the fencing tokens and increments the incarnation.
  void end_incarnation(time_point now);

  /// Count a shed, expired or truncated request, or a refused connection.
  void count_shed();
  void count_late();
  void count_truncated_body();
  void count_refused_connection();

  [[nodiscard]] std::uint64_t incarnation() const;
  [[nodiscard]] std::vector<run_record> records() const;
  [[nodiscard]] stand_in_counts counts() const;

 private:
  const stand_in_settings settings_;
  mutable std::mutex mutex_;
  stand_in_faults faults_;
  std::mt19937_64 random_;
  std::map<std::string, fence_token> fences_;  ///< Highest token by key.
  std::deque<run_record> records_;
  std::vector<std::uint64_t> running_;  ///< Numbers of the recorded runs in progress.
  stand_in_counts counts_;
  std::uint64_t incarnation_;
};

}  // namespace masticshunt::upstream
