#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <string>

#include "expect.h"
#include "fleet/internal/http_server.h"
#include "fleet/loopback.h"
#include "masticshunt/support/clock.h"

using namespace masticshunt;
using namespace masticshunt::fleet;
using namespace masticshunt::testing;
using std::chrono::milliseconds;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t answer_bytes = 8 * 1024 * 1024;

/// A server whose answer fills the kernel's buffers, and a caller with a small window that has sent
/// its request and reads nothing yet.
class slow_reader {
 public:
  slow_reader() {
    expect_equal(server_.start(address_), "");
    const int segment = 1'460;
    socket_.open(tcp::v4());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    socket_.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
    boost::system::error_code error;
    socket_.connect(tcp_endpoint(address_, error));
    asio::write(socket_, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    socket_.non_blocking(true);
    run_for(milliseconds{200});
  }

  http_server& server() { return server_; }
  void run_for(duration span) {
    context_.restart();
    context_.run_for(span);
  }
  /// Reads until `bytes` were received, the connection has ended or a second brought nothing;
  /// calls `between` after each read. Returns the number of bytes received.
  std::size_t read(std::size_t bytes, const std::function<void()>& between) {
    std::size_t received = 0;
    std::array<char, 16 * 1024> part{};
    auto last = boot_now();
    while (received < bytes && boot_now() - last < std::chrono::seconds{1}) {
      boost::system::error_code error;
      const auto got = socket_.read_some(asio::buffer(part), error);
      if (error && error != asio::error::would_block) break;
      if (got > 0) last = boot_now();
      received += got;
      run_for(milliseconds{4});
      between();
    }
    return received;
  }

 private:
  asio::io_context context_;
  endpoint address_ = loopback_net() + "1:7500";
  http_server server_{context_.get_executor(), [](const auto& request) {
                        request->respond({.text = std::string(answer_bytes, 'x')});
                      }};
  tcp::socket socket_{context_};
};

}  // namespace

// Guards against answers that a planned stop cuts: review/10, LOST.
Test(server, closes_gracefully_only_after_slow_readers_have_their_answers) {
  slow_reader caller;
  expect_equal(caller.server().open_requests(), 0U);
  caller.server().close_gracefully();
  expect_false(caller.server().idle(), "the answer is unsent");
  expect_true(caller.read(answer_bytes, [] {}) >= answer_bytes);
  caller.run_for(milliseconds{50});
  expect_true(caller.server().idle());
}

// Guards against answers that are cut as their connection counts as idle.
Test(server, does_not_take_a_connection_for_idle_while_its_peer_reads) {
  slow_reader caller;
  server_limits limits;
  limits.idle_timeout = milliseconds{400};
  caller.server().set_limits(limits);
  const auto received = caller.read(answer_bytes, [&caller] { caller.server().sweep(boot_now()); });
  expect_true(received >= answer_bytes, std::to_string(received));
}

Test(server, drops_a_connection_whose_peer_has_stopped_to_read) {
  slow_reader caller;
  server_limits limits;
  limits.idle_timeout = milliseconds{100};
  caller.server().set_limits(limits);
  caller.run_for(milliseconds{150});
  caller.server().sweep(boot_now());
  caller.run_for(milliseconds{50});
  expect_equal(caller.server().connections(), 0U);
}
