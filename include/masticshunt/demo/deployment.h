/// @file
/// A complete deployment in one process on loopback: a stand-in of the store, agents and upstreams.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "masticshunt/agent/agent.h"
#include "masticshunt/base/failure.h"
#include "masticshunt/decisions/configuration/records.h"
#include "masticshunt/store/store_stand_in.h"
#include "masticshunt/upstream/stand_in.h"

namespace masticshunt::demo {

/// A failure domain and its region.
struct domain_plan {
  std::string region;
  std::string name;
};

/// A service of a deployment; every failure domain has one upstream of it.
struct service_plan {
  std::string name;
  std::uint32_t slots = 12;
  std::uint32_t connections = 120;
  std::chrono::microseconds service_time{2'000};
  bool checks_fences = true;
  std::vector<configuration::rank_record> ranks;
};

/// The topology and settings of a deployment.
struct deployment_plan {
  std::string name;
  std::vector<domain_plan> domains;
  std::vector<service_plan> services;
  std::uint32_t agent_workers = 1;
  ownership::lease_timing lease;
};

/// Returns the deployment of Gebrüder Imhof Schienenpflege AG at its current size.
deployment_plan imhof_plan();
/// Returns the deployment of Cwmni Llyfrnod Cyf at its current size.
deployment_plan llyfrnod_plan();

/// One VM: an agent and its local upstream.
struct node {
  std::string name;
  std::string service;
  std::string failure_domain;
  std::unique_ptr<agent::agent> agent_process;
  std::unique_ptr<upstream::stand_in> upstream_process;
};

/// A running deployment. Latencies between regions are not emulated: everything is on loopback.
///
/// Life cycle: construct, `start`, use, destroy.
/// Thread safety: none, but the store and the parts of a node may be used from any thread.
///
///     deployment imhof(imhof_plan(), seed);
///     if (!imhof.start(reason) || !imhof.wait_until_routable(std::chrono::seconds{10})) ...
class deployment {
 public:
  deployment(deployment_plan plan, std::uint64_t seed);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// Starts the store, writes the configuration records, and starts all nodes. Returns false with
  /// `reason` filled on failure.
  bool start(failure& reason);
  /// Waits until every running agent has a route to an owner for all keys of all services. Returns
  /// false if that takes longer than `limit`.
  bool wait_until_routable(std::chrono::milliseconds limit);
  /// Returns true if every running agent has a route to an owner for all sampled keys of all
  /// services.
  [[nodiscard]] bool all_routable() const;

  [[nodiscard]] const deployment_plan& plan() const;
  [[nodiscard]] std::vector<node>& nodes();
  [[nodiscard]] store::store_stand_in& store();
  /// Returns the caller endpoints of all running agents.
  [[nodiscard]] std::vector<endpoint> caller_endpoints() const;
  /// Returns the runs that all upstreams recorded, including those of crashed VMs.
  [[nodiscard]] std::vector<std::vector<upstream::run_record>> all_records() const;
  /// Returns the index of the first running node of `service`.
  [[nodiscard]] std::size_t first_node_of(std::string_view service) const;

  /// Crashes the VM: the agent and the upstream end at once, without draining.
  void crash_node(std::size_t index);
  /// Restarts a crashed VM as a new incarnation.
  bool restart(std::size_t index, failure& reason);
  /// Writes or deletes the drain record of the agent.
  void set_drained(std::size_t index, bool drained);

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace masticshunt::demo
