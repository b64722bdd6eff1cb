#include "masticshunt/upstream/stand_in.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <csignal>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "masticshunt/support/clock.h"
#include "upstream/internal/stand_in_server.h"

namespace masticshunt::upstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable_t<strand_executor>{});
constexpr std::chrono::milliseconds announce_timeout{500};
constexpr std::uint32_t spare_connections = 8;

std::optional<tcp::endpoint> parse_endpoint(const endpoint& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return {};
  const int port = std::atoi(text.c_str() + colon + 1);
  return tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace

stand_in::implementation::implementation(asio::io_context& context,
                                         const stand_in_settings& settings)
    : state(settings),
      settings_(settings),
      strand_(asio::make_strand(context)),
      acceptor_(strand_),
      unfreeze_timer_(strand_, strand_timer::time_point::max()),
      announce_timer_(strand_),
      port_(settings.port),
      agent_(settings.agent) {}

bool stand_in::implementation::listen(failure& reason) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(settings_.listen_ip, error);
  const tcp::endpoint local(ip, port_);
  if (!error) acceptor_.open(local.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(local, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    reason = {failure_kind::unavailable, "cannot listen on " + address() + ": " + error.message(),
              "choose a free port of this machine"};
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return false;
  }
  port_ = acceptor_.local_endpoint().port();
  return true;
}

bool stand_in::implementation::start(failure& reason) {
  if (!listen(reason)) return false;
  asio::co_spawn(strand_, accept_loop(generation_), asio::detached);
  asio::co_spawn(strand_, announce_loop(generation_), asio::detached);
  return true;
}

void stand_in::implementation::end_generation() {
  ++generation_;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  announce_timer_.cancel();
  for (const auto& connection : connections_) {
    connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    connection->socket.close(ignored);
    connection->hang_timer.cancel();
  }
  connections_.clear();
  for (const auto& waiting : waiting_) waiting->timer.cancel();
  waiting_.clear();
  unfreeze_timer_.cancel();
  state.end_incarnation(boot_now());
  busy_ = 0;
  queued_ = 0;
  open_ = 0;
  hung_up_to_ = 0;
}

void stand_in::implementation::stop() {
  asio::dispatch(strand_, [self = shared_from_this()] {
    if (self->stopped_) return;
    self->stopped_ = true;
    self->end_generation();
  });
}

void stand_in::implementation::crash(std::optional<std::chrono::milliseconds> restart_after) {
  asio::dispatch(strand_, [self = shared_from_this(), restart_after] {
    self->end_generation();
    if (restart_after) {
      asio::co_spawn(self->strand_, self->restart_later(*restart_after), asio::detached);
    }
  });
}

void stand_in::implementation::restart() {
  asio::dispatch(strand_, [self = shared_from_this()] {
    if (self->stopped_ || self->acceptor_.is_open()) return;
    failure reason;
    if (!self->start(reason)) std::fprintf(stderr, "%s\n", reason.describe().c_str());
  });
}

stand_in::implementation::awaitable<void> stand_in::implementation::restart_later(
    std::chrono::milliseconds delay) {
  const auto self = shared_from_this();
  strand_timer timer(strand_, delay);
  co_await timer.async_wait(as_result);
  restart();
}

void stand_in::implementation::announce_to(const endpoint& agent) {
  const std::lock_guard lock(agent_mutex_);
  agent_ = agent;
}

void stand_in::implementation::set_faults(const stand_in_faults& faults) {
  state.set_faults(faults);
  frozen_ = faults.frozen;
  if (faults.frozen) state.mark_running_out_of_reach();
  asio::dispatch(strand_, [self = shared_from_this()] {
    if (!self->frozen_) self->unfreeze_timer_.cancel();
    self->announce_timer_.cancel();
  });
}

void stand_in::implementation::hang_open_connections() {
  asio::dispatch(strand_, [self = shared_from_this()] {
    self->hung_up_to_ = self->connection_count_;
    self->state.mark_running_out_of_reach();
  });
}

endpoint stand_in::implementation::address() const {
  return settings_.listen_ip + ":" + std::to_string(port_.load());
}

stand_in_counts stand_in::implementation::counts() const {
  auto counts = state.counts();
  counts.busy = busy_;
  counts.queued = queued_;
  counts.connections = open_;
  return counts;
}

stand_in::implementation::awaitable<void> stand_in::implementation::accept_loop(
    std::uint64_t generation) {
  const auto self = shared_from_this();
  while (generation == generation_) {
    strand_socket socket(strand_);
    auto [error] = co_await acceptor_.async_accept(socket, as_result);
    if (generation != generation_) co_return;
    if (error) continue;
    if (open_ >= settings_.connections + spare_connections) {
      state.count_refused_connection();
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    auto connection = std::make_shared<stand_in_connection>(std::move(socket));
    connection->number = ++connection_count_;
    connection->generation = generation;
    connection->hang_timer.expires_at(strand_timer::time_point::max());
    connections_.insert(connection);
    ++open_;
    asio::co_spawn(strand_, serve(connection), asio::detached);
  }
}

stand_in::implementation::awaitable<void> stand_in::implementation::announce_loop(
    std::uint64_t generation) {
  const auto self = shared_from_this();
  while (generation == generation_) {
    endpoint agent;
    {
      const std::lock_guard lock(agent_mutex_);
      agent = agent_;
    }
    if (!agent.empty() && !frozen_) co_await announce_once(agent);
    if (generation != generation_) co_return;
    announce_timer_.expires_after(settings_.announce_interval);
    co_await announce_timer_.async_wait(as_result);
  }
}

stand_in::implementation::awaitable<void> stand_in::implementation::announce_once(endpoint agent) {
  const auto remote = parse_endpoint(agent);
  if (!remote) co_return;
  boost::beast::basic_stream<tcp, strand_executor> stream(strand_);
  stream.expires_after(announce_timeout);
  auto [connect_error] = co_await stream.async_connect(*remote, as_result);
  if (connect_error) co_return;
  const nlohmann::json body = {
      {"service", settings_.service},           {"address", address()},
      {"incarnation", state.incarnation()},     {"slots", settings_.slots},
      {"connections", settings_.connections},   {"checks_fences", settings_.checks_fences},
      {"state", state.faults().announced_state}};
  http::request<http::string_body> request(http::verb::post, "/announce", 11);
  request.set(http::field::host, agent);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  request.body() = body.dump();
  request.prepare_payload();
  auto [write_error, written] = co_await http::async_write(stream, request, as_result);
  if (write_error) co_return;
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  co_await http::async_read(stream, buffer, response, as_result);
}

stand_in::stand_in(asio::io_context& context, const stand_in_settings& settings)
    : implementation_(std::make_shared<implementation>(context, settings)) {}

stand_in::~stand_in() {
  implementation_->stop();
}

bool stand_in::start(failure& reason) {
  return implementation_->start(reason);
}
void stand_in::stop() {
  implementation_->stop();
}
std::uint16_t stand_in::port() const {
  return implementation_->port();
}
endpoint stand_in::address() const {
  return implementation_->address();
}
void stand_in::announce_to(const endpoint& agent) {
  implementation_->announce_to(agent);
}
void stand_in::set_faults(const stand_in_faults& faults) {
  implementation_->set_faults(faults);
}
stand_in_faults stand_in::faults() const {
  return implementation_->state.faults();
}
void stand_in::hang_open_connections() {
  implementation_->hang_open_connections();
}
void stand_in::crash() {
  implementation_->crash();
}
void stand_in::restart() {
  implementation_->restart();
}
std::vector<run_record> stand_in::records() const {
  return implementation_->state.records();
}
stand_in_counts stand_in::counts() const {
  return implementation_->counts();
}

int run_stand_in(const stand_in_settings& settings) {
  asio::io_context context(1);
  stand_in server(context, settings);
  failure reason;
  if (!server.start(reason)) {
    std::fprintf(stderr, "%s\n", reason.describe().c_str());
    return EXIT_FAILURE;
  }
  std::printf("upstream stand-in of %s at %s\n", settings.service.c_str(),
              server.address().c_str());
  std::fflush(stdout);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { server.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace masticshunt::upstream
