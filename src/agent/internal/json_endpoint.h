/// @file
/// A small HTTP server for short requests: announcements of the upstream, and operators.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

#include "masticshunt/base/failure.h"

namespace masticshunt::agent {

using short_request = boost::beast::http::request<boost::beast::http::string_body>;
using short_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Serves short requests on one port.
///
/// Life cycle: `listen`, then the handler is called for every request; `close` ends accepting.
/// Thread safety: none; everything runs on the context's thread.
class json_endpoint {
 public:
  using handler = std::function<short_response(const short_request&)>;

  json_endpoint(boost::asio::io_context& context, handler on_request);

  /// Opens the listener. Port 0 takes any free port. Returns false with `reason` on failure.
  bool listen(const std::string& address, std::uint16_t port, failure& reason);
  /// Returns the port listened on.
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Stops accepting.
  void close();

 private:
  boost::asio::awaitable<void> accept_loop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  handler on_request_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
};

/// Returns a response with `status`, `content_type` and `body`.
short_response make_response(const short_request& to, boost::beast::http::status status,
                             const std::string& content_type, std::string body);

/// Opens `acceptor` on `address` and `port`. Returns false with `reason` filled on failure.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address,
                   std::uint16_t port, failure& reason);

}  // namespace masticshunt::agent
