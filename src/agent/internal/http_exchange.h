/// @file
/// One exchange over HTTP with an upstream or another agent: the request goes out, the answer is
/// streamed to the caller.
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

/// The caller's side of a session: its connection and the request being read from it.
struct caller_stream {
  boost::asio::ip::tcp::socket& socket;
  boost::beast::flat_buffer& buffer;
  request_parser& parser;
  std::string prefix;             ///< The first bytes of the body.
  bool body_complete = false;     ///< True if `prefix` is the whole body.
  bool body_consumed = false;     ///< True once bytes after `prefix` were read.
  bool response_started = false;  ///< True once a byte of an answer was sent to the caller.
  std::string request_id;
};

/// What to send, and to whom.
struct exchange_plan {
  endpoint target;
  boost::beast::http::request<boost::beast::http::buffer_body> request;
  time_point deadline;        ///< For the first byte of the answer.
  bool from_upstream = true;  ///< False: the other side is an agent and states the outcome.
  bool idempotent = true;
  std::size_t answer_bytes_kept = 0;        ///< Keep the answer's body up to this size.
  std::function<bool()> may_complete_body;  ///< Asked before a streamed body's end is sent.
  std::function<void(std::function<void()>)> on_cancellable;  ///< Receives the way to cancel.
};

/// How an exchange ended.
enum class exchange_result {
  answered,            ///< The whole answer was passed on.
  refused,             ///< The other side proved that it did not run; nothing was passed on.
  not_connected,       ///< Nothing was sent.
  broken,              ///< The connection ended after sending; nothing was passed on.
  truncated,           ///< The connection ended within the answer; the caller's must end too.
  timed_out,           ///< The deadline passed after sending; nothing was passed on.
  caller_disconnected  ///< The caller's connection ended.
};

/// The end of an exchange with what the other side said.
struct exchange_end {
  exchange_result result = exchange_result::broken;
  requests::outcome what = requests::outcome::may_have_run;
  requests::refusal_reason reason = requests::refusal_reason::none;
  std::chrono::milliseconds retry_after{0};
  endpoint owner;
  unsigned status = 0;
  std::string content_type;
  std::string body;  ///< The answer's body if it was kept whole.
  bool body_kept = false;
  bool reused_connection = false;
};

/// Runs exchanges on one worker.
///
/// Thread safety: none; use it on the worker's thread.
class http_exchange {
 public:
  http_exchange(connection_pool& pool, boost::asio::any_io_executor executor)
      : pool_(pool), executor_(std::move(executor)) {}

  /// Carries out `plan` for `caller`.
  boost::asio::awaitable<exchange_end> run(exchange_plan& plan, caller_stream& caller);

 private:
  struct progress;

  boost::asio::awaitable<bool> send_request(exchange_plan& plan, caller_stream& caller,
                                            progress& now);
  boost::asio::awaitable<bool> read_response_header(progress& now, bool is_head);
  boost::asio::awaitable<void> forward_response(exchange_plan& plan, caller_stream& caller,
                                                progress& now);
  boost::asio::awaitable<void> read_refusal(progress& now);

  connection_pool& pool_;
  boost::asio::any_io_executor executor_;
};

}  // namespace masticshunt::agent
