/// @file
/// An HTTP/1.1 client.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/body_pipe.h"
#include "fleet/internal/cancellation.h"
#include "fleet/internal/connection_pool.h"
#include "fleet/internal/http_server.h"
#include "masticshunt/base/identity.h"
#include "masticshunt/base/time.h"

namespace masticshunt::fleet {

/// A request to send. `head` ends after the last header line; `run_exchange` adds the framing.
struct exchange_request {
  std::string head;
  std::shared_ptr<body_pipe> body;  ///< Null if the request has no body.
  bool is_head = false;             ///< HEAD request: the answer has no body.
  /// An answer with a larger body is returned while the rest of it still arrives.
  std::size_t body_max = body_pipe::buffered_max;
  /// Counts the answer's body; without room for it the answer is returned while it arrives.
  requests::held_bytes answer_held;
  /// If `id_of` is set, answers with an id other than `id` belong to other requests; the first few
  /// of them are skipped.
  std::string id;
  std::string (*id_of)(const answer_head&) = nullptr;
  /// If set, tells whether an answer without an id can be the answer to this request.
  bool (*accepts_anonymous)(const answer_head&) = nullptr;
  /// Answers to exchanges with the same key can't be told apart, as those to the attempts of one
  /// request. A connection that brought one of them is not used for the next, unless it was a
  /// success after which there is none.
  std::string answer_key;
  /// When the last exchange with `answer_key` will have ended.
  time_point answer_key_until{};
  bool repeats_after_success = false;  ///< Exchanges with `answer_key` may follow a success.
  /// Returns the peer's keep-alive timeout, if the answer announces one.
  std::optional<duration> (*idle_limit_of)(const answer_head&) = nullptr;
  /// If set, the request expects 100 Continue; without it by this time, the body is not sent.
  std::optional<time_point> continue_deadline;
  /// Time limit for the complete answer, or for the first part of a large one.
  time_point deadline;
  /// If set, a request that could not be sent by this time is not sent at all.
  std::optional<time_point> send_before;
};

/// Limit of the bodies of documents, which are read as a whole: a page of the store's listing with
/// its last object, or what an agent knows, with room for the changes of a watch.
inline constexpr std::size_t document_bytes_max = 16 * 1024 * 1024;

/// The result of an exchange.
enum class exchange_result {
  answered,       ///< `head` and `body` hold the answer; the body may still be arriving.
  not_connected,  ///< No connection: nothing was sent.
  too_late,       ///< No complete request was sent: `send_before` had passed, or 100 Continue did
                  ///< not arrive in time.
  broken,         ///< The connection was lost after sending, before a complete answer.
  malformed,      ///< The received bytes are not a valid answer.
  timed_out,      ///< The deadline passed after sending.
  cancelled       ///< Cancellation was requested.
};

/// The outcome of an exchange.
struct exchange_outcome {
  exchange_result result = exchange_result::not_connected;
  answer_head head;
  unsigned status = 0;
  std::shared_ptr<body_pipe> body;
  bool reused = false;  ///< The connection had served an exchange before.
  std::string detail;   ///< Explanation for the log.
};

/// Sends a request and receives its answer. Small answers are buffered completely before it
/// returns, so that a truncated answer is an error and not a partial answer.
boost::asio::awaitable<exchange_outcome> run_exchange(connection_pool& pool, endpoint to,
                                                      exchange_request request,
                                                      cancellation& cancel);

}  // namespace masticshunt::fleet
