/// @file
/// The HTTP server of a stand-in: listener, connections, slots and announcements.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>

#include "masticshunt/upstream/stand_in.h"
#include "upstream/internal/stand_in_state.h"

namespace masticshunt::upstream {

using strand_executor = boost::asio::strand<boost::asio::io_context::executor_type>;
using strand_socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, strand_executor>;
using strand_timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>,
                                      strand_executor>;
using stand_in_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using stand_in_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// One accepted connection.
struct stand_in_connection {
  explicit stand_in_connection(strand_socket accepted)
      : socket(std::move(accepted)), hang_timer(socket.get_executor()) {}

  strand_socket socket;
  strand_timer hang_timer;  ///< Awaited while the connection hangs.
  boost::beast::flat_buffer buffer;
  std::uint64_t number = 0;
  std::uint64_t generation = 0;  ///< The server generation that accepted it.
  std::uint64_t watch = 0;       ///< Number of the current `watch_peer` call; older ones are void.
  bool peer_closed = false;
  bool delayed = false;  ///< A fault delayed the current request.
};
using connection_ptr = std::shared_ptr<stand_in_connection>;

/// The I/O part of a stand-in. All coroutines run on one strand.
class stand_in::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(boost::asio::io_context& context, const stand_in_settings& settings);

  bool start(failure& reason);
  void stop();
  void announce_to(const endpoint& agent);
  void set_faults(const stand_in_faults& faults);
  void hang_open_connections();
  void crash(std::optional<std::chrono::milliseconds> restart_after = {});
  void restart();

  stand_in_state state;
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] endpoint address() const;
  [[nodiscard]] stand_in_counts counts() const;

 private:
  template <class Value>
  using awaitable = boost::asio::awaitable<Value, strand_executor>;
  using steady_time = std::chrono::steady_clock::time_point;
  class slot;

  bool listen(failure& reason);
  void end_generation();

  awaitable<void> accept_loop(std::uint64_t generation);
  awaitable<void> announce_loop(std::uint64_t generation);
  awaitable<void> announce_once(endpoint agent);
  awaitable<void> restart_later(std::chrono::milliseconds delay);
  awaitable<void> serve(connection_ptr connection);
  awaitable<bool> serve_one(connection_ptr connection);
  awaitable<bool> control(connection_ptr connection, stand_in_parser& parser);
  awaitable<bool> run(connection_ptr connection, stand_in_parser& parser);
  awaitable<bool> run_in_slot(connection_ptr connection, stand_in_parser& parser,
                              stand_in_request& request, std::optional<steady_time> deadline);
  awaitable<bool> finish(connection_ptr connection, stand_in_parser& parser,
                         const stand_in_request& request, std::uint64_t run_number,
                         run_outcome outcome);
  awaitable<bool> take_slot(connection_ptr connection, std::optional<steady_time> deadline);
  awaitable<bool> read_body(connection_ptr connection, stand_in_parser& parser,
                            stand_in_request& request);
  awaitable<run_outcome> simulate_work(connection_ptr connection, std::chrono::microseconds time,
                                       std::optional<steady_time> deadline);
  awaitable<void> wait_out_faults(connection_ptr connection);
  awaitable<bool> refuse(connection_ptr connection, stand_in_parser& parser,
                         boost::beast::http::status status, std::string_view outcome,
                         std::string_view why);
  awaitable<bool> answer(connection_ptr connection, stand_in_parser& parser,
                         stand_in_answer& response);
  awaitable<bool> stream_answer(connection_ptr connection, stand_in_parser& parser,
                                const stand_in_request& request);
  awaitable<void> close_gracefully(connection_ptr connection);

  void watch_peer(const connection_ptr& connection, strand_timer& timer);
  void unwatch_peer(const connection_ptr& connection);
  [[nodiscard]] bool is_current(const connection_ptr& connection) const;
  [[nodiscard]] bool is_hung(const connection_ptr& connection) const;
  void release_slot(std::uint64_t generation);

  const stand_in_settings settings_;
  strand_executor strand_;
  boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, strand_executor> acceptor_;
  strand_timer unfreeze_timer_;
  strand_timer announce_timer_;
  std::atomic<std::uint16_t> port_{0};
  std::atomic<bool> frozen_{false};
  std::atomic<std::uint32_t> busy_{0};
  std::atomic<std::uint32_t> queued_{0};
  std::atomic<std::uint32_t> open_{0};
  mutable std::mutex agent_mutex_;
  endpoint agent_;
  // Accessed on the strand only. The generation rises with every crash and stop; coroutines of an
  // older one end.
  std::uint64_t generation_ = 0;
  bool stopped_ = false;
  std::uint64_t connection_count_ = 0;
  std::uint64_t hung_up_to_ = 0;  ///< Connections up to this number hang.
  std::set<connection_ptr> connections_;
  /// A request that waits for a slot; `granted` is set when it receives one.
  struct waiter {
    strand_timer timer;
    bool granted = false;
  };
  std::deque<std::shared_ptr<waiter>> waiting_;
};

/// Returns the request described by the header in `parser`.
stand_in_request parse_request_header(const stand_in_parser& parser);

/// Fills `block` with the bytes that streamed responses to `request_id` repeat.
void fill_answer_block(std::string_view request_id, std::vector<char>& block);

/// Returns `value` as 16 lower-case hexadecimal digits.
std::string to_hexadecimal(std::uint64_t value);

inline constexpr std::size_t stream_block_bytes = 65'536;

}  // namespace masticshunt::upstream
