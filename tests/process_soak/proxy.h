/// @file
/// A loopback proxy that delays, silences, cuts one way or resets what passes through it.
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

/// What becomes of bytes.
enum class proxy_mood { passes, delays, drops_answers, silent };

/// Passes connections on to one address.
///
/// Thread safety: none.
class proxy {
 public:
  proxy(const boost::asio::any_io_executor& executor, const endpoint& listens, endpoint to)
      : executor_(executor), to_(std::move(to)), acceptor_(executor) {
    boost::system::error_code error;
    const auto place = fleet::tcp_endpoint(listens, error);
    acceptor_.open(place.protocol());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(place);
    acceptor_.listen();
    boost::asio::co_spawn(executor_, accept(), boost::asio::detached);
  }
  void set_mood(proxy_mood mood) { mood_ = mood; }
  /// Resets every open connection.
  void reset_all() {
    for (const auto& weak : std::exchange(links_, {}))
      if (const auto open = weak.lock()) open->reset();
  }

 private:
  using socket = boost::asio::ip::tcp::socket;
  struct link {
    explicit link(socket from, const boost::asio::any_io_executor& executor)
        : near(std::move(from)), far(executor) {}
    void reset() {
      boost::system::error_code ignored;
      near.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      near.close(ignored);
      far.close(ignored);
    }
    socket near;
    socket far;
  };

  boost::asio::awaitable<void> accept() {
    for (;;) {
      boost::system::error_code error;
      auto from = co_await acceptor_.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) continue;
      auto one = std::make_shared<link>(std::move(from), executor_);
      std::erase_if(links_, [](const auto& each) { return each.expired(); });
      links_.push_back(one);
      boost::asio::co_spawn(executor_, connect(one), boost::asio::detached);
    }
  }
  boost::asio::awaitable<void> connect(std::shared_ptr<link> one) {
    boost::system::error_code error;
    const auto place = fleet::tcp_endpoint(to_, error);
    co_await one->far.async_connect(place,
                                    boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) co_return one->reset();
    boost::asio::co_spawn(executor_, pump(one, one->near, one->far, false), boost::asio::detached);
    co_await pump(one, one->far, one->near, true);
  }
  boost::asio::awaitable<void> pump(std::shared_ptr<link> one, socket& from, socket& to,
                                    bool answers) {
    std::array<char, 16 * 1024> bytes{};
    boost::system::error_code error;
    while (true) {
      const auto got = co_await from.async_read_some(
          boost::asio::buffer(bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
      if (mood_ == proxy_mood::silent || (mood_ == proxy_mood::drops_answers && answers)) continue;
      if (mood_ == proxy_mood::delays) {
        boost::asio::steady_timer pause(executor_, std::chrono::milliseconds{150});
        co_await pause.async_wait(boost::asio::use_awaitable);
      }
      co_await boost::asio::async_write(
          to, boost::asio::buffer(bytes, got),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) break;
    }
    one->reset();
  }

  boost::asio::any_io_executor executor_;
  endpoint to_;
  boost::asio::ip::tcp::acceptor acceptor_;
  proxy_mood mood_ = proxy_mood::passes;
  std::vector<std::weak_ptr<link>> links_;
};

}  // namespace masticshunt::process_soak
