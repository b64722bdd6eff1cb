#include "masticshunt/bench/guarantee_checker.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <unordered_map>

namespace masticshunt::bench {

namespace {

using upstream::run_outcome;
using upstream::run_record;

bool is_idempotent(const run_record& run) {
  return run.method != "POST" && run.method != "PATCH";
}

std::string describe(const run_record& run) {
  return run.method + " " + run.service + "/" + run.key + " identity '" + run.idempotency_key +
         "' request '" + run.request_id + "' at " + run.upstream + " run " +
         std::to_string(run.number) + " fence " + to_string(run.fence);
}

/// Returns the end of the run; `time_point::max()` if it has not ended.
time_point end_of(const run_record& run) {
  return run.outcome == run_outcome::running ? time_point::max() : run.ended;
}

/// Checks the runs of one key, in order of their start, for overlaps between upstreams and for
/// fencing tokens that go back.
void check_key(const std::vector<const run_record*>& runs,
               std::vector<guarantee_violation>& violations) {
  const run_record* longest = nullptr;
  const run_record* newest = nullptr;
  for (const run_record* run : runs) {
    if (longest && longest->upstream != run->upstream && run->started < end_of(*longest)) {
      violations.push_back(
          {guarantee::one_owner, describe(*run) + " began during " + describe(*longest)});
    }
    if (newest && run->fence < newest->fence) {
      violations.push_back(
          {guarantee::fence_order, describe(*run) + " began after " + describe(*newest)});
    }
    if (!longest || end_of(*run) > end_of(*longest)) longest = run;
    if (!newest || run->fence > newest->fence) newest = run;
  }
}

}  // namespace

std::string_view to_string(guarantee kind) {
  constexpr std::array<std::string_view, 6> names = {
      "at-most-once", "refusal-truth", "one-owner", "fence-order", "whole-answers", "nothing-lost"};
  return names[static_cast<std::size_t>(kind)];
}

void guarantee_checker::add_log(const std::vector<request_log>& log) {
  std::ranges::copy(log, std::back_inserter(log_));
}

void guarantee_checker::add_records(const std::vector<run_record>& records) {
  std::ranges::copy(records, std::back_inserter(records_));
}

std::vector<guarantee_violation> guarantee_checker::check() const {
  std::vector<guarantee_violation> violations;
  check_at_most_once(violations);
  check_refusals(violations);
  check_owners(violations);
  check_answers(violations);
  check_served(violations);
  return violations;
}

void guarantee_checker::check_at_most_once(std::vector<guarantee_violation>& violations) const {
  std::unordered_map<std::string, const run_record*> seen;
  for (const auto& run : records_) {
    if (is_idempotent(run) || run.idempotency_key.empty()) continue;
    const auto [previous, inserted] =
        seen.try_emplace(run.service + "/" + run.idempotency_key, &run);
    if (!inserted) {
      violations.push_back({guarantee::at_most_once,
                            describe(run) + " is a second run of " + describe(*previous->second)});
    }
  }
}

void guarantee_checker::check_refusals(std::vector<guarantee_violation>& violations) const {
  std::unordered_map<std::string_view, const run_record*> runs;
  for (const auto& run : records_) runs.try_emplace(run.request_id, &run);
  for (const auto& request : log_) {
    for (const auto& attempt : request.attempts) {
      if (attempt.outcome != attempt_outcome::not_run) continue;
      const auto run = runs.find(attempt.request_id);
      if (run == runs.end()) continue;
      violations.push_back({guarantee::refusal_truth, describe(*run->second) + " was refused by " +
                                                          attempt.agent + " as not run (" +
                                                          attempt.reason + ")"});
    }
  }
}

void guarantee_checker::check_owners(std::vector<guarantee_violation>& violations) const {
  std::unordered_map<std::string, std::vector<const run_record*>> by_key;
  for (const auto& run : records_) {
    if (!run.out_of_reach) by_key[run.service + "/" + run.key].push_back(&run);
  }
  for (auto& [key, runs] : by_key) {
    std::ranges::stable_sort(runs, {}, &run_record::started);
    check_key(runs, violations);
  }
}

void guarantee_checker::check_answers(std::vector<guarantee_violation>& violations) const {
  for (const auto& request : log_) {
    for (const auto& attempt : request.attempts) {
      if (attempt.outcome != attempt_outcome::invalid_answer) continue;
      violations.push_back({guarantee::whole_answers, "request '" + attempt.request_id + "' at " +
                                                          attempt.agent + ": " + attempt.reason});
    }
  }
}

void guarantee_checker::check_served(std::vector<guarantee_violation>& violations) const {
  std::unordered_map<std::string_view, const run_record*> by_request;
  std::unordered_map<std::string_view, const run_record*> by_idempotency_key;
  for (const auto& run : records_) {
    if (run.outcome != run_outcome::finished) continue;
    by_request.emplace(run.request_id, &run);
    if (!run.idempotency_key.empty()) by_idempotency_key.emplace(run.idempotency_key, &run);
  }
  for (const auto& request : log_) {
    if (request.outcome() != attempt_outcome::served) continue;
    const bool has_key = !request.idempotency_key.empty();
    const auto& runs = has_key ? by_idempotency_key : by_request;
    const auto run = runs.find(has_key ? std::string_view(request.idempotency_key)
                                       : request.attempts.back().request_id);
    if (run == runs.end()) {
      violations.push_back({guarantee::nothing_lost, "request '" +
                                                         request.attempts.back().request_id +
                                                         "' was served but no run of it finished"});
    } else if (request.body_hash != 0 &&
               run->second->request_id == request.attempts.back().request_id &&
               run->second->body_hash != request.body_hash) {
      violations.push_back({guarantee::nothing_lost,
                            describe(*run->second) + " received another body than the one sent"});
    }
  }
}

}  // namespace masticshunt::bench
