#include "operator/internal/agent_query.h"

#include "expect.h"
#include "store/scripted_server.h"

using namespace masticshunt;
using namespace masticshunt::operators;
using namespace std::chrono_literals;
using masticshunt::store::testing::scripted_server;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_true;

namespace {

std::string status_of_revision(int revision) {
  const auto body = "{\"config_revision\":" + std::to_string(revision) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Test(query_agents, keeps_the_order_and_reports_failed_agents) {
  boost::asio::io_context context;
  scripted_server agent(context);
  agent.answer = status_of_revision(3);
  const auto answers = query_agents(context, {"nonsense", agent.address()}, "/status", 500ms);
  expect_equal(answers[0].reason.kind, failure_kind::bad_input);
  expect_equal(*answers[1].body, "{\"config_revision\":3}");
}

Test(wait_in_force, ends_when_every_agent_reports_the_revision) {
  boost::asio::io_context context;
  scripted_server agent(context);
  agent.answer = status_of_revision(3);
  expect_true(wait_in_force(context, {agent.address()}, 3, 0ms).empty());
}

Test(wait_in_force, returns_the_agents_that_are_behind) {
  boost::asio::io_context context;
  scripted_server ahead(context);
  scripted_server behind(context);
  ahead.answer = status_of_revision(4);
  behind.answer = status_of_revision(3);
  const auto missing = wait_in_force(context, {ahead.address(), behind.address()}, 4, 0ms);
  expect_equal(missing.size(), 1U);
  expect_equal(missing.front(), behind.address());
}
