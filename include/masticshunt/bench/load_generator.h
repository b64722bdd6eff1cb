/// @file
/// Sends an open-loop load to agents over real sockets and records the outcome of each request.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "masticshunt/bench/latency_histogram.h"
#include "masticshunt/bench/schedule.h"

namespace masticshunt::bench {

/// The outcome of an attempt or of a whole request, as the caller observed it.
enum class attempt_outcome {
  served,         ///< The complete answer arrived.
  not_run,        ///< Refused as not run.
  may_have_run,   ///< Refused as may have run.
  failed,         ///< Answered as failed.
  truncated,      ///< The connection ended before the complete answer arrived.
  timed_out,      ///< No answer within the deadline plus the grace period.
  unreachable,    ///< The agent accepted no connection; nothing was sent.
  invalid_answer  ///< The answer was for another request, or truncated but marked complete.
};
inline constexpr std::size_t attempt_outcome_count = 8;

/// Returns the name of `outcome`, for example "not-run".
std::string_view to_string(attempt_outcome outcome);

/// When a caller retries a request at another agent, under the same idempotency key.
struct client_retry_policy {
  std::uint32_t attempts_max = 1;
  bool after_not_run = true;
  bool after_unreachable = true;
  bool after_may_have_run = false;  ///< Also after failed, truncated and timed out; used by tests.
  bool follows_owner_hint = false;
};

/// The requests of a load and the agents that they are sent to.
struct load_settings {
  std::string name = "load";     ///< Prefix of request ids and idempotency keys.
  std::vector<endpoint> agents;  ///< Caller endpoints; each request picks one.
  schedule_settings schedule;
  std::chrono::milliseconds warm_up{0};  ///< Requests scheduled before this are not counted.
  client_retry_policy retry;
  std::uint32_t callers = 8;                    ///< Number of distinct callers of the requests.
  std::uint32_t connections_per_kind = 64;      ///< Limit to one agent for one kind of request.
  std::chrono::milliseconds answer_grace{500};  ///< Wait past the deadline for a refusal.
  bool direct = false;  ///< The targets are upstreams, not agents; no routing headers.
};

/// One attempt of one request.
struct attempt_log {
  std::string request_id;
  endpoint agent;
  attempt_outcome outcome = attempt_outcome::unreachable;
  std::uint16_t status = 0;
  std::string reason;  ///< The refusal's reason, or the error found in the answer.
};

/// One request with all its attempts.
struct request_log {
  std::uint32_t kind = 0;
  std::string service;
  std::string key;
  std::string idempotency_key;  ///< Idempotency-Key; empty for idempotent requests.
  std::uint64_t body_hash = 0;
  std::chrono::nanoseconds scheduled{0};
  std::chrono::nanoseconds ended{0};
  std::vector<attempt_log> attempts;

  /// Returns the outcome of the last attempt.
  [[nodiscard]] attempt_outcome outcome() const { return attempts.back().outcome; }
};

/// The results of the requests that share a label.
struct label_result {
  std::string label;
  std::uint64_t offered = 0;
  std::uint64_t retries = 0;    ///< Attempts after the first.
  std::uint64_t completed = 0;  ///< Served requests that ended within the measured time.
  std::array<std::uint64_t, attempt_outcome_count> outcomes{};
  latency_histogram latency;                       ///< Of served requests, from the scheduled time.
  latency_histogram refusal_latency;               ///< Of refused requests.
  std::vector<std::uint64_t> served_per_interval;  ///< Served requests by scheduled time.

  /// Returns how many requests ended as `outcome`.
  [[nodiscard]] std::uint64_t count(attempt_outcome outcome) const {
    return outcomes[static_cast<std::size_t>(outcome)];
  }
};

/// The length of an interval of `label_result::served_per_interval`.
inline constexpr std::chrono::milliseconds result_interval{250};

/// The result of one load.
struct load_result {
  std::vector<label_result> labels;
  std::chrono::nanoseconds measured{0};  ///< The measured part of the schedule.
  std::vector<request_log> log;          ///< All requests, warm-up included.

  /// Returns the result of `label`, or an empty one.
  [[nodiscard]] label_result result_for(std::string_view label) const;
  /// Returns the offered requests a second of `label`.
  [[nodiscard]] double demand(std::string_view label) const;
  /// Returns the served requests a second of `label`, counted at the time of completion.
  [[nodiscard]] double goodput(std::string_view label) const;
  /// Returns the served requests a second of all labels.
  [[nodiscard]] double goodput() const;
  /// Returns the longest time, over all keys, from the scheduled time of a request that was not
  /// served to the end of the next served request of that key, or to `measured` if none followed.
  [[nodiscard]] std::chrono::nanoseconds longest_unavailable() const;
};

/// Sends a load.
///
/// Life cycle: construct, `start`, run the context until `done` is called, then take `result`.
/// Thread safety: `start` and `cancel` may be called from any thread; `result` after `done`.
///
///     load_generator load(context, settings);
///     load.start([&] { context.stop(); });
///     context.run();
///     print(load.result());
class load_generator {
 public:
  load_generator(boost::asio::io_context& context, const load_settings& settings);
  ~load_generator();
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  /// Starts sending; `done` is called once, when the last request has ended.
  void start(std::function<void()> done);
  /// Stops sending; requests that have been sent still run to their end.
  void cancel();
  /// Returns the results of the requests.
  [[nodiscard]] const load_result& result() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace masticshunt::bench
