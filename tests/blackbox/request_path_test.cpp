#include <nlohmann/json.hpp>

#include "blackbox/blackbox.h"

using namespace masticshunt::testing;
using masticshunt::upstream::run_record;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requirement: a key is served again within 3 s of a loss, and a draining upstream receives no new
/// requests after a few seconds.
constexpr seconds recovery_limit{3};

}  // namespace

Test(request_path, reaches_the_same_owner_from_every_agent) {
  small_deployment deployment;
  for (std::size_t index = 0; index < deployment->nodes().size(); ++index) {
    plain_client caller(deployment.caller_endpoint(index));
    const auto response = caller.exchange(http::verb::get, deployment.target_of("section-7"));
    expect_equal(response["Masticshunt-Outcome"], "served", response.body());
  }
  const auto owner = deployment.owner_of("section-7");
  expect_equal(deployment.runs_of(owner, "section-7"), deployment->nodes().size());
}

Test(request_path, returns_the_callers_request_id) {
  small_deployment deployment;
  plain_client caller(deployment.caller_endpoint(0));
  const auto response =
      caller.exchange(http::verb::get, deployment.target_of("k"), {{"X-Request-Id", "mine"}});
  expect_equal(response["X-Request-Id"], "mine");
}

Test(request_path, serves_a_key_again_within_three_seconds_of_its_owners_loss) {
  small_deployment deployment;
  expect_true(small_deployment::is_served(deployment.caller_endpoint(0), "section-7"));
  const auto owner = deployment.owner_of("section-7");
  const auto survivor = (owner + 1) % deployment->nodes().size();
  const auto caller_endpoint = deployment.caller_endpoint(survivor);
  deployment->crash_node(owner);
  expect_true(holds_within(
      recovery_limit, [&] { return small_deployment::is_served(caller_endpoint, "section-7"); }));
  expect_true(deployment.owner_of("section-7") != owner);
}

Test(request_path, moves_the_keys_of_a_drained_agent_without_cutting_requests) {
  small_deployment deployment;
  expect_true(small_deployment::is_served(deployment.caller_endpoint(0), "section-7"));
  const auto owner = deployment.owner_of("section-7");
  const auto caller_endpoint = deployment.caller_endpoint((owner + 1) % deployment->nodes().size());
  deployment->set_drained(owner, true);
  bool served_by_another = false;
  expect_true(holds_within(small_deployment::start_limit, [&] {
    const bool served = small_deployment::is_served(caller_endpoint, "section-7");
    served_by_another = served && deployment.owner_of("section-7") != owner;
    return served_by_another;
  }));
  const auto runs = deployment.runs_of(owner, "section-7");
  expect_true(small_deployment::is_served(caller_endpoint, "section-7"));
  expect_equal(deployment.runs_of(owner, "section-7"), runs);
  const auto records = deployment->nodes()[owner].upstream_process->records();
  expect_true(std::ranges::all_of(records, [](const run_record& run) {
    return run.outcome == masticshunt::upstream::run_outcome::finished;
  }));
}

Test(request_path, runs_a_retried_booking_once) {
  small_deployment deployment;
  const headers first_attempt = {{"Idempotency-Key", "booking-1"}, {"Masticshunt-Attempt", "1"}};
  plain_client first(deployment.caller_endpoint(0));
  expect_equal(first.exchange(http::verb::post, deployment.target_of("section-7"),
                              first_attempt)["Masticshunt-Outcome"],
               "served");
  const headers retry = {{"Idempotency-Key", "booking-1"}, {"Masticshunt-Attempt", "2"}};
  plain_client second(deployment.caller_endpoint(1));
  second.exchange(http::verb::post, deployment.target_of("section-7"), retry);
  expect_equal(deployment.runs_of(deployment.owner_of("section-7"), "section-7"), 1u);
}

Test(request_path, reports_not_run_only_if_no_upstream_ran_the_request) {
  small_deployment deployment;
  for (auto& node : deployment->nodes()) {
    masticshunt::upstream::stand_in_faults faults;
    faults.shed_share = 1;
    node.upstream_process->set_faults(faults);
  }
  plain_client caller(deployment.caller_endpoint(0));
  const auto response = caller.exchange(http::verb::post, deployment.target_of("shed-key"),
                                        {{"Idempotency-Key", "b"},
                                         {"Masticshunt-Attempt", "1"},
                                         {"Masticshunt-Deadline-Ms", "2000"}});
  expect_equal(response["Masticshunt-Outcome"], "not-run", response.body());
  expect_equal(nlohmann::json::parse(response.body()).at("outcome").get<std::string>(), "not-run");
  for (std::size_t index = 0; index < deployment->nodes().size(); ++index) {
    expect_equal(deployment.runs_of(index, "shed-key"), 0u);
  }
}

Test(request_path, does_not_report_not_run_if_an_earlier_attempt_may_have_run) {
  small_deployment deployment;
  expect_true(small_deployment::is_served(deployment.caller_endpoint(0), "section-7"));
  const auto owner = deployment.owner_of("section-7");
  masticshunt::upstream::stand_in_faults faults;
  faults.lag = seconds(10);
  deployment->nodes()[owner].upstream_process->set_faults(faults);
  plain_client caller(deployment.caller_endpoint((owner + 1) % deployment->nodes().size()));
  caller.send(http::verb::get, deployment.target_of("section-7"),
              {{"Masticshunt-Deadline-Ms", "1500"}});
  expect_true(holds_within(small_deployment::start_limit,
                           [&] { return deployment.runs_of(owner, "section-7") == 2; }));
  deployment->crash_node(owner);
  const auto response = caller.receive();
  expect_true(response["Masticshunt-Outcome"] != "not-run", response.body());
}

Test(request_path, rejects_forged_header_fields_as_not_run) {
  small_deployment deployment;
  plain_client caller(deployment.caller_endpoint(0));
  const auto response =
      caller.exchange(http::verb::get, deployment.target_of("k"), {{"Masticshunt-Fence", "9.9"}});
  expect_equal(response.result_int(), 400u);
  expect_equal(response["Masticshunt-Outcome"], "not-run");
}

Test(request_path, does_not_run_an_upload_that_was_cut_off) {
  small_deployment deployment;
  expect_true(small_deployment::is_served(deployment.caller_endpoint(0), "scan-1"));
  const auto runs = deployment.runs_of(deployment.owner_of("scan-1"), "scan-1");
  {
    plain_client caller(deployment.caller_endpoint(0));
    const std::string part = "PUT " + deployment.target_of("scan-1") +
                             " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" +
                             std::string(200'000, 'x');
    boost::asio::write(caller.socket(), boost::asio::buffer(part));
  }
  const auto owner = deployment.owner_of("scan-1");
  expect_true(holds_within(small_deployment::start_limit, [&] {
    return deployment->nodes()[owner].upstream_process->counts().truncated_bodies == 1;
  }));
  expect_true(small_deployment::is_served(deployment.caller_endpoint(0), "scan-1"));
  const auto records = deployment->nodes()[owner].upstream_process->records();
  expect_equal(
      std::ranges::count_if(records, [](const run_record& run) { return run.method == "PUT"; }), 0);
  expect_equal(deployment.runs_of(owner, "scan-1"), runs + 1);
}
