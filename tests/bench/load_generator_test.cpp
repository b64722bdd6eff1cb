#include "masticshunt/bench/load_generator.h"

#include <memory>

#include "expect.h"
#include "masticshunt/bench/guarantee_checker.h"
#include "masticshunt/upstream/stand_in.h"

namespace asio = boost::asio;
using masticshunt::failure;
using masticshunt::bench::attempt_outcome;
using masticshunt::bench::guarantee_checker;
using masticshunt::bench::load_generator;
using masticshunt::bench::load_result;
using masticshunt::bench::load_settings;
using masticshunt::bench::request_kind;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;
using masticshunt::upstream::stand_in;
using masticshunt::upstream::stand_in_faults;
using masticshunt::upstream::stand_in_settings;
using std::chrono::milliseconds;

namespace {

/// A load sent directly to one upstream stand-in.
struct direct_load {
  direct_load() : server(context, stand_in_settings{}) {
    failure reason;
    expect_true(server.start(reason), reason.describe());
    settings.direct = true;
    settings.agents = {server.address()};
    settings.schedule.duration = milliseconds(200);
    settings.schedule.kinds = {request_kind{}};
    settings.schedule.kinds[0].report_as = "all";
    settings.schedule.kinds[0].rate = 200;
  }

  const load_result& run() {
    load.emplace(context, settings);
    load->start([this] { server.stop(); });
    context.run();
    return load->result();
  }

  asio::io_context context;
  stand_in server;
  load_settings settings;
  std::optional<load_generator> load;
};

}  // namespace

Test(load_generator, ends_every_request_of_the_schedule) {
  direct_load fixture;
  const auto& result = fixture.run();
  expect_equal(result.log.size(), make_schedule(fixture.settings.schedule).size());
  expect_equal(result.result_for("all").count(attempt_outcome::served),
               result.result_for("all").offered);
}

Test(load_generator, agrees_with_the_records_of_the_upstream) {
  direct_load fixture;
  fixture.settings.schedule.kinds[0].method = "POST";
  fixture.settings.schedule.kinds[0].body_bytes = 100'000;
  guarantee_checker checker;
  checker.add_log(fixture.run().log);
  checker.add_records(fixture.server.records());
  const auto violations = checker.check();
  expect_true(violations.empty(), violations.empty() ? "" : violations[0].detail);
}

Test(load_generator, checks_answers_of_many_blocks) {
  direct_load fixture;
  fixture.settings.schedule.kinds[0].answer_bytes = 200'000;
  const auto& result = fixture.run();
  expect_equal(result.result_for("all").count(attempt_outcome::served),
               result.result_for("all").offered);
}

Test(load_generator, counts_refusals_as_not_run) {
  direct_load fixture;
  stand_in_faults faults;
  faults.shed_share = 1;
  fixture.server.set_faults(faults);
  const auto& result = fixture.run();
  expect_equal(result.result_for("all").count(attempt_outcome::not_run),
               result.result_for("all").offered);
}

Test(load_generator, retries_refused_requests_by_policy) {
  direct_load fixture;
  fixture.settings.retry.attempts_max = 2;
  stand_in_faults faults;
  faults.shed_share = 1;
  fixture.server.set_faults(faults);
  const auto& result = fixture.run();
  expect_equal(result.result_for("all").retries, result.result_for("all").offered);
}

Test(load_generator, reports_an_agent_that_accepts_no_connections) {
  direct_load fixture;
  fixture.server.stop();
  const auto& result = fixture.run();
  expect_equal(result.result_for("all").count(attempt_outcome::unreachable),
               result.result_for("all").offered);
}

Test(load_generator, reports_a_timeout_without_an_answer) {
  direct_load fixture;
  fixture.settings.schedule.kinds[0].deadline = milliseconds(50);
  fixture.settings.answer_grace = milliseconds(10);
  stand_in_faults faults;
  faults.frozen = true;
  fixture.server.set_faults(faults);
  const auto& result = fixture.run();
  expect_equal(result.result_for("all").count(attempt_outcome::timed_out),
               result.result_for("all").offered);
}
