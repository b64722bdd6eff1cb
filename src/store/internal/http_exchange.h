/// @file
/// HTTP exchanges with the store over keep-alive connections.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"
#include "store/internal/call_pacing.h"

namespace masticshunt::store {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// How an exchange ended.
struct exchange_result {
  std::optional<http_response> response;
  bool may_have_arrived = false;  ///< At least part of the request was sent.
  std::string error;              ///< Cause of the failure if there is no response.
};

/// Sends requests over a pool of keep-alive connections. All members are called on one strand.
class http_exchange {
 public:
  http_exchange(boost::asio::any_io_executor strand, std::vector<endpoint> addresses);

  /// Sends `request` and returns the response, or an error if there is none by `deadline`. A
  /// request that failed on a reused connection before its deadline is not retried here.
  /// `server_wait` is the time for which the server may delay the response, as for a watch.
  boost::asio::awaitable<exchange_result> run(http_request request, time_point deadline,
                                              duration server_wait);
  /// Closes all connections; exchanges in progress fail.
  void close();

 private:
  struct connection {
    explicit connection(boost::asio::any_io_executor executor) : stream(std::move(executor)) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_point last_used;
  };
  using connection_pointer = std::shared_ptr<connection>;

  /// An open connection and whether an earlier exchange used it, or the connect error.
  struct acquired_connection {
    connection_pointer connection;
    bool reused = false;
    std::string error;
  };

  boost::asio::awaitable<acquired_connection> acquire(time_point deadline);
  boost::asio::awaitable<exchange_result> send_and_receive(connection_pointer acquired,
                                                           http_request request);
  connection_pointer take_idle();
  void release(const connection_pointer& released);

  boost::asio::any_io_executor strand_;
  std::vector<endpoint> addresses_;
  std::size_t next_address_ = 0;
  std::list<connection_pointer> idle_;
  std::list<std::weak_ptr<connection>> running_;
  response_timeout_estimate response_timeout_;
  bool closed_ = false;
};

}  // namespace masticshunt::store
