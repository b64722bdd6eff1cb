/// @file
/// A server that sends the same response to every request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "masticshunt/base/identity.h"

namespace masticshunt::store::testing {

/// Sends the same bytes on every connection and closes it.
class scripted_server {
 public:
  explicit scripted_server(boost::asio::io_context& context)
      : acceptor_(context,
                  boost::asio::ip::tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  [[nodiscard]] masticshunt::endpoint address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  std::string answer;

 private:
  void accept() {
    acceptor_.async_accept([this](const auto& error, boost::asio::ip::tcp::socket socket) {
      if (error) return;
      auto held = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
      auto request = std::make_shared<std::string>();
      boost::asio::async_read_until(
          *held, boost::asio::dynamic_buffer(*request), "\r\n\r\n",
          [this, held, request](const auto&, std::size_t) {
            boost::system::error_code ignored;
            boost::asio::write(*held, boost::asio::buffer(answer), ignored);
            held->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
          });
      accept();
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace masticshunt::store::testing
