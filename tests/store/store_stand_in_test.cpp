#include "masticshunt/store/store_stand_in.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <random>

#include "expect.h"
#include "store/internal/url_text.h"
#include "store_fixture.h"

using namespace masticshunt;
using namespace masticshunt::store;
using masticshunt::store::testing::store_fixture;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;

namespace {

/// Sends `bytes` to the stand-in on a new connection and waits until the stand-in closes it.
void send_and_close(store_fixture& to, const std::string& bytes) {
  using boost::asio::ip::tcp;
  tcp::socket socket(to.context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), to.store.port()});
  boost::asio::write(socket, boost::asio::buffer(bytes));
  socket.shutdown(tcp::socket::shutdown_send);
  bool closed = false;
  std::string answer;
  std::function<void()> drain = [&] {
    answer.resize(4096);
    socket.async_read_some(boost::asio::buffer(answer), [&](const auto& error, std::size_t) {
      if (error) {
        closed = true;
      } else {
        drain();
      }
    });
  };
  drain();
  to.run_until([&] { return closed; });
}

}  // namespace

Test(store_stand_in, counts_calls_and_waiting_watches) {
  store_fixture fixture;
  fixture.write("a", 0, "{}");
  fixture.write("a", 0, "{}");
  fixture.read("a");
  fixture.client.async_list({1, "a", 99}, [](auto) {});
  fixture.run_until([&] { return fixture.store.counts().waiting_watches == 1; });
  expect_equal(fixture.store.counts().calls, 4U);
  expect_equal(fixture.store.counts().writes, 2U);
  expect_equal(fixture.store.counts().conflicts, 1U);
  expect_equal(fixture.store.counts().applied, 1U);
}

Test(store_stand_in, ends_a_watch_when_the_client_disconnects) {
  store_fixture fixture;
  fixture.client.async_list({1, "a", 99}, [](auto) {});
  fixture.run_until([&] { return fixture.store.counts().waiting_watches == 1; });
  fixture.client.stop();
  fixture.run_until([&] { return fixture.store.counts().waiting_watches == 0; });
}

Test(store_stand_in, serves_again_after_it_was_down) {
  store_fixture fixture;
  fixture.store.put("a", "{}");
  fixture.store.set_down(true);
  expect_false(fixture.read("a").object.has_value());
  fixture.store.set_down(false);
  expect_true(fixture.read("a").object.has_value());
}

Test(store_stand_in, assigns_a_new_version_to_every_change) {
  store_fixture fixture;
  const auto first = fixture.store.put("a", "{}");
  fixture.store.remove("a");
  expect_equal(fixture.store.put("a", "{}"), first + 2);
}

Test(store_stand_in, survives_malformed_requests) {
  store_fixture fixture;
  std::mt19937_64 random{11};
  const std::string valid =
      "PUT /objects/a HTTP/1.1\r\nHost: x\r\nIf-None-Match: *\r\nContent-Length: 2\r\n\r\n{}";
  for (int round = 0; round < 500; ++round) {
    auto bytes = valid;
    for (int edits = 0; edits < 3; ++edits) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    send_and_close(fixture, bytes);
  }
  expect_equal(fixture.read("none").reason.kind, failure_kind::not_found);
}

Test(url_text, percent_decode_reverses_percent_encode) {
  const std::string text = "config/a b%/\xc3\xbc?&=\"";
  expect_equal(*percent_decode(percent_encode(text)), text);
  expect_false(percent_decode("%4").has_value());
  expect_false(percent_decode("%zz").has_value());
}

Test(url_text, matches_query_parameters_by_full_name) {
  expect_equal(*query_parameter("/list?xprefix=1&prefix=a%2Fb", "prefix"), "a/b");
  expect_false(query_parameter("/list", "prefix").has_value());
}

Test(url_text, accepts_only_quoted_entity_tags) {
  expect_equal(*version_from_etag("\"17\""), 17U);
  expect_false(version_from_etag("17").has_value());
  expect_false(version_from_etag("\"-1\"").has_value());
}
