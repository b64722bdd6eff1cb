/// @file
/// One HTTP exchange on a persistent connection, and the pool of such connections.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "masticshunt/bench/load_generator.h"

namespace masticshunt::bench {

using strand_executor = boost::asio::strand<boost::asio::io_context::executor_type>;
using strand_stream = boost::beast::basic_stream<boost::asio::ip::tcp, strand_executor>;
using strand_timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>,
                                      strand_executor>;
template <class Value>
using awaitable = boost::asio::awaitable<Value, strand_executor>;
using steady_time = std::chrono::steady_clock::time_point;

/// The request of one attempt.
struct outgoing_request {
  std::string method;
  std::string target;
  std::string rank;
  std::string caller;
  std::string request_id;
  std::string idempotency_key;
  std::uint32_t attempt = 1;
  std::uint64_t body_bytes = 0;
  std::uint64_t answer_bytes = 0;
  std::chrono::milliseconds time_remaining{0};
  bool direct = false;
};

/// The answer to one attempt.
struct incoming_answer {
  bool sent = false;      ///< At least a part of the request may have been sent.
  bool complete = false;  ///< The answer is complete according to its HTTP framing.
  bool timed_out = false;
  bool keep_alive = false;
  std::uint16_t status = 0;
  std::string outcome;      ///< Masticshunt-Outcome.
  std::string owner;        ///< Masticshunt-Owner.
  std::string answer_for;   ///< X-Answer-For.
  std::string answer_hash;  ///< X-Answer-Xxh64.
  std::uint64_t body_bytes = 0;
  std::uint64_t body_hash = 0;
  std::string text;  ///< The first bytes of the body.
};

/// Returns the xxHash64 of the body that `request` sends.
std::uint64_t hash_of_body(const outgoing_request& request);

/// A connection that is used for one request at a time.
struct pooled_connection {
  explicit pooled_connection(const strand_executor& executor) : stream(executor) {}
  strand_stream stream;
  boost::beast::flat_buffer buffer;
  bool fresh = true;  ///< No request has been sent on it yet.
};
using pooled_connection_ptr = std::unique_ptr<pooled_connection>;

/// Sends `request` and reads its answer; times out at `until`.
awaitable<incoming_answer> exchange(pooled_connection& connection, const outgoing_request& request,
                                    steady_time until);

/// A bounded pool of persistent connections to one endpoint.
///
/// Thread safety: none; used on one strand.
class connection_pool {
 public:
  connection_pool(const strand_executor& executor, boost::asio::ip::tcp::endpoint remote,
                  std::uint32_t limit);

  /// Returns an open connection, or null if none became available before `until`.
  awaitable<pooled_connection_ptr> acquire(steady_time until);
  /// Returns a connection to the pool; null frees the capacity of a closed connection.
  void release(pooled_connection_ptr connection);

 private:
  struct waiter;
  awaitable<pooled_connection_ptr> connect(steady_time until);

  strand_executor executor_;
  boost::asio::ip::tcp::endpoint remote_;
  std::uint32_t limit_;
  std::uint32_t open_ = 0;
  std::deque<pooled_connection_ptr> free_;
  std::deque<std::shared_ptr<waiter>> waiting_;
};

}  // namespace masticshunt::bench
