#include <nlohmann/json.hpp>

#include "blackbox/blackbox.h"

using namespace masticshunt::testing;
using masticshunt::upstream::run_record;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Target of the brief: a key is served again within 3 s of a loss, and a departing upstream
/// receives no new work after a few seconds.
constexpr seconds recovery_limit{3};

}  // namespace

Test(request_path, reaches_the_one_owner_from_any_agent) {
  small_deployment here;
  for (std::size_t index = 0; index < here->nodes().size(); ++index) {
    plain_client caller(here.entry(index));
    const auto answer = caller.exchange(http::verb::get, here.target_of("section-7"));
    expect_equal(answer["Masticshunt-Outcome"], "served", answer.body());
  }
  const auto owner = here.owner_of("section-7");
  expect_equal(here.runs_of(owner, "section-7"), here->nodes().size());
}

Test(request_path, returns_the_callers_request_identity) {
  small_deployment here;
  plain_client caller(here.entry(0));
  const auto answer =
      caller.exchange(http::verb::get, here.target_of("k"), {{"X-Request-Id", "mine"}});
  expect_equal(answer["X-Request-Id"], "mine");
}

Test(request_path, serves_a_key_again_within_three_seconds_of_its_owners_loss) {
  small_deployment here;
  expect_true(small_deployment::is_served(here.entry(0), "section-7"));
  const auto owner = here.owner_of("section-7");
  const auto survivor = (owner + 1) % here->nodes().size();
  const auto entry = here.entry(survivor);
  here->crash_node(owner);
  expect_true(holds_within(recovery_limit,
                           [&] { return small_deployment::is_served(entry, "section-7"); }));
  expect_true(here.owner_of("section-7") != owner);
}

Test(request_path, moves_the_keys_of_a_drained_agent_without_a_cut) {
  small_deployment here;
  expect_true(small_deployment::is_served(here.entry(0), "section-7"));
  const auto owner = here.owner_of("section-7");
  const auto entry = here.entry((owner + 1) % here->nodes().size());
  here->set_drained(owner, true);
  bool served_by_another = false;
  expect_true(holds_within(small_deployment::start_limit, [&] {
    const bool served = small_deployment::is_served(entry, "section-7");
    served_by_another = served && here.owner_of("section-7") != owner;
    return served_by_another;
  }));
  const auto runs = here.runs_of(owner, "section-7");
  expect_true(small_deployment::is_served(entry, "section-7"));
  expect_equal(here.runs_of(owner, "section-7"), runs);
  const auto records = here->nodes()[owner].upstream_process->records();
  expect_true(std::ranges::all_of(records, [](const run_record& run) {
    return run.how == masticshunt::upstream::run_end::finished;
  }));
}

Test(request_path, runs_a_repeated_booking_once) {
  small_deployment here;
  const headers identity = {{"Idempotency-Key", "booking-1"}, {"Masticshunt-Attempt", "1"}};
  plain_client first(here.entry(0));
  expect_equal(first.exchange(http::verb::post, here.target_of("section-7"),
                              identity)["Masticshunt-Outcome"],
               "served");
  const headers repeat = {{"Idempotency-Key", "booking-1"}, {"Masticshunt-Attempt", "2"}};
  plain_client second(here.entry(1));
  second.exchange(http::verb::post, here.target_of("section-7"), repeat);
  expect_equal(here.runs_of(here.owner_of("section-7"), "section-7"), 1u);
}

Test(request_path, says_not_run_only_if_nothing_ran) {
  small_deployment here;
  for (auto& node : here->nodes()) {
    masticshunt::upstream::stand_in_faults faults;
    faults.shed_share = 1;
    node.upstream_process->set_faults(faults);
  }
  plain_client caller(here.entry(0));
  const auto answer = caller.exchange(http::verb::post, here.target_of("shed-key"),
                                      {{"Idempotency-Key", "b"},
                                       {"Masticshunt-Attempt", "1"},
                                       {"Masticshunt-Deadline-Ms", "2000"}});
  expect_equal(answer["Masticshunt-Outcome"], "not-run", answer.body());
  expect_equal(nlohmann::json::parse(answer.body()).at("outcome").get<std::string>(), "not-run");
  for (std::size_t index = 0; index < here->nodes().size(); ++index) {
    expect_equal(here.runs_of(index, "shed-key"), 0u);
  }
}

Test(request_path, does_not_take_back_that_an_earlier_attempt_may_have_run) {
  small_deployment here;
  expect_true(small_deployment::is_served(here.entry(0), "section-7"));
  const auto owner = here.owner_of("section-7");
  masticshunt::upstream::stand_in_faults faults;
  faults.lag = seconds(10);
  here->nodes()[owner].upstream_process->set_faults(faults);
  plain_client caller(here.entry((owner + 1) % here->nodes().size()));
  caller.send(http::verb::get, here.target_of("section-7"), {{"Masticshunt-Deadline-Ms", "1500"}});
  expect_true(holds_within(small_deployment::start_limit,
                           [&] { return here.runs_of(owner, "section-7") == 2; }));
  here->crash_node(owner);
  const auto answer = caller.receive();
  expect_true(answer["Masticshunt-Outcome"] != "not-run", answer.body());
}

Test(request_path, refuses_forged_fields_as_not_run) {
  small_deployment here;
  plain_client caller(here.entry(0));
  const auto answer =
      caller.exchange(http::verb::get, here.target_of("k"), {{"Masticshunt-Fence", "9.9"}});
  expect_equal(answer.result_int(), 400u);
  expect_equal(answer["Masticshunt-Outcome"], "not-run");
}

Test(request_path, does_not_run_an_upload_that_was_cut_off) {
  small_deployment here;
  expect_true(small_deployment::is_served(here.entry(0), "scan-1"));
  const auto runs = here.runs_of(here.owner_of("scan-1"), "scan-1");
  {
    plain_client caller(here.entry(0));
    const std::string part = "PUT " + here.target_of("scan-1") +
                             " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" +
                             std::string(200'000, 'x');
    boost::asio::write(caller.socket(), boost::asio::buffer(part));
  }
  const auto owner = here.owner_of("scan-1");
  expect_true(holds_within(small_deployment::start_limit, [&] {
    return here->nodes()[owner].upstream_process->counts().cut_bodies == 1;
  }));
  expect_true(small_deployment::is_served(here.entry(0), "scan-1"));
  const auto records = here->nodes()[owner].upstream_process->records();
  expect_equal(
      std::ranges::count_if(records, [](const run_record& run) { return run.method == "PUT"; }), 0);
  expect_equal(here.runs_of(owner, "scan-1"), runs + 1);
}
