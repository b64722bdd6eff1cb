#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>

#include "expect.h"
#include "fleet/internal/http_server.h"
#include "fleet/loopback.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// A server whose handler answers nothing, with a budget of two megabytes.
class refusing_server {
 public:
  refusing_server()
      : server_(context_.get_executor(),
                [this](std::shared_ptr<server_request> request) { held_.push_back(request); }),
        client_(context_) {
    server_limits limits;
    limits.body_bytes = body_limit;
    server_.set_limits(limits);
    server_.use_budget({&budget_, requests::memory_share::callers},
                       [](const std::shared_ptr<server_request>& request) {
                         request->respond({.status = 503, .close = true});
                       });
    const endpoint address = loopback_net() + "1:7501";
    expect_equal(server_.start(address), "");
    boost::system::error_code error;
    client_.connect(tcp_endpoint(address, error), error);
    client_.non_blocking(true, error);
  }
  static constexpr std::uint64_t body_limit = 300'000;

  /// Sends `bytes`, and returns what the server has sent once nothing more comes.
  std::string exchange(std::string bytes) {
    std::size_t sent = 0;
    for (int round = 0; round < 60; ++round) {
      boost::system::error_code error;
      if (sent < bytes.size()) sent += client_.write_some(asio::buffer(bytes) + sent, error);
      context_.restart();
      context_.run_for(milliseconds{5});
      server_.sweep(boot_now());
      std::array<char, 4'096> answer{};
      const auto got = client_.read_some(asio::buffer(answer), error);
      if (!error) received_.append(answer.data(), got);
    }
    return received_;
  }
  [[nodiscard]] std::size_t handled() const { return held_.size(); }
  [[nodiscard]] std::shared_ptr<server_request> request(std::size_t i) { return held_.at(i); }
  requests::memory_budget& budget() { return budget_; }
  [[nodiscard]] std::uint64_t held_bytes() const {
    return budget_.held(requests::memory_share::callers);
  }

 private:
  asio::io_context context_;
  requests::memory_budget budget_{{.memory = 1}};
  http_server server_;
  tcp::socket client_;
  std::vector<std::shared_ptr<server_request>> held_;
  std::string received_;
};

std::string post(const std::string& framing) {
  return "POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
}

}  // namespace

Test(early_refusal, of_an_announced_body_over_the_limit_is_answered_at_once) {
  refusing_server server;
  const auto answer = server.exchange(post("Content-Length: 300001") + std::string(100'000, 'x'));
  expect_true(answer.starts_with("HTTP/1.1 413"), answer);
  expect_equal(server.handled(), 0U);
}

Test(early_refusal, of_a_body_that_grows_over_the_limit_is_answered) {
  refusing_server server;
  std::string chunks;
  while (chunks.size() < refusing_server::body_limit + 100'000)
    chunks += "10000\r\n" + std::string(65'536, 'x') + "\r\n";
  const auto answer = server.exchange(post("Transfer-Encoding: chunked") + chunks);
  expect_true(answer.starts_with("HTTP/1.1 413"), answer);
  expect_equal(server.held_bytes(), 0U);
}

Test(early_refusal, of_a_malformed_chunk_is_answered_while_nothing_was_passed_on) {
  refusing_server server;
  const auto answer = server.exchange(post("Transfer-Encoding: chunked") + "5\r\nabcde\r\nzz\r\n");
  expect_true(answer.starts_with("HTTP/1.1 400"), answer);
}

Test(early_refusal, of_a_malformed_chunk_closes_without_an_answer_once_bytes_were_passed_on) {
  refusing_server server;
  server.exchange(post("Transfer-Encoding: chunked") + "5\r\nabcde\r\n");
  server.request(0)->body->take();
  const auto answer = server.exchange("zz\r\n");
  expect_equal(answer, "");
}

Test(early_refusal, of_a_body_without_room_says_so_and_frees_what_had_arrived) {
  refusing_server server;
  server.budget().charge(requests::memory_share::callers,
                         server.budget().limit(requests::memory_share::callers));
  const auto before = server.held_bytes();
  const auto answer = server.exchange(post("Content-Length: 250000") + std::string(200'000, 'x'));
  expect_true(answer.starts_with("HTTP/1.1 503"), answer);
  expect_equal(server.handled(), 0U);
  expect_equal(server.held_bytes(), before);
}

Test(early_refusal, spares_a_small_body_though_the_budget_is_used_up) {
  refusing_server server;
  server.budget().charge(requests::memory_share::callers,
                         2 * server.budget().limit(requests::memory_share::callers));
  server.exchange(post("Content-Length: 5000") + std::string(5'000, 'x'));
  expect_equal(server.handled(), 1U);
  expect_true(server.request(0)->body->complete());
}

Test(early_refusal, of_a_second_request_survives_that_the_connection_ends_before_the_first_answer) {
  refusing_server server;
  server.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\nno request at all\r\n\r\n");
  expect_equal(server.handled(), 1U);
  server.request(0)->respond({.abort = true});
  expect_equal(server.exchange(""), "");
}
