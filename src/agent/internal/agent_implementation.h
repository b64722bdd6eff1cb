/// @file
/// The implementation of `agent`: its components and their wiring.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <latch>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "agent/internal/json_endpoint.h"
#include "agent/internal/session.h"
#include "agent/internal/shared_tables.h"
#include "masticshunt/agent/agent.h"
#include "masticshunt/agent/control_channel.h"
#include "masticshunt/store/store_client.h"

namespace masticshunt::agent {

/// Owns the components of one agent. The first worker also runs the ownership core, its timers, the
/// store client and the upstream and operator endpoints; the other workers only serve sessions.
class agent::implementation {
 public:
  explicit implementation(agent_settings settings);
  ~implementation();
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  bool start(failure& reason);
  void request_stop();
  bool wait_stopped(std::chrono::milliseconds limit);
  void kill();
  void set_paused(bool paused);

  [[nodiscard]] const ownership::agent_description& description() const { return self_; }
  [[nodiscard]] endpoint upstream_port_endpoint() const;
  [[nodiscard]] endpoint operator_endpoint() const;
  [[nodiscard]] double routable_share(std::string_view service) const;
  [[nodiscard]] std::string dump() const;

 private:
  using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  boost::asio::io_context& core_context() { return workers_.front()->context; }
  bool listen_all(failure& reason);
  void accept_on(boost::asio::ip::tcp::acceptor& acceptor, caller::request_origin origin);
  void spawn_session(worker& target, boost::asio::ip::tcp::socket socket,
                     caller::request_origin origin);

  /// @name Events and actions of the ownership core; only on the first worker's thread.
  /// @{
  void post_event(ownership::event event);
  void handle(const ownership::event& event);
  void perform(const ownership::action& action);
  void execute(const ownership::send_message& action);
  void execute(const ownership::store_read& action);
  void execute(const ownership::store_write& action);
  void execute(const ownership::store_list& action);
  void execute(const ownership::wake_at& action);
  void execute(const ownership::record_in_force& action);
  void execute(const ownership::finish_range& action);
  void execute(const ownership::stopped& action);
  void execute(const ownership::log_event& action);
  void receive_control(const std::string& bytes);
  void schedule_tick();
  void expire_announcement();
  /// @}

  short_response on_upstream_request(const short_request& request);
  short_response on_operator_request(const short_request& request);
  [[nodiscard]] std::string status() const;
  [[nodiscard]] std::string metrics() const;
  void finish_stop();
  void end_threads();

  agent_settings settings_;
  session_settings session_settings_;
  ownership::agent_description self_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<work_guard> guards_;
  std::unique_ptr<shared_tables> tables_;
  std::unique_ptr<control_channel> control_;
  std::unique_ptr<store::store_client> store_;
  std::unique_ptr<json_endpoint> upstream_endpoint_;
  std::unique_ptr<json_endpoint> operator_endpoint_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> caller_acceptor_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> forward_acceptor_;
  std::unique_ptr<boost::asio::steady_timer> wake_timer_;
  std::unique_ptr<boost::asio::steady_timer> tick_timer_;
  std::unique_ptr<boost::asio::steady_timer> stop_timer_;
  std::vector<std::thread> threads_;
  std::size_t next_worker_ = 0;

  std::optional<ownership::upstream_description> announced_;
  time_point last_announcement_{};
  time_point last_tick_{};
  std::uint64_t messages_unreadable_ = 0;

  std::atomic<lifecycle_stage> stage_{lifecycle_stage::serving};
  std::atomic<bool> ended_{false};
  std::mutex stopped_lock_;
  std::condition_variable stopped_changed_;
  bool stopped_ = false;
  std::mutex pause_lock_;  ///< Guards changes of `paused_`; used with `pause_changed_`.
  std::atomic<bool> paused_{false};
  std::condition_variable pause_changed_;
};

}  // namespace masticshunt::agent
