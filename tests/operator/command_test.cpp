#include "masticshunt/operator/command.h"

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <thread>

#include "expect.h"
#include "masticshunt/store/store_stand_in.h"
#include "operator/internal/agent_query.h"

using namespace masticshunt;
using namespace masticshunt::operators;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;

namespace {

int run(const std::vector<std::string>& words) {
  return run_command(operator_commands(), words);
}

}  // namespace

Test(command, unknown_or_missing_command_is_a_usage_error) {
  expect_equal(run({"aply"}), static_cast<int>(exit_usage));
  expect_equal(run({}), static_cast<int>(exit_usage));
  expect_equal(run({"help"}), static_cast<int>(exit_ok));
}

Test(command, help_option_of_every_command_succeeds) {
  for (const auto& each : operator_commands()) {
    expect_equal(run({std::string(each.name), "--help"}), static_cast<int>(exit_ok), each.name);
  }
}

Test(command, refuses_unknown_options_and_missing_addresses) {
  unsetenv("MASTICSHUNT_STORE");
  unsetenv("MASTICSHUNT_AGENTS");
  expect_equal(run({"list", "--colour"}), static_cast<int>(exit_usage));
  expect_equal(run({"list"}), static_cast<int>(exit_usage));
  expect_equal(run({"status"}), static_cast<int>(exit_usage));
  expect_equal(run({"get", "nonsense", "a"}), static_cast<int>(exit_usage));
}

Test(command, exit_code_reports_an_agent_that_does_not_respond) {
  expect_equal(run({"status", "--agent=127.0.0.1:1"}), static_cast<int>(exit_unavailable));
}

Test(exit_code, distinguishes_conflicts_outages_and_refused_schemas) {
  expect_equal(exit_code_of(failure_kind::conflict), exit_conflict);
  expect_equal(exit_code_of(failure_kind::unavailable), exit_unavailable);
  expect_equal(exit_code_of(failure_kind::unsupported), exit_not_accepted);
  expect_equal(exit_code_of(failure_kind::not_found), exit_not_found);
}

Test(revision_in_force, prefers_the_revision_in_force_everywhere) {
  expect_equal(revision_in_force(R"({"config_revision":9,"config_revision_everywhere":7})"), 7U);
  expect_equal(revision_in_force(R"({"config_revision":9})"), 9U);
  expect_equal(revision_in_force("nonsense"), 0U);
}

Test(evacuate, writes_the_drain_order_of_the_zone_and_undo_removes_it) {
  boost::asio::io_context context;
  store::store_stand_in store(context.get_executor());
  const auto address = "--store=" + store.address();
  std::thread served([&context] {
    const auto work = boost::asio::make_work_guard(context);
    context.run();
  });
  expect_equal(run({"evacuate", address, "Bern"}), static_cast<int>(exit_ok));
  expect_equal(run({"get", address, "drain", "domain-Bern"}), static_cast<int>(exit_ok));
  expect_equal(run({"evacuate", address, "--undo", "Bern"}), static_cast<int>(exit_ok));
  expect_equal(run({"get", address, "drain", "domain-Bern"}), static_cast<int>(exit_not_found));
  expect_equal(run({"evacuate", address, "--undo", "Bern"}), static_cast<int>(exit_not_found));
  context.stop();
  served.join();
}
