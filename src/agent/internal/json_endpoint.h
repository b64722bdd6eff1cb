/// @file
/// An HTTP server for short requests: announcements of the upstream and operator requests.
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
/// Life cycle: after `listen`, the handler is called for each request. `close` stops accepting
/// connections; open ones are still served.
/// Thread safety: none; all members and the handler run on the context's thread.
class json_endpoint {
 public:
  using handler = std::function<short_response(const short_request&)>;

  json_endpoint(boost::asio::io_context& context, handler on_request);

  /// Opens the listener. Port 0 selects any free port. Returns false and sets `reason` on failure.
  bool listen(const std::string& address, std::uint16_t port, failure& reason);
  /// Returns the listening port.
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Stops accepting connections.
  void close();

 private:
  boost::asio::awaitable<void> accept_loop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& context_;
  handler on_request_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
};

/// Returns a response to `to` with `status`, `content_type` and `body`.
short_response make_response(const short_request& to, boost::beast::http::status status,
                             const std::string& content_type, std::string body);

/// Opens `acceptor` on `address` and `port`. Returns false and sets `reason` on failure.
bool open_acceptor(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address,
                   std::uint16_t port, failure& reason);

}  // namespace masticshunt::agent
