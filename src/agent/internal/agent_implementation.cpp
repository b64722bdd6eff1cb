#include "agent/internal/agent_implementation.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "masticshunt/support/clock.h"

namespace masticshunt::agent {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds tick_interval{5};
constexpr std::chrono::milliseconds stop_poll_interval{10};
constexpr std::chrono::milliseconds accept_retry_delay{10};

std::uint64_t new_incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

std::string to_endpoint(const std::string& address, std::uint16_t port) {
  return address + ":" + std::to_string(port);
}

connection_pool_settings pool_settings_of(const agent_settings& settings) {
  connection_pool_settings pool;
  pool.connect_timeout = settings.limits.connect_timeout;
  pool.tcp_user_timeout = settings.limits.tcp_user_timeout;
  pool.idle_age_max = settings.limits.pool_idle_age;
  return pool;
}

}  // namespace

agent::implementation::implementation(agent_settings settings) : settings_(std::move(settings)) {
  session_settings_.header_bytes_max = static_cast<std::uint32_t>(settings_.limits.header_bytes);
  session_settings_.body_held_max = settings_.limits.body_held_bytes;
  session_settings_.idle_age_max = settings_.limits.caller_idle_age;
  self_.id = {settings_.name, new_incarnation()};
  self_.region = settings_.region;
  self_.failure_domain = settings_.failure_domain;
  self_.schema_version_max = configuration::schema_version_max;
  const auto seed = hash_of_key(settings_.name) ^ self_.id.incarnation;
  for (unsigned index = 0; index < std::max(settings_.workers, 1U); ++index) {
    workers_.push_back(std::make_unique<worker>(pool_settings_of(settings_), seed + index));
    guards_.push_back(asio::make_work_guard(workers_.back()->context));
  }
}

agent::implementation::~implementation() {
  kill();
}

bool agent::implementation::start(failure& reason) {
  control_ = std::make_unique<control_channel>([this](std::string bytes) {
    asio::post(core_context(), [this, bytes = std::move(bytes)] { receive_control(bytes); });
  });
  if (!listen_all(reason)) return false;

  ownership::core_settings core;
  core.self = self_;
  core.timing = settings_.lease;
  core.seed = workers_.front()->random();
  tables_ = std::make_unique<shared_tables>(
      std::move(core), settings_.retry,
      [this](ownership::event event) { post_event(std::move(event)); });
  store_ = std::make_unique<store::store_client>(core_context().get_executor(), settings_.store,
                                                 workers_.front()->random());
  wake_timer_ = std::make_unique<asio::steady_timer>(core_context());
  tick_timer_ = std::make_unique<asio::steady_timer>(core_context());
  stop_timer_ = std::make_unique<asio::steady_timer>(core_context());

  post_event(ownership::started{});
  asio::post(core_context(), [this] {
    last_tick_ = boot_now();
    schedule_tick();
    accept_on(*caller_acceptor_, caller::request_origin::from_caller);
    accept_on(*forward_acceptor_, caller::request_origin::from_agent);
  });
  for (auto& each_worker : workers_) {
    threads_.emplace_back([this, &context = each_worker->context] {
      while (!ended_) {
        context.run_for(std::chrono::milliseconds{100});
        if (context.stopped() && !ended_) return;
        std::unique_lock guard(pause_lock_);
        pause_changed_.wait(guard, [this] { return !paused_ || ended_; });
      }
    });
  }
  return true;
}

bool agent::implementation::listen_all(failure& reason) {
  const auto& address = settings_.address;
  caller_acceptor_ = std::make_unique<tcp::acceptor>(core_context());
  forward_acceptor_ = std::make_unique<tcp::acceptor>(core_context());
  upstream_endpoint_ = std::make_unique<json_endpoint>(
      core_context(),
      [this](const short_request& request) { return on_upstream_request(request); });
  operator_endpoint_ = std::make_unique<json_endpoint>(
      core_context(),
      [this](const short_request& request) { return on_operator_request(request); });
  const bool listening =
      open_acceptor(*caller_acceptor_, address, settings_.caller_port, reason) &&
      open_acceptor(*forward_acceptor_, address, settings_.forward_port, reason) &&
      control_->listen(address, settings_.control_port, reason) &&
      upstream_endpoint_->listen(address, settings_.upstream_port, reason) &&
      operator_endpoint_->listen(address, settings_.operator_port, reason);
  if (!listening) return false;
  self_.caller = to_endpoint(address, caller_acceptor_->local_endpoint().port());
  self_.forward = to_endpoint(address, forward_acceptor_->local_endpoint().port());
  self_.control = to_endpoint(address, control_->port());
  return true;
}

