// The only file that includes websocketpp, which requires C++17: this file uses nothing newer.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "masticshunt/agent/control_channel.h"

namespace masticshunt::agent {

namespace {

using server = websocketpp::server<websocketpp::config::asio>;
using client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;

constexpr std::size_t message_bytes_max = 1 << 20;
constexpr std::size_t messages_queued_max = 256;
constexpr std::size_t buffered_bytes_max = 4 << 20;
constexpr long ping_interval_ms = 1'000;
constexpr long pong_timeout_ms = 1'500;
constexpr long handshake_timeout_ms = 1'000;
constexpr std::chrono::seconds idle_age_max{30};
constexpr unsigned tcp_user_timeout_ms = 1'500;

/// An outgoing connection and the messages queued until its handshake completes.
struct outgoing_connection {
  client::connection_ptr connection;
  bool open = false;
  std::chrono::steady_clock::time_point last_used = std::chrono::steady_clock::now();
  std::deque<std::string> queued;
};

template <class Socket>
void set_socket_options(Socket& socket) {
  websocketpp::lib::asio::error_code ignored;
  socket.set_option(websocketpp::lib::asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = tcp_user_timeout_ms;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

template <class Endpoint>
void configure(Endpoint& endpoint) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.set_max_message_size(message_bytes_max);
  endpoint.set_open_handshake_timeout(handshake_timeout_ms);
  endpoint.set_close_handshake_timeout(handshake_timeout_ms);
  endpoint.set_pong_timeout(pong_timeout_ms);
}

}  // namespace

class control_channel::implementation {
 public:
  explicit implementation(receive_handler handler)
      : handler_(std::move(handler)), work_(websocketpp::lib::asio::make_work_guard(context_)) {
    configure(server_);
    configure(client_);
    server_.init_asio(&context_);
    client_.init_asio(&context_);
    server_.set_reuse_addr(true);
    server_.set_message_handler(
        [this](connection_hdl, server::message_ptr message) { receive(message->get_payload()); });
    server_.set_open_handler([this](connection_hdl handle) { on_accepted(handle); });
    server_.set_close_handler([this](connection_hdl handle) { on_accepted_closed(handle); });
    thread_ = std::thread([this] { run(); });
  }

  ~implementation() { stop(); }

  bool listen(const std::string& address, std::uint16_t port, failure& reason) {
    websocketpp::lib::asio::error_code error;
    const auto ip = websocketpp::lib::asio::ip::make_address(address, error);
    if (!error) {
      websocketpp::lib::error_code listen_error;
      server_.listen(websocketpp::lib::asio::ip::tcp::endpoint(ip, port), listen_error);
      if (!listen_error) server_.start_accept(listen_error);
      if (!listen_error) {
        websocketpp::lib::asio::error_code endpoint_error;
        port_ = server_.get_local_endpoint(endpoint_error).port();
        return true;
      }
    }
    reason = {failure_kind::unavailable,
              "cannot listen for control messages on " + address + ":" + std::to_string(port),
              "check that the address belongs to this VM and that the port is free"};
    return false;
  }

  std::uint16_t port() const { return port_; }

  void send(const std::string& to, std::string bytes) {
    websocketpp::lib::asio::post(context_, [this, to, bytes = std::move(bytes)]() mutable {
      send_now(to, std::move(bytes));
    });
  }

  void stop() {
    if (stopped_.exchange(true)) return;
    websocketpp::lib::asio::post(context_, [this] { close_all(); });
    work_.reset();
    // Does not wait for closing handshakes: an unresponsive peer must not delay the shutdown.
    websocketpp::lib::asio::post(context_, [this] { context_.stop(); });
    if (thread_.joinable()) thread_.join();
  }

  control_channel_counts counts() const {
    control_channel_counts result;
    result.messages_sent = messages_sent_;
    result.messages_received = messages_received_;
    result.bytes_sent = bytes_sent_;
    result.bytes_received = bytes_received_;
    result.messages_dropped = messages_dropped_;
    result.connections = connections_;
    return result;
  }

 private:
  void run() {
    for (;;) {
      try {
        context_.run();
        return;
      } catch (const std::exception&) {
        // A library handler failed: its connection is lost, the other connections continue.
        if (stopped_) return;
      }
    }
  }

  void receive(const std::string& bytes) {
    ++messages_received_;
    bytes_received_ += bytes.size();
    if (!stopped_) handler_(bytes);
  }

  void on_accepted(connection_hdl handle) {
    websocketpp::lib::error_code error;
    auto connection = server_.get_con_from_hdl(handle, error);
    if (error) return;
    set_socket_options(connection->get_raw_socket());
    accepted_[handle] = true;
    ++connections_;
  }

  void on_accepted_closed(connection_hdl handle) {
    if (accepted_.erase(handle) > 0) --connections_;
  }

