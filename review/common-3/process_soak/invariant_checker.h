/// @file
/// Checks the guarantees to callers and upstreams against what they observed.
#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/claims/claim_map.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::process_soak {

/// Records the events of a run and reports every violated guarantee.
///
/// Thread safety: none.
class invariant_checker {
 public:
  struct request_record {
    bool idempotent = false;
    int runs = 0;
    unsigned refused_with = 0;  ///< The final status if it guarantees that the request did not run.
  };

  void sent(const std::string& id, bool idempotent) {
    requests_[id].idempotent = idempotent;
    ++sent_total_;
  }
  /// Records that an upstream starts to run a request.
  void request_started(const std::string& id, const std::string& upstream) {
    const auto found = requests_.find(id);
    if (found == requests_.end())
      return report_violation("ran a request that no caller sent: " + id);
    request_record& request = found->second;
    ++request.runs;
    if (!request.idempotent && request.runs > 1)
      report_violation("ran twice though not idempotent: " + id + " at " + upstream);
    if (!request.idempotent && request.refused_with != 0)
      report_violation("ran after it was refused as not run: " + id + " at " + upstream);
  }
  /// Records the final response to a caller; status 0 means that none came.
  void answered(const std::string& id, unsigned status, const std::string& body) {
    request_record& request = requests_[id];
    ++by_status_[status];
    if (status == 200 && body != "body of " + id)
      report_violation("the response body differs from the upstream's: " + id);
    if (status == 200 && request.runs == 0)
      report_violation("answered 200, but no upstream ran it: " + id);
    if (status == 404) report_violation("answered 404 (no route) to a valid request: " + id);
    if (status != 503 && status != 429 && status != 408 && status != 421) return;
    request.refused_with = status;
    if (!request.idempotent && request.runs > 0)
      report_violation("refused as not run, but it ran: " + id);
  }
  /// Records that an upstream starts a request for `key` while the upstreams `holders` hold the
  /// key.
  void key_request_started(claims::shard_key key, const std::set<std::string>& holders) {
    if (holders.size() < 2) return;
    std::string names;
    for (const auto& each : holders) names += " " + each;
    report_violation("key " + std::to_string(key) + " is held by" + names);
  }
  /// Records that an upstream was granted keys with a fencing token; `highest_elsewhere` is the
  /// highest token of other upstreams for these keys.
  void granted(std::uint64_t fence, std::uint64_t highest_elsewhere, const std::string& upstream) {
    if (fence <= highest_elsewhere)
      report_violation("fence " + std::to_string(fence) + " at " + upstream + " is not above " +
                       std::to_string(highest_elsewhere));
  }
  /// Records that a request reached a draining upstream, `since_acknowledged` after the agent
  /// acknowledged the drain or the upstream first said in an answer that it leaves.
  void reached_draining_upstream(const std::string& upstream, duration since_acknowledged) {
    constexpr duration drain_limit = std::chrono::milliseconds{2'000};
    if (since_acknowledged > drain_limit)
      report_violation("sent work to " + upstream +
                       " more than 2 s after its drain was acknowledged");
  }
  [[nodiscard]] int runs(const std::string& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? 0 : found->second.runs;
  }
  void report_violation(const std::string& description) {
    std::printf("BROKEN at %.3f s: %s\n",
                std::chrono::duration<double>(boot_now() - start_time_).count(),
                description.c_str());
    ++violations_;
  }
  void set_start_time(time_point now) { start_time_ = now; }

  [[nodiscard]] std::uint64_t violation_count() const { return violations_; }
  [[nodiscard]] std::uint64_t sent_total() const { return sent_total_; }
  [[nodiscard]] std::uint64_t with_status(unsigned status) const {
    const auto found = by_status_.find(status);
    return found == by_status_.end() ? 0 : found->second;
  }
  [[nodiscard]] const std::map<unsigned, std::uint64_t>& by_status() const { return by_status_; }

 private:
  time_point start_time_{};
  std::map<std::string, request_record> requests_;
  std::map<unsigned, std::uint64_t> by_status_;  ///< Status 0: no response.
  std::uint64_t sent_total_ = 0;
  std::uint64_t violations_ = 0;
};

}  // namespace masticshunt::process_soak