endpoint agent::implementation::upstream_port_endpoint() const {
  return to_endpoint(settings_.address, upstream_endpoint_->port());
}

endpoint agent::implementation::operator_endpoint() const {
  return to_endpoint(settings_.address, operator_endpoint_->port());
}

void agent::implementation::accept_on(tcp::acceptor& acceptor, caller::request_origin origin) {
  worker& target = *workers_[next_worker_++ % workers_.size()];
  acceptor.async_accept(
      target.context,
      asio::bind_executor(core_context(), [this, &acceptor, &target, origin](
                                              boost::system::error_code error, tcp::socket socket) {
        if (!acceptor.is_open()) return;
        if (!error) {
          spawn_session(target, std::move(socket), origin);
          accept_on(acceptor, origin);
          return;
        }
        // Most likely the process is out of descriptors: wait before accepting again.
        auto retry_timer = std::make_shared<asio::steady_timer>(core_context(), accept_retry_delay);
        retry_timer->async_wait(
            [this, &acceptor, origin, retry_timer](boost::system::error_code waited) {
              if (!waited && acceptor.is_open()) accept_on(acceptor, origin);
            });
      }));
}

void agent::implementation::spawn_session(worker& target, tcp::socket socket,
                                          caller::request_origin origin) {
  asio::post(target.context, [this, &target, origin, socket = std::move(socket)]() mutable {
    auto started =
        std::make_shared<session>(target, *tables_, session_settings_, std::move(socket), origin);
    asio::co_spawn(target.context, started->run(stage_), asio::detached);
  });
}

void agent::implementation::schedule_tick() {
  tick_timer_->expires_after(tick_interval);
  tick_timer_->async_wait([this](boost::system::error_code error) {
    if (error || ended_) return;
    tables_->tick(boot_now());
    expire_announcement();
    schedule_tick();
  });
}

void agent::implementation::request_stop() {
  auto expected = lifecycle_stage::serving;
  if (!stage_.compare_exchange_strong(expected, lifecycle_stage::draining)) return;
  post_event(ownership::stop_requested{});
  asio::post(core_context(), [this] {
    stop_timer_->expires_after(settings_.drain_timeout);
    stop_timer_->async_wait([this](boost::system::error_code error) {
      if (!error) finish_stop();
    });
  });
}

void agent::implementation::finish_stop() {
  stage_ = lifecycle_stage::ended;
  boost::system::error_code ignored;
  caller_acceptor_->close(ignored);
  forward_acceptor_->close(ignored);
  const auto busy = std::ranges::any_of(
      workers_, [](const auto& each) { return each->busy_sessions.load() > 0; });
  if (busy) {
    stop_timer_->expires_after(stop_poll_interval);
    stop_timer_->async_wait([this](boost::system::error_code error) {
      if (!error) finish_stop();
    });
    return;
  }
  const std::scoped_lock guard(stopped_lock_);
  stopped_ = true;
  stopped_changed_.notify_all();
}

bool agent::implementation::wait_stopped(std::chrono::milliseconds limit) {
  {
    std::unique_lock guard(stopped_lock_);
    if (!stopped_changed_.wait_for(guard, limit, [this] { return stopped_; })) return false;
  }
  kill();
  return true;
}

void agent::implementation::kill() {
  if (ended_.exchange(true)) return;
  {
    const std::scoped_lock guard(pause_lock_);
    pause_changed_.notify_all();
  }
  if (control_) control_->stop();
  end_threads();
}

void agent::implementation::end_threads() {
  for (auto& each : workers_) each->context.stop();
  for (auto& thread : threads_) thread.join();
  threads_.clear();
  // Objects bound to a context are destroyed before it. Destroying the contexts destroys the
  // suspended sessions and so closes their sockets, as a crash of the process would.
  if (store_) store_->stop();
  store_.reset();
  upstream_endpoint_.reset();
  operator_endpoint_.reset();
  caller_acceptor_.reset();
  forward_acceptor_.reset();
  wake_timer_.reset();
  tick_timer_.reset();
  stop_timer_.reset();
  guards_.clear();
  tables_.reset();
  workers_.clear();
}

void agent::implementation::set_paused(bool paused) {
  const std::scoped_lock guard(pause_lock_);
  paused_ = paused;
  pause_changed_.notify_all();
}

}  // namespace masticshunt::agent
