#include "masticshunt/operator/explain.h"

#include "expect.h"

using namespace masticshunt::operators;
using namespace masticshunt::testing;

namespace {

std::vector<log_line> log(const std::vector<std::string>& texts) {
  std::vector<log_line> lines;
  for (const auto& each : texts)
    if (auto line = parse_log_line(each)) lines.push_back(std::move(*line));
  return lines;
}

const std::string ingress_line =
    "time=100.500 agent=vm-1 event=request id=77 route=r service=s key=9 outcome=refused "
    "status=503 "
    "why=\"overloaded\" agent=vm-2 attempts=1 reached=0 trail=\"vm-2:not_run/overloaded@40\"";
const std::string gate_line =
    "time=100.480 agent=vm-2 event=gate id=77 service=s result=not_run why=overloaded running=12";
const std::string state_line = "time=99.000 agent=vm-2 event=store_lost why=\"no answer\"";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(explain, parses_a_line_with_a_prefix) {
  const auto line = parse_log_line("   0.15 vm-1 " + ingress_line);
  expect_true(line.has_value());
  expect_equal(line->agent, "vm-1");
  expect_equal(line->event, "request");
  expect_equal(std::string(line->value("why")), "overloaded");
  expect_equal(std::string(line->value("trail")), "vm-2:not_run/overloaded@40");
  expect_true(line->time > 100.4 && line->time < 100.6);
}

Test(explain, rejects_lines_that_are_not_from_an_event_log) {
  expect_false(parse_log_line("Segmentation fault").has_value());
  expect_false(parse_log_line("time=x agent=a event=b").has_value());
}

Test(explain, orders_the_lines_by_time) {
  const auto result = explain_request("77", log({ingress_line, gate_line}));
  expect_true(result.found);
  expect_true(result.text.find("running=12") < result.text.find("outcome=refused"), result.text);
}

Test(explain, explains_the_reason_of_a_refusal) {
  const auto result = explain_request("77", log({ingress_line, gate_line}));
  expect_true(contains(result.text, "has not run: overloaded"), result.text);
  expect_true(contains(result.text, "compare running with slots"), result.text);
}

Test(explain, shows_recent_events_of_the_agents_involved_only) {
  const std::string unrelated_line = "time=99.500 agent=vm-9 event=store_lost why=\"no answer\"";
  const auto result =
      explain_request("77", log({ingress_line, gate_line, state_line, unrelated_line}));
  expect_true(contains(result.text, "vm-2  store_lost"), result.text);
  expect_false(contains(result.text, "vm-9"), result.text);
}

Test(explain, names_an_agent_whose_lines_are_missing_once) {
  const std::string twice =
      "time=100.500 agent=vm-1 event=request id=77 outcome=refused status=503 why=\"overloaded\" "
      "trail=\"vm-2:not_run/overloaded@40;vm-2:not_run/overloaded@80\"";
  const auto text = explain_request("77", log({twice})).text;
  const auto first = text.find("No gate line of vm-2");
  expect_true(first != std::string::npos, text);
  expect_true(text.find("No gate line of vm-2", first + 1) == std::string::npos, text);
}

Test(explain, names_the_lines_that_are_missing) {
  expect_true(contains(explain_request("77", log({ingress_line})).text, "No gate line of vm-2"));
  expect_true(contains(explain_request("77", log({gate_line})).text,
                       "No request line of the ingress agent"));
  expect_false(explain_request("78", log({ingress_line})).found);
}
