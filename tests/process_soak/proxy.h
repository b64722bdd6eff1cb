/// @file
/// A TCP proxy on loopback that can delay, discard or reset the traffic between client and server.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "fleet/internal/http_server.h"

namespace masticshunt::process_soak {

/// How the proxy treats the bytes that it receives.
enum class proxy_mode { forwards, delays, drops_responses, unresponsive };

/// Forwards connections to one address.
///
/// Thread safety: none.
class proxy {
 public:
  proxy(const boost::asio::any_io_executor& executor, const endpoint& listen_address,
        endpoint target)
      : executor_(executor), target_(std::move(target)), acceptor_(executor) {
    boost::system::error_code error;
    const auto local = fleet::tcp_endpoint(listen_address, error);
    acceptor_.open(local.protocol());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    boost::asio::co_spawn(executor_, accept(), boost::asio::detached);
  }
  void set_mode(proxy_mode mode) { mode_ = mode; }
  /// Resets every open connection.
  void reset_all() {
    for (const auto& weak : std::exchange(connections_, {}))
      if (const auto open = weak.lock()) open->reset();
  }

 private:
  using socket = boost::asio::ip::tcp::socket;
  struct connection_pair {
    explicit connection_pair(socket from, const boost::asio::any_io_executor& executor)
        : client(std::move(from)), server(executor) {}
    void reset() {
      boost::system::error_code ignored;
      client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      client.close(ignored);
      server.close(ignored);
    }
    socket client;
    socket server;
  };

  boost::asio::awaitable<void> accept() {
    for (;;) {
      boost::system::error_code error;
      auto from = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) continue;
      auto connection = std::make_shared<connection_pair>(std::move(from), executor_);
      std::erase_if(connections_, [](const auto& each) { return each.expired(); });
      connections_.push_back(connection);
      boost::asio::co_spawn(executor_, connect(connection), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> connect(std::shared_ptr<connection_pair> connection) {
    boost::system::error_code error;
    const auto remote = fleet::tcp_endpoint(target_, error);
    co_await connection->server.async_connect(
        remote, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) co_return connection->reset();
    boost::asio::co_spawn(executor_,
                          relay(connection, connection->client, connection->server, false),
                          boost::asio::detached);
    co_await relay(connection, connection->server, connection->client, true);
  }
  boost::asio::awaitable<void> relay(std::shared_ptr<connection_pair> connection, socket& from,
                                     socket& to, bool is_response) {
    std::array<char, 16 * 1024> bytes{};
    boost::system::error_code error;
    while (true) {
      const auto size = co_await from.async_read_some(
          boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
      if (mode_ == proxy_mode::unresponsive ||
          (mode_ == proxy_mode::drops_responses && is_response))
        continue;
      if (mode_ == proxy_mode::delays) {
        boost::asio::steady_timer timer(executor_, std::chrono::milliseconds{150});
        co_await timer.async_wait(boost::asio::use_awaitable);
      }
      co_await boost::asio::async_write(
          to, boost::asio::buffer(bytes, size),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
    }
    connection->reset();
  }

  boost::asio::any_io_executor executor_;
  endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  proxy_mode mode_ = proxy_mode::forwards;
  std::vector<std::weak_ptr<connection_pair>> connections_;
};

}  // namespace masticshunt::process_soak
