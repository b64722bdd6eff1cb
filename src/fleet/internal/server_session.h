/// @file
/// A connection of an HTTP server.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "fleet/internal/http_server.h"
#include "masticshunt/decisions/requests/memory_budget.h"

namespace masticshunt::fleet {

/// A connection of a server: reads requests, and sends their answers in the order of the requests.
///
/// Life cycle: the server creates it, calls `start`, and `sweep` a few times a second; it removes
/// itself from the server when the connection has ended. Thread safety: none.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  server_session(http_server& server, boost::asio::ip::tcp::socket socket,
                 std::uint64_t connection);

  void start();
  /// Closes the connection if it exceeds a time limit.
  void sweep(time_point now);

  /// Returns true while the connection waits for the start of a request.
  [[nodiscard]] bool idle() const;
  /// Returns true while only a part of a head has arrived.
  [[nodiscard]] bool has_partial_head() const {
    return pending_.empty() && header_since_ && !has_unsent_output();
  }
  /// Returns true while the peer is still to take a part of the answers.
  [[nodiscard]] bool has_unsent_output() const { return writing_; }
  [[nodiscard]] time_point idle_since() const { return header_since_.value_or(idle_since_); }
  [[nodiscard]] time_point accepted_at() const { return accepted_at_; }
  [[nodiscard]] const std::string& sender() const { return sender_; }
  [[nodiscard]] std::uint64_t connection() const { return connection_; }

  /// Returns what is held for the connection if it waits for its peer to send or to read, and
  /// begins a new window if the last one is over.
  [[nodiscard]] std::optional<requests::connection_holding> holding(time_point now,
                                                                    duration window);
  /// Returns true while the sender waits for 100 Continue.
  [[nodiscard]] bool sender_waits() const;
  [[nodiscard]] std::uint64_t bytes_held() const;
  /// Closes the connection at once; its requests are cancelled.
  void drop();
  /// Closes the connection unless it has a request, a part of one, or unsent output.
  void close_if_idle();
  /// Closes the connection and uses the server no more.
  void detach();

 private:
  using request_parser = boost::beast::http::request_parser<pipe_body>;

  boost::asio::awaitable<void> read_requests();

  boost::asio::awaitable<bool> read_request();

  [[nodiscard]] std::size_t parts_bytes_max() const;

  /// Returns true if the end of the connection has arrived, and no bytes before it.
  bool peer_has_closed();

  boost::asio::awaitable<void> wait_for_space(body_pipe& body);

  /// Reads what has arrived, once something has. Returns false if the connection has ended.
  boost::asio::awaitable<bool> fill();

  std::shared_ptr<server_request> add_request(request_parser& parser);

  /// Returns false if the budget has no room for the rest of a large body.
  bool reserve_body(body_pipe& body);

  /// Has a request answered for whose body there is no room, unless its body is being passed on.
  void refuse_body(const std::shared_ptr<server_request>& request);

  void send_continue();

  /// Answers bytes that are no request, or are too many, if nothing of them was passed on. Returns
  /// false.
  bool refuse(const boost::system::error_code& error,
              const std::shared_ptr<server_request>& request);

  /// The state of an answer of which a part was appended to the output.
  enum class body_state { complete, waiting, more, failed };

  void flush();

  /// Appends answers to the output until that is full.
  body_state append_answers();

  /// Appends the head of the answer to the output. Returns false while the body is not ready.
  bool start_answer(server_request& front);

  /// Appends a part of the body to the output.
  body_state pass_body(server_request& front);

  void finish_front();

  void write_out();

  void write_unsent();

  void shut_down_send();

  void abandon_pending();

  void close();

  http_server* server_;
  boost::asio::ip::tcp::socket socket_;
  std::uint64_t connection_;
  boost::asio::steady_timer space_timer_;
  boost::beast::flat_buffer buffer_;
  std::string sender_;
  std::deque<std::shared_ptr<server_request>> pending_;
  std::string out_;
  std::string unsent_;  ///< Output that is being sent.
  requests::held_bytes output_held_;
  bool writing_ = false;
  std::uint64_t progress_ = 0;  ///< Bytes that the peer sent or read since `progress_since_`.
  time_point progress_since_;
  time_point accepted_at_;
  bool read_closed_ = false;   ///< No further requests are read.
  bool received_end_ = false;  ///< The peer closed its side, or the connection was lost.
  bool body_in_progress_ = false;
  bool waits_for_space_ = false;  ///< Reads no more of a body until a part of it was passed on.
  bool shut_after_write_ = false;
  std::optional<time_point> shut_down_at_;
  std::size_t read_after_shutdown_ = 0;
  std::optional<time_point> header_since_;
  time_point idle_since_;
};

}  // namespace masticshunt::fleet
