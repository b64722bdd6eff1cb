/// @file
/// One HTTP exchange with an upstream or another agent: sends the request and streams the response
/// to the caller.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "agent/internal/connection_pool.h"
#include "masticshunt/decisions/requests/types.h"

namespace masticshunt::agent {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// The caller's connection of a session and the request that is being read from it.
struct caller_stream {
  boost::asio::ip::tcp::socket& socket;
  boost::beast::flat_buffer& buffer;
  request_parser& parser;
  std::string prefix;             ///< The start of the body, already read from the connection.
  bool body_complete = false;     ///< True if `prefix` is the complete body.
  bool body_consumed = false;     ///< True once bytes after `prefix` have been read.
  bool response_started = false;  ///< True once part of a response has been sent to the caller.
  std::string request_id;
};

/// The request of one exchange, its destination and its options.
struct exchange_plan {
  endpoint target;
  boost::beast::http::request<boost::beast::http::buffer_body> request;
  time_point deadline;        ///< For the first byte of the response.
  bool from_upstream = true;  ///< False: the peer is an agent, whose response states the outcome.
  bool idempotent = true;
  std::size_t response_bytes_kept = 0;  ///< Response bodies up to this size are kept.
  /// Called before the end of a streamed body is sent. If it returns false, the connection to the
  /// peer is closed instead.
  std::function<bool()> may_complete_body;
  std::function<void(std::function<void()>)> on_cancellable;  ///< Receives the cancel function.
};

/// How an exchange ended.
enum class exchange_result {
  answered,            ///< The complete response was forwarded.
  refused,             ///< The peer refused the request, see `outcome`; nothing was forwarded.
  not_connected,       ///< Nothing was sent.
  broken,              ///< The connection was lost after sending; nothing was forwarded.
  truncated,           ///< The connection was lost within the response; the caller's is closed too.
  timed_out,           ///< The deadline passed after sending; nothing was forwarded.
  caller_disconnected  ///< The caller's connection was closed or failed.
};

/// The result of an exchange and the fields of the response.
struct exchange_end {
  exchange_result result = exchange_result::broken;
  requests::outcome outcome = requests::outcome::may_have_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  std::chrono::milliseconds retry_after{0};
  endpoint owner;
  unsigned status = 0;
  std::string content_type;
  std::string body;  ///< The response body, if `body_kept`.
  bool body_kept = false;
  bool reused_connection = false;
};

/// Runs HTTP exchanges on one worker.
///
/// Thread safety: none; must be used on the worker's thread.
class http_exchange {
 public:
  http_exchange(connection_pool& pool, boost::asio::any_io_executor executor)
      : pool_(pool), executor_(std::move(executor)) {}

  /// Sends the request of `plan` and forwards the response to `caller`.
  boost::asio::awaitable<exchange_end> run(exchange_plan& plan, caller_stream& caller);

 private:
  struct exchange_state;

  boost::asio::awaitable<bool> send_request(exchange_plan& plan, caller_stream& caller,
                                            exchange_state& state);
  boost::asio::awaitable<bool> read_response_header(exchange_state& state, bool is_head);
  boost::asio::awaitable<void> forward_response(exchange_plan& plan, caller_stream& caller,
                                                exchange_state& state);
  boost::asio::awaitable<void> read_refusal(exchange_state& state);

  connection_pool& pool_;
  boost::asio::any_io_executor executor_;
};

}  // namespace masticshunt::agent
