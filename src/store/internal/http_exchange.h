/// @file
/// One HTTP exchange with the store over connections that are kept open.
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
  bool may_have_arrived = false;  ///< The request was sent, at least in part.
  std::string error;              ///< What failed, if there is no response.
};

/// Sends requests over kept connections. All members are called on one strand.
class http_exchange {
 public:
  http_exchange(boost::asio::any_io_executor strand, std::vector<endpoint> addresses);

  /// Sends `request` and returns the answer, or why there is none by `deadline`. A request that
  /// failed on a kept connection before its deadline is not repeated here.
  /// `server_wait` is the time that the server may take on purpose, as in a watch.
  boost::asio::awaitable<exchange_result> run(http_request request, time_point deadline,
                                              duration server_wait);
  /// Closes all connections; running exchanges fail.
  void close();

 private:
  struct connection {
    explicit connection(boost::asio::any_io_executor executor) : stream(std::move(executor)) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_point last_used;
  };
  using connection_pointer = std::shared_ptr<connection>;

  /// An open connection and whether it was kept from an earlier exchange.
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
