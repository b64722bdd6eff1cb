/// @file
/// Counts the ranges that changed their owner during the events of the demo.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "masticshunt/demo/deployment.h"

namespace masticshunt::demo {

/// Reads the assignment pages directly from the store stand-in and counts owner changes.
///
/// Thread safety: none.
class owner_change_counter {
 public:
  explicit owner_change_counter(deployment& target) : deployment_(target) {}

  /// Reads the current owners and attributes the changes since the previous call to `event`.
  void record(const std::string& event);
  /// Returns, for example, "drain 3, loss 5 of 48 ranges".
  [[nodiscard]] std::string summary() const;

 private:
  using owners = std::map<std::pair<std::string, hash_range>, agent_id>;

  [[nodiscard]] owners read_owners() const;

  deployment& deployment_;
  owners last_;
  bool first_ = true;
  std::vector<std::pair<std::string, std::size_t>> changes_;
};

}  // namespace masticshunt::demo
