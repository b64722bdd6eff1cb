#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <ranges>
#include <vector>

#include "expect.h"
#include "fleet/internal/agent_process.h"
#include "fleet/loopback.h"
#include "process_soak/store.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;

namespace {

/// The time in which a confirmed change must be in force.
constexpr duration config_bound = std::chrono::seconds{2};

nlohmann::json desired_state(std::uint64_t version) {
  char digits[16]{};
  std::snprintf(digits, sizeof digits, "%08llx", static_cast<unsigned long long>(version));
  return {{"version", digits},
          {"routes", nlohmann::json::object()},
          {"services",
           {{"ledger", {{"healthPath", "/healthz"}, {"maxConnections", 10}, {"sharded", false}}}}}};
}

/// Agents in one event loop, with the stand-in of the store.
class small_fleet {
 public:
  explicit small_fleet(std::size_t agents) : store_(context_.get_executor(), 1) {
    const std::string net = loopback_net();
    const endpoint store_address = net + "1:7500";
    expect_equal(store_.start(store_address), "");
    for (const auto i : std::views::iota(std::size_t{1}, agents + 1)) {
      const std::string ip = net + std::to_string(first_agent + i);
      fleet_settings settings{.name = "vm-" + std::to_string(i),
                              .ip = ip,
                              .zone = "zone",
                              .region = "region",
                              .callers = ip + ":7501",
                              .readiness = ip + ":7502",
                              .upstream_heartbeats = ip + ":7503",
                              .peer_port = 7504,
                              .metrics_port = 7505,
                              .upstream = ip + ":7510",
                              .service = "ledger",
                              .store = store_address};
      store_.put("masticshunt-upstreams", settings.name,
                 {{"address", settings.peer_address()},
                  {"zone", "zone"},
                  {"region", "region"},
                  {"service", "ledger"},
                  {"upstream", ""},
                  {"born", 0},
                  {"stage", "gone"},
                  {"slots", 1}});
      agents_.push_back(std::make_unique<agent_process>(context_, std::move(settings), ""));
    }
    store_.put("config", "main", desired_state(1));
    for (const auto& each : agents_) expect_equal(each->start(), "");
    run_for(std::chrono::milliseconds{500});
  }

  process_soak::store& store() { return store_; }
  void run_for(duration span) { context_.run_for(span); }
  /// Returns the number of agents with `version` in force.
  [[nodiscard]] std::size_t agents_at(std::uint64_t version) const {
    return static_cast<std::size_t>(std::ranges::count(
        agents_, version, [](const auto& each) { return each->state_version(); }));
  }

 private:
  static constexpr std::size_t first_agent = 10;

  asio::io_context context_;
  process_soak::store store_;
  std::vector<std::unique_ptr<agent_process>> agents_;
};

}  // namespace

Test(state_in_force, is_not_late_when_all_watches_have_died_silently) {
  constexpr std::size_t agents = 3;
  small_fleet fleet(agents);
  expect_equal(fleet.agents_at(1), agents);
  fleet.store().forget_watches();
  fleet.store().put("config", "main", desired_state(2));
  fleet.run_for(config_bound);
  expect_equal(fleet.agents_at(2), agents);
}
