/// @file
/// Serves one connection of a caller or of a forwarding agent.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>

#include "agent/internal/connection_pool.h"
#include "agent/internal/http_exchange.h"
#include "agent/internal/shared_tables.h"
#include "masticshunt/caller/refusal.h"
#include "masticshunt/caller/request_rules.h"

namespace masticshunt::agent {

/// Limits of sessions.
struct session_settings {
  std::uint32_t header_bytes_max = 16 * 1024;
  std::size_t body_held_max = 64 * 1024;  ///< Bodies up to this size are buffered for retries.
  std::size_t response_bytes_kept = 4 * 1024;
  duration idle_age_max = std::chrono::seconds{60};
  duration header_timeout = std::chrono::seconds{10};
  std::size_t held_requests_max = 1'024;  ///< Per worker: requests that wait for a new owner.
  duration owner_wait_max = std::chrono::seconds{5};  ///< The longest wait for a new owner.
};

/// The stages of an agent's shutdown.
enum class lifecycle_stage {
  serving,
  /// Stop requested: requests are still served, but every response closes its connection.
  draining,
  /// Ranges handed over, or drain timeout expired: connections close after their current request.
  ended
};

/// One worker: the event loop of a thread and the data used only by that thread.
struct worker {
  worker(connection_pool_settings pool_settings, std::uint64_t seed)
      : context(1), pool(context, pool_settings), random(seed) {}

  boost::asio::io_context context;
  connection_pool pool;
  std::mt19937_64 random;
  std::atomic<std::size_t> sessions{0};
  std::size_t held_requests = 0;              ///< Requests that wait for a new owner of their key.
  std::atomic<std::size_t> busy_sessions{0};  ///< Sessions with a request in flight.
};

/// Serves the requests of one connection in sequence.
///
/// Life cycle: `run` is spawned on the worker and keeps the session alive until it returns.
/// Thread safety: none; all members run on the worker's thread.
class session : public std::enable_shared_from_this<session> {
 public:
  session(worker& host, shared_tables& tables, const session_settings& settings,
          boost::asio::ip::tcp::socket socket, caller::request_origin origin);

  /// Serves requests until the connection ends. Once `stage` is no longer `serving`, it returns
  /// after the current request.
  boost::asio::awaitable<void> run(const std::atomic<lifecycle_stage>& stage);

 private:
  struct current_request;
  /// The result of one attempt: the refusal for the caller, unless a response was forwarded.
  struct attempt_end {
    bool response_forwarded = false;  ///< The response was sent to the caller.
    bool connection_lost = false;
    bool retry_forbidden = false;  ///< The request must not be attempted again.
    caller::refusal refusal;
  };

  boost::asio::awaitable<bool> serve(request_parser& parser);
  boost::asio::awaitable<bool> read_prefix(caller_stream& stream);
  boost::asio::awaitable<bool> run_attempts(current_request& current, caller_stream& stream);
  boost::asio::awaitable<bool> wait_before_retry(current_request& current, const attempt_end& end);
  boost::asio::awaitable<bool> wait_for_owner(current_request& current);
  boost::asio::awaitable<attempt_end> attempt(current_request& current, caller_stream& stream);
  boost::asio::awaitable<attempt_end> attempt_locally(current_request& current,
                                                      caller_stream& stream);
  boost::asio::awaitable<attempt_end> run_admitted(current_request& current, caller_stream& stream,
                                                   const local_permit& permit);
  boost::asio::awaitable<attempt_end> attempt_at_owner(current_request& current,
                                                       caller_stream& stream,
                                                       const ownership::agent_description& owner);
  boost::asio::awaitable<attempt_end> replay(current_request& current, caller_stream& stream,
                                             requests::already_answered recorded);
  boost::asio::awaitable<bool> refuse(const caller::refusal& details, const std::string& request_id,
                                      bool keep_alive);
  std::optional<caller::refusal> check(current_request& current, request_parser& parser);
  exchange_plan plan_for_upstream(const current_request& current, const caller_stream& stream,
                                  const local_permit& permit) const;
  exchange_plan plan_for_agent(const current_request& current, const caller_stream& stream,
                               const ownership::agent_description& owner) const;
  attempt_end classify(const current_request& current, const exchange_end& end);
  /// Adjusts the refusal of the last attempt to the outcome of the request: an earlier attempt may
  /// have run.
  void finalize_refusal(const current_request& current, caller::refusal& details) const;
  endpoint owner_hint(const current_request& current) const;
  std::string new_request_id();
  void count(requests::outcome result);

  worker& worker_;
  shared_tables& tables_;
  const session_settings& settings_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  caller::request_origin origin_;
  std::string peer_address_;
};

}  // namespace masticshunt::agent