  void send_now(const std::string& to, std::string bytes) {
    if (stopped_) return;
    auto found = outgoing_.find(to);
    if (found == outgoing_.end()) {
      if (!connect(to)) {
        ++messages_dropped_;
        return;
      }
      found = outgoing_.find(to);
    }
    outgoing_connection& peer = found->second;
    if (!peer.open) {
      if (peer.queued.size() >= messages_queued_max) {
        ++messages_dropped_;
      } else {
        peer.queued.push_back(std::move(bytes));
      }
      return;
    }
    transmit(peer, bytes);
  }

  void transmit(outgoing_connection& peer, const std::string& bytes) {
    if (peer.connection->get_buffered_amount() > buffered_bytes_max) {
      ++messages_dropped_;
      return;
    }
    if (peer.connection->send(bytes, websocketpp::frame::opcode::binary)) {
      ++messages_dropped_;
      return;
    }
    peer.last_used = std::chrono::steady_clock::now();
    ++messages_sent_;
    bytes_sent_ += bytes.size();
  }

  bool connect(const std::string& to) {
    websocketpp::lib::error_code error;
    auto connection = client_.get_connection("ws://" + to + "/", error);
    if (error) return false;
    connection->set_open_handler([this, to](connection_hdl) { on_open(to); });
    connection->set_fail_handler([this, to](connection_hdl) { on_closed(to); });
    connection->set_close_handler([this, to](connection_hdl) { on_closed(to); });
    connection->set_pong_timeout_handler(
        [this, to](connection_hdl, std::string) { on_pong_timeout(to); });
    connection->set_message_handler(
        [this](connection_hdl, client::message_ptr message) { receive(message->get_payload()); });
    outgoing_[to].connection = connection;
    client_.connect(connection);
    return true;
  }

  void on_open(const std::string& to) {
    auto found = outgoing_.find(to);
    if (found == outgoing_.end()) return;
    outgoing_connection& peer = found->second;
    set_socket_options(peer.connection->get_raw_socket());
    peer.open = true;
    ++connections_;
    for (const auto& bytes : peer.queued) transmit(peer, bytes);
    peer.queued.clear();
    schedule_ping(to, peer.connection);
  }

  void schedule_ping(const std::string& to, const client::connection_ptr& connection) {
    connection->set_timer(ping_interval_ms, [this, to, connection](const auto& error) {
      auto found = outgoing_.find(to);
      if (error || found == outgoing_.end() || found->second.connection != connection) return;
      websocketpp::lib::error_code ping_error;
      if (std::chrono::steady_clock::now() - found->second.last_used > idle_age_max) {
        connection->close(websocketpp::close::status::normal, "", ping_error);
        return;
      }
      connection->ping("", ping_error);
      if (!ping_error) schedule_ping(to, connection);
    });
  }

  void on_pong_timeout(const std::string& to) {
    auto found = outgoing_.find(to);
    if (found == outgoing_.end()) return;
    auto connection = found->second.connection;
    on_closed(to);
    websocketpp::lib::error_code ignored;
    connection->terminate(ignored);
  }

  void on_closed(const std::string& to) {
    auto found = outgoing_.find(to);
    if (found == outgoing_.end()) return;
    if (found->second.open) --connections_;
    messages_dropped_ += found->second.queued.size();
    outgoing_.erase(found);
  }

  void close_all() {
    websocketpp::lib::error_code ignored;
    server_.stop_listening(ignored);
    for (auto& [to, peer] : outgoing_) {
      if (peer.open) peer.connection->close(websocketpp::close::status::going_away, "", ignored);
    }
    for (auto& [handle, open] : accepted_) {
      server_.close(handle, websocketpp::close::status::going_away, "", ignored);
    }
  }

  receive_handler handler_;
  websocketpp::lib::asio::io_context context_;
  websocketpp::lib::asio::executor_work_guard<websocketpp::lib::asio::io_context::executor_type>
      work_;
  server server_;
  client client_;
  std::map<std::string, outgoing_connection> outgoing_;
  std::map<connection_hdl, bool, std::owner_less<connection_hdl>> accepted_;
  std::atomic<std::uint16_t> port_{0};
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> messages_sent_{0};
  std::atomic<std::uint64_t> messages_received_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> messages_dropped_{0};
  std::atomic<std::uint64_t> connections_{0};
  std::thread thread_;
};

control_channel::control_channel(receive_handler handler)
    : implementation_(std::make_unique<implementation>(std::move(handler))) {}
control_channel::~control_channel() = default;

bool control_channel::listen(const std::string& address, std::uint16_t port, failure& reason) {
  return implementation_->listen(address, port, reason);
}
std::uint16_t control_channel::port() const {
  return implementation_->port();
}
void control_channel::send(const std::string& to, std::string bytes) {
  implementation_->send(to, std::move(bytes));
}
void control_channel::stop() {
  implementation_->stop();
}
control_channel_counts control_channel::counts() const {
  return implementation_->counts();
}

}  // namespace masticshunt::agent
