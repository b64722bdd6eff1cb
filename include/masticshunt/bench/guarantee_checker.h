/// @file
/// Compares what callers were told with what the upstreams recorded.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "masticshunt/bench/load_generator.h"
#include "masticshunt/upstream/stand_in.h"

namespace masticshunt::bench {

/// The promises that a run of the system can break.
enum class guarantee {
  at_most_once,   ///< A non-idempotent identity ran twice.
  refusal_truth,  ///< A request refused as not run did run.
  one_owner,      ///< Two upstreams ran requests of one key at the same moment.
  fence_order,    ///< A run began under an older fence than one that began earlier.
  whole_answers,  ///< An answer was not its request's, or a part that looked whole.
  nothing_lost    ///< A request answered as served has no finished run with its body.
};

/// Returns the name of `which`, for example "at-most-once".
std::string_view to_string(guarantee which);

/// One broken promise.
struct guarantee_violation {
  guarantee which = guarantee::at_most_once;
  std::string detail;
};

/// Compares the logs of loads with the records of all upstream stand-ins of the deployment.
///
/// Runs that the stand-in marks as out of reach (it was frozen or its connection silent) count for
/// at most once and refusal truth; they are left out of one owner and fence order, as no system
/// can stop them.
/// Life cycle: add logs and records, then `check`. Thread safety: none.
///
///     promise_checker checker;
///     checker.add_log(load.result().log);
///     for (const auto& server : servers) checker.add_records(server->records());
///     const auto broken = checker.check();
class guarantee_checker {
 public:
  /// Adds the requests of one load.
  void add_log(const std::vector<request_log>& log);
  /// Adds the runs of one stand-in.
  void add_records(const std::vector<upstream::run_record>& records);
  /// Returns all broken promises, in the order of `guarantee`.
  [[nodiscard]] std::vector<guarantee_violation> check() const;

 private:
  void check_at_most_once(std::vector<guarantee_violation>& broken) const;
  void check_refusals(std::vector<guarantee_violation>& broken) const;
  void check_owners(std::vector<guarantee_violation>& broken) const;
  void check_answers(std::vector<guarantee_violation>& broken) const;
  void check_lost(std::vector<guarantee_violation>& broken) const;

  std::vector<request_log> log_;
  std::vector<upstream::run_record> records_;
};

}  // namespace masticshunt::bench
