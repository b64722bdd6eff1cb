#include "masticshunt/upstream/stand_in.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "expect.h"

namespace asio = boost::asio;
namespace http = boost::beast::http;
using masticshunt::failure;
using masticshunt::testing::expect_equal;
using masticshunt::testing::expect_false;
using masticshunt::testing::expect_true;
using masticshunt::upstream::run_outcome;
using masticshunt::upstream::stand_in;
using masticshunt::upstream::stand_in_faults;
using masticshunt::upstream::stand_in_settings;

namespace {

using headers = std::vector<std::pair<std::string, std::string>>;

/// A blocking client with one connection.
class client {
 public:
  explicit client(std::uint16_t port) : socket_(context_) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
  }

  void send(http::verb method, const std::string& target, const std::string& body = "",
            headers extra = {}) {
    http::request<http::string_body> request(method, target, 11);
    request.set("X-Request-Id", "r-1");
    for (const auto& [name, value] : extra) request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::write(socket_, request);
  }

  http::response<http::string_body> receive() {
    http::response<http::string_body> response;
    http::read(socket_, buffer_, response);
    return response;
  }

  http::response<http::string_body> exchange(http::verb method, const std::string& target,
                                             const std::string& body = "", headers extra = {}) {
    send(method, target, body, std::move(extra));
    return receive();
  }

  void close() { socket_.close(); }
  asio::ip::tcp::socket& socket() { return socket_; }

 private:
  asio::io_context context_;
  asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

/// A stand-in that runs on its own thread.
class stand_in_fixture {
 public:
  explicit stand_in_fixture(stand_in_settings settings = {})
      : server(context_, settings), work_(asio::make_work_guard(context_)) {
    failure reason;
    expect_true(server.start(reason), reason.describe());
    thread_ = std::thread([this] { context_.run(); });
  }
  ~stand_in_fixture() {
    server.stop();
    work_.reset();
    context_.stop();
    thread_.join();
  }

 private:
  asio::io_context context_;

 public:
  stand_in server;

  /// Waits until `condition` holds, without a time limit of its own; the test runner has one.
  template <class Condition>
  static void wait_until(Condition condition) {
    while (!condition()) std::this_thread::yield();
  }

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace

Test(stand_in, runs_a_request_and_records_it) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  const auto response = caller.exchange(http::verb::post, "/demo/section-7", "abc",
                                        {{"Idempotency-Key", "i-1"}, {"Masticshunt-Fence", "2.5"}});
  expect_equal(response.result_int(), 200u);
  expect_equal(response["X-Answer-For"], "r-1");
  const auto records = fixture.server.records();
  expect_equal(records.size(), 1u);
  expect_equal(records[0].key, "section-7");
  expect_equal(records[0].idempotency_key, "i-1");
  expect_true(records[0].fence == masticshunt::fence_token{2, 5});
  expect_equal(records[0].body_hash, masticshunt::hash_of_key("abc"));
  expect_true(records[0].outcome == run_outcome::finished);
}

Test(stand_in, refuses_a_stale_fencing_token_without_running) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  caller.exchange(http::verb::get, "/demo/k", "", {{"Masticshunt-Fence", "2.5"}});
  const auto response =
      caller.exchange(http::verb::get, "/demo/k", "", {{"Masticshunt-Fence", "2.4"}});
  expect_equal(response.result_int(), 409u);
  expect_equal(response["Masticshunt-Outcome"], "not-run");
  expect_equal(fixture.server.counts().runs, 1u);
}

Test(stand_in, checks_fencing_tokens_by_key) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  caller.exchange(http::verb::get, "/demo/k", "", {{"Masticshunt-Fence", "2.5"}});
  const auto response =
      caller.exchange(http::verb::get, "/demo/other", "", {{"Masticshunt-Fence", "2.4"}});
  expect_equal(response.result_int(), 200u);
}

Test(stand_in, does_not_start_after_the_deadline) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  const auto response =
      caller.exchange(http::verb::get, "/demo/k", "", {{"Masticshunt-Deadline-Ms", "0"}});
  expect_equal(response.result_int(), 504u);
  expect_equal(response["Masticshunt-Outcome"], "not-run");
  expect_equal(fixture.server.counts().runs, 0u);
}

Test(stand_in, sheds_before_running_under_the_shedding_fault) {
  stand_in_fixture fixture;
  stand_in_faults faults;
  faults.shed_share = 1;
  fixture.server.set_faults(faults);
  client caller(fixture.server.port());
  expect_equal(caller.exchange(http::verb::get, "/demo/k").result_int(), 503u);
  expect_equal(fixture.server.counts().runs, 0u);
}

Test(stand_in, sheds_when_its_queue_is_full) {
  stand_in_settings settings;
  settings.slots = 1;
  settings.queue_limit = 0;
  settings.service_time = std::chrono::hours(1);
  stand_in_fixture fixture(settings);
  client first(fixture.server.port());
  first.send(http::verb::get, "/demo/k");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 1; });
  client second(fixture.server.port());
  expect_equal(second.exchange(http::verb::get, "/demo/k").result_int(), 503u);
}

