#include "masticshunt/demo/deployment.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace masticshunt::demo {

namespace asio = boost::asio;

namespace {

constexpr unsigned stand_in_threads = 2;
constexpr std::chrono::milliseconds poll_interval{10};
constexpr double store_calls_per_second = 20;

}  // namespace

class deployment::implementation {
 public:
  implementation(deployment_plan shape, std::uint64_t seed_value)
      : plan(std::move(shape)), seed(seed_value), guard(asio::make_work_guard(context)) {}

  ~implementation() {
    for (auto& each : nodes) crash_node(each);
    if (store) store->stop();
    context.stop();
    for (auto& thread : threads) thread.join();
    store.reset();
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  bool start(failure& reason) {
    store = std::make_unique<store::store_stand_in>(context.get_executor());
    for (unsigned index = 0; index < stand_in_threads; ++index) {
      threads.emplace_back([this] { context.run(); });
    }
    write_records();
    for (const auto& domain : plan.domains) {
      for (const auto& service : plan.services) {
        nodes.push_back({service.name + "-" + domain.name, service.name, domain.name, {}, {}});
        if (!start_node(nodes.back(), reason)) return false;
      }
    }
    return true;
  }

  void write_records() {
    for (const auto& service : plan.services) {
      configuration::service_record record;
      record.name = service.name;
      record.default_rank = service.ranks.empty() ? "" : service.ranks.back().name;
      put({1, record});
      for (const auto& rank : service.ranks) put({1, rank});
    }
  }

  void put(const configuration::record& record) {
    store->put(configuration::object_name(record), configuration::to_value(record));
  }

  bool start_node(node& vm, failure& reason) {
    const auto domain = std::ranges::find(plan.domains, vm.failure_domain, &domain_plan::name);
    agent::agent_settings settings;
    settings.name = vm.name;
    settings.region = domain->region;
    settings.failure_domain = domain->name;
    settings.address = "127.0.0.1";
    settings.caller_port = settings.forward_port = settings.control_port = 0;
    settings.upstream_port = settings.operator_port = 0;
    settings.workers = plan.agent_workers;
    settings.store.addresses = {store->address()};
    settings.store.calls_per_second = store_calls_per_second;
    settings.lease = plan.lease;
    vm.agent_process = std::make_unique<agent::agent>(settings);
    if (!vm.agent_process->start(reason)) return false;
    return start_upstream(vm, reason);
  }

  bool start_upstream(node& vm, failure& reason) {
    const auto service = std::ranges::find(plan.services, vm.service, &service_plan::name);
    upstream::stand_in_settings settings;
    settings.service = vm.service;
    settings.agent = vm.agent_process->upstream_port_endpoint();
    settings.incarnation = ++incarnations;
    settings.slots = service->slots;
    settings.connections = service->connections;
    settings.checks_fences = service->checks_fences;
    settings.service_time = service->service_time;
    settings.seed = seed + incarnations;
    if (vm.upstream_process) stopped_upstreams.push_back(std::move(vm.upstream_process));
    vm.upstream_process = std::make_unique<upstream::stand_in>(context, settings);
    return vm.upstream_process->start(reason);
  }

  static void crash_node(node& vm) {
    if (vm.upstream_process) vm.upstream_process->crash();
    if (vm.agent_process) vm.agent_process->kill();
    vm.agent_process.reset();
  }

  [[nodiscard]] bool all_routable() const {
    return std::ranges::all_of(nodes, [this](const node& each) {
      return !each.agent_process ||
             std::ranges::all_of(plan.services, [&](const service_plan& service) {
               return each.agent_process->routable_share(service.name) >= 1.0;
             });
    });
  }

  deployment_plan plan;
  std::uint64_t seed;
  std::uint64_t incarnations = 0;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  std::vector<std::thread> threads;
  std::unique_ptr<store::store_stand_in> store;
  std::vector<node> nodes;
  /// Retained for their records.
  std::vector<std::unique_ptr<upstream::stand_in>> stopped_upstreams;
};

deployment::deployment(deployment_plan plan, std::uint64_t seed)
    : implementation_(std::make_unique<implementation>(std::move(plan), seed)) {}
deployment::~deployment() = default;

bool deployment::start(failure& reason) {
  return implementation_->start(reason);
}

bool deployment::all_routable() const {
  return implementation_->all_routable();
}

bool deployment::wait_until_routable(std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!all_routable()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

const deployment_plan& deployment::plan() const {
  return implementation_->plan;
}
std::vector<node>& deployment::nodes() {
  return implementation_->nodes;
}
store::store_stand_in& deployment::store() {
  return *implementation_->store;
}

std::vector<endpoint> deployment::caller_endpoints() const {
  std::vector<endpoint> endpoints;
  for (const auto& each : implementation_->nodes) {
    if (each.agent_process) endpoints.push_back(each.agent_process->description().caller);
  }
  return endpoints;
}

std::vector<std::vector<upstream::run_record>> deployment::all_records() const {
  std::vector<std::vector<upstream::run_record>> records;
  for (const auto& each : implementation_->stopped_upstreams) records.push_back(each->records());
  for (const auto& each : implementation_->nodes) {
    if (each.upstream_process) records.push_back(each.upstream_process->records());
  }
  return records;
}

std::size_t deployment::first_node_of(std::string_view service) const {
  const auto& nodes = implementation_->nodes;
  const auto found = std::ranges::find_if(nodes, [&](const node& each) {
    return each.service == service && each.agent_process != nullptr;
  });
  return static_cast<std::size_t>(found - nodes.begin());
}

void deployment::crash_node(std::size_t index) {
  implementation::crash_node(implementation_->nodes.at(index));
}

bool deployment::restart(std::size_t index, failure& reason) {
  return implementation_->start_node(implementation_->nodes.at(index), reason);
}

void deployment::set_drained(std::size_t index, bool drained) {
  const auto& name = implementation_->nodes.at(index).name;
  const configuration::record drain{1, configuration::drain_record{name, name, ""}};
  if (drained) {
    implementation_->put(drain);
  } else {
    implementation_->store->remove(configuration::object_name(drain));
  }
}

}  // namespace masticshunt::demo
