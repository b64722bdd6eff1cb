#include "fleet/small_fleet.h"

using namespace masticshunt;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(stopping_agent, passes_on_no_request_that_may_outlast_its_grace) {
  small_fleet fleet(2);
  fleet.start_upstreams();
  fleet.agent(0).begin_shutdown();
  // Opened while callers may not know yet, used when the agent is about to end.
  fleet.run_for(seconds{2});
  auto connection = fleet.connect(0);
  fleet.run_for(milliseconds{2'500});
  boost::asio::write(
      connection, boost::asio::buffer("GET /read/x HTTP/1.1\r\nHost: soak.example\r\n"
                                      "X-Request-Id: late\r\nX-Request-Deadline-Ms: 1500\r\n\r\n"));
  for (int i = 0; i < 100 && connection.available() == 0; ++i) fleet.run_for(milliseconds{20});
  std::string received(4'096, '\0');
  received.resize(connection.read_some(boost::asio::buffer(received)));
  expect_true(received.starts_with("HTTP/1.1 503"), received);
  expect_true(received.find("Connection: close") != std::string::npos, received);
}
