/// @file
/// Compares the outcomes that callers observed with the runs that upstreams recorded.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "masticshunt/bench/load_generator.h"
#include "masticshunt/upstream/stand_in.h"

namespace masticshunt::bench {

/// The safety guarantees of the system that a run can violate.
enum class guarantee {
  at_most_once,   ///< A non-idempotent request ran twice under one idempotency key.
  refusal_truth,  ///< A request refused as not run did run.
  one_owner,      ///< Two upstreams ran requests of one key at the same time.
  fence_order,    ///< A run had an older fencing token than a run that began earlier.
  whole_answers,  ///< An answer was for another request, or truncated but marked complete.
  nothing_lost    ///< A request answered as served has no finished run with its body.
};

/// Returns the name of `kind`, for example "at-most-once".
std::string_view to_string(guarantee kind);

/// One violation of a guarantee.
struct guarantee_violation {
  guarantee kind = guarantee::at_most_once;
  std::string detail;
};

/// Compares the logs of loads with the records of all upstream stand-ins of a deployment.
///
/// Runs that the stand-in marks as out of reach (it was frozen, or its connection hung) are checked
/// for at-most-once and refusal truth. They are excluded from one owner and fence order, because no
/// system can cancel them.
/// Life cycle: add logs and records, then `check`. Thread safety: none.
///
///     guarantee_checker checker;
///     checker.add_log(load.result().log);
///     for (const auto& server : servers) checker.add_records(server->records());
///     const auto violations = checker.check();
class guarantee_checker {
 public:
  /// Adds the requests of one load.
  void add_log(const std::vector<request_log>& log);
  /// Adds the runs of one stand-in.
  void add_records(const std::vector<upstream::run_record>& records);
  /// Returns all violations, in the order of `guarantee`.
  [[nodiscard]] std::vector<guarantee_violation> check() const;

 private:
  void check_at_most_once(std::vector<guarantee_violation>& violations) const;
  void check_refusals(std::vector<guarantee_violation>& violations) const;
  void check_owners(std::vector<guarantee_violation>& violations) const;
  void check_answers(std::vector<guarantee_violation>& violations) const;
  void check_served(std::vector<guarantee_violation>& violations) const;

  std::vector<request_log> log_;
  std::vector<upstream::run_record> records_;
};

}  // namespace masticshunt::bench
