/// @file
/// What callers and upstreams saw, held against the promises.
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

/// Collects what happened and says which promise was broken.
///
/// Thread safety: none.
class invariant_checker {
 public:
  struct request_record {
    bool idempotent = false;
    int runs = 0;
    unsigned refused_with = 0;  ///< The final status, if it promises that nothing runs.
  };

  void sent(const std::string& id, bool idempotent) {
    requests_[id].idempotent = idempotent;
    ++sent_total_;
  }
  /// An upstream begins to run a request.
  void runs(const std::string& id, const std::string& upstream) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return broken("ran a request that nobody sent: " + id);
    request_record& one = found->second;
    ++one.runs;
    if (!one.idempotent && one.runs > 1)
      broken("ran twice though not idempotent: " + id + " at " + upstream);
    if (!one.idempotent && one.refused_with != 0)
      broken("ran after it was refused as not run: " + id + " at " + upstream);
  }
  /// A caller got its final answer.
  void answered(const std::string& id, unsigned status, const std::string& body) {
    request_record& one = requests_[id];
    ++by_status_[status];
    if (status == 200 && body != "body of " + id) broken("another body than the upstream's: " + id);
    if (status == 200 && one.runs == 0) broken("answered 200 without a run: " + id);
    if (status == 404) broken("no route for a proper request: " + id);
    if (status != 503 && status != 429 && status != 408 && status != 421) return;
    one.refused_with = status;
    if (!one.idempotent && one.runs > 0) broken("refused as not run, but it ran: " + id);
  }
  /// An upstream begins a request for `key` while these upstreams hold it.
  void key_used(claims::shard_key key, const std::set<std::string>& holders) {
    if (holders.size() < 2) return;
    std::string names;
    for (const auto& each : holders) names += " " + each;
    broken("key " + std::to_string(key) + " is held by" + names);
  }
  /// An upstream got keys with a fence; `highest_elsewhere` is the highest one of other upstreams.
  void granted(std::uint64_t fence, std::uint64_t highest_elsewhere, const std::string& upstream) {
    if (fence <= highest_elsewhere)
      broken("fence " + std::to_string(fence) + " at " + upstream + " is not above " +
             std::to_string(highest_elsewhere));
  }
  /// A request reached an upstream that left at `leaving` and was acknowledged.
  void reached_leaving(const std::string& upstream, duration since_acknowledged) {
    constexpr duration drain = std::chrono::milliseconds{2'000};
    if (since_acknowledged > drain) broken("sent work to " + upstream + " after its drain time");
  }
  void broken(const std::string& what) {
    std::printf("BROKEN at %.3f s: %s\n",
                std::chrono::duration<double>(boot_now() - began_).count(), what.c_str());
    ++broken_;
  }
  void begin(time_point now) { began_ = now; }

  [[nodiscard]] std::uint64_t broken_count() const { return broken_; }
  [[nodiscard]] std::uint64_t sent_total() const { return sent_total_; }
  [[nodiscard]] std::uint64_t with_status(unsigned status) const {
    const auto found = by_status_.find(status);
    return found == by_status_.end() ? 0 : found->second;
  }
  [[nodiscard]] const std::map<unsigned, std::uint64_t>& by_status() const { return by_status_; }

 private:
  time_point began_{};
  std::map<std::string, request_record> requests_;
  std::map<unsigned, std::uint64_t> by_status_;  ///< 0: no answer.
  std::uint64_t sent_total_ = 0;
  std::uint64_t broken_ = 0;
};

}  // namespace masticshunt::process_soak