Test(stand_in, assigns_a_free_slot_to_the_waiting_request) {
  stand_in_settings settings;
  settings.slots = 1;
  settings.service_time = std::chrono::hours(1);
  stand_in_fixture fixture(settings);
  client first(fixture.server.port());
  first.send(http::verb::get, "/demo/first");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 1; });
  client second(fixture.server.port());
  second.send(http::verb::get, "/demo/second");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().queued == 1; });
  first.close();
  stand_in_fixture::wait_until([&] { return fixture.server.records().size() == 2; });
  expect_equal(fixture.server.records()[1].key, "second");
}

Test(stand_in, cancels_the_run_when_the_connection_closes) {
  stand_in_settings settings;
  settings.service_time = std::chrono::hours(1);
  stand_in_fixture fixture(settings);
  client caller(fixture.server.port());
  caller.send(http::verb::get, "/demo/k");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 1; });
  caller.close();
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 0; });
  expect_true(fixture.server.records()[0].outcome == run_outcome::cancelled);
}

Test(stand_in, does_not_run_a_request_with_a_truncated_body) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  const std::string_view part = "POST /demo/k HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc";
  asio::write(caller.socket(), asio::buffer(part));
  caller.close();
  stand_in_fixture::wait_until([&] { return fixture.server.counts().truncated_bodies == 1; });
  expect_equal(fixture.server.counts().runs, 0u);
}

Test(stand_in, serves_a_delayed_request_after_a_freeze) {
  stand_in_fixture fixture;
  stand_in_faults faults;
  faults.frozen = true;
  fixture.server.set_faults(faults);
  client caller(fixture.server.port());
  caller.send(http::verb::get, "/demo/k");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().connections == 1; });
  expect_equal(fixture.server.counts().runs, 0u);
  fixture.server.set_faults({});
  expect_equal(caller.receive().result_int(), 200u);
}

Test(stand_in, serves_new_connections_while_old_ones_hang) {
  stand_in_fixture fixture;
  client old(fixture.server.port());
  old.exchange(http::verb::get, "/demo/k");
  fixture.server.hang_open_connections();
  old.send(http::verb::get, "/demo/k");
  client fresh(fixture.server.port());
  expect_equal(fresh.exchange(http::verb::get, "/demo/k").result_int(), 200u);
  expect_equal(fixture.server.counts().runs, 2u);
  expect_equal(old.socket().available(), 0u);
}

Test(stand_in, ends_runs_as_lost_in_a_crash_and_keeps_the_records) {
  stand_in_settings settings;
  settings.service_time = std::chrono::hours(1);
  stand_in_fixture fixture(settings);
  client caller(fixture.server.port());
  caller.send(http::verb::get, "/demo/k");
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 1; });
  fixture.server.crash();
  stand_in_fixture::wait_until([&] { return fixture.server.counts().busy == 0; });
  expect_true(fixture.server.records()[0].outcome == run_outcome::lost);
}

Test(stand_in, listens_on_the_same_port_after_a_restart) {
  stand_in_fixture fixture;
  const auto port = fixture.server.port();
  fixture.server.crash();
  fixture.server.restart();
  std::optional<client> caller;
  stand_in_fixture::wait_until([&] {
    try {
      caller.emplace(port);
      return caller->exchange(http::verb::get, "/demo/k").result_int() == 200;
    } catch (const boost::system::system_error&) {
      return false;
    }
  });
  expect_equal(fixture.server.records().back().incarnation, 2u);
}

Test(stand_in, reports_the_claimed_health_and_load) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  expect_equal(caller.exchange(http::verb::get, "/health").result_int(), 200u);
  caller.exchange(http::verb::post, "/stand-in/fault",
                  R"({"claimed_healthy":false,"claimed_busy":99})");
  expect_equal(caller.exchange(http::verb::get, "/health").result_int(), 503u);
  const auto load = nlohmann::json::parse(caller.exchange(http::verb::get, "/load").body());
  expect_equal(load.at("busy").get<int>(), 99);
}

Test(stand_in, rejects_a_malformed_fault_request) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  expect_equal(caller.exchange(http::verb::post, "/stand-in/fault", "{").result_int(), 400u);
}

Test(stand_in, streams_a_response_of_the_requested_size) {
  stand_in_fixture fixture;
  client caller(fixture.server.port());
  const auto response = caller.exchange(http::verb::get, "/demo/k?answer_bytes=200000");
  expect_equal(response.body().size(), 200'000u);
  std::string hash(response["X-Answer-Xxh64"]);
  expect_equal(std::stoull(hash, nullptr, 16), masticshunt::hash_of_key(response.body()));
}

Test(stand_in, announces_itself_to_its_agent) {
  asio::io_context context;
  asio::ip::tcp::acceptor agent(context, {asio::ip::address_v4::loopback(), 0});
  stand_in_settings settings;
  settings.service = "booking-ledger";
  settings.agent = "127.0.0.1:" + std::to_string(agent.local_endpoint().port());
  stand_in_fixture fixture(settings);
  auto socket = agent.accept();
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::read(socket, buffer, request);
  expect_equal(request.target(), "/announce");
  const auto body = nlohmann::json::parse(request.body());
  expect_equal(body.at("service").get<std::string>(), "booking-ledger");
  expect_equal(body.at("address").get<std::string>(), fixture.server.address());
  expect_equal(body.at("state").get<std::string>(), "ready");
}
