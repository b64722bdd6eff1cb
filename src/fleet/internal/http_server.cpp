#include "fleet/internal/http_server.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

#include "fleet/internal/server_session.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Of the connections that are over the limit's number, so many are closed at once: finding the
/// oldest means looking at all of them.
constexpr std::size_t evicted_share = 32;
constexpr duration accept_retry_interval = std::chrono::milliseconds{50};
constexpr duration accept_report_interval = std::chrono::seconds{1};

}  // namespace

http_server::http_server(const asio::any_io_executor& executor, request_handler handler)
    : executor_(executor),
      handler_(std::move(handler)),
      acceptor_(executor_),
      accept_timer_(executor_) {}

http_server::~http_server() {
  for (const auto& each : std::exchange(sessions_, {})) each->detach();
}

std::string http_server::start(const endpoint& address) {
  const auto failed = listen(address);
  return failed ? failed->describe() : std::string{};
}

std::optional<listen_failure> http_server::listen(const endpoint& address) {
  if (acceptor_.is_open()) return std::nullopt;
  error_code error;
  const auto listen_endpoint = tcp_endpoint(address, error);
  if (!error) acceptor_.open(listen_endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(listen_endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    error_code ignored;
    acceptor_.close(ignored);
    return listen_failure{address, error};
  }
  accept_next();
  return std::nullopt;
}

void http_server::accept_next() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) return accept_later(error);
    if (sessions_.size() < limits_.connections_max || make_room(boot_now())) {
      auto session =
          std::make_shared<server_session>(*this, std::move(socket), ++connections_accepted_);
      sessions_.insert(session);
      session->start();
    }
    accept_next();
  });
}

void http_server::accept_later(const error_code& why) {
  const auto now = boot_now();
  if (on_accept_failed_ && now >= next_accept_report_) {
    next_accept_report_ = now + accept_report_interval;
    on_accept_failed_(why.message());
  }
  accept_timer_.expires_after(accept_retry_interval);
  accept_timer_.async_wait([this](const error_code& error) {
    if (!error && acceptor_.is_open()) accept_next();
  });
}

void http_server::stop_accepting() {
  error_code ignored;
  acceptor_.close(ignored);
}

void http_server::close_gracefully() {
  closing_ = true;
  const auto copy = sessions_;
  for (const auto& each : copy) each->close_if_idle();
}

bool http_server::idle() const {
  return open_requests_ == 0 && std::ranges::none_of(sessions_, [](const auto& each) {
           return each->has_unsent_output();
         });
}

void http_server::sweep(time_point now) {
  const auto copy = sessions_;
  for (const auto& each : copy) each->sweep(now);
  if (share_.budget != nullptr) relieve_memory(now);
}

bool http_server::make_room(time_point now) {
  std::vector<std::shared_ptr<server_session>> candidates;
  std::ranges::copy_if(sessions_, std::back_inserter(candidates),
                       [](const auto& each) { return each->idle(); });
  if (candidates.empty())
    std::ranges::copy_if(sessions_, std::back_inserter(candidates),
                         [](const auto& each) { return each->has_partial_head(); });
  const auto count = std::min(candidates.size(), limits_.connections_max / evicted_share + 1);
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {},
                            [](const auto& each) { return each->idle_since(); });
  for (std::size_t i = 0; i < count; ++i) evict(candidates[i], "connections", now);
  return count > 0;
}

void http_server::relieve_memory(time_point now) {
  const requests::eviction_settings settings;
  std::vector<requests::connection_holding> holdings;
  for (const auto& each : sessions_)
    if (const auto holding = each->holding(now, 2 * settings.window)) holdings.push_back(*holding);
  const auto& [budget, share] = share_;
  if (!budget->under_pressure(share)) return;
  const auto excess = budget->held(share) - budget->limit(share) / 2;
  for (const auto number : requests::connections_to_close(std::move(holdings), excess, settings)) {
    const auto found =
        std::ranges::find(sessions_, number, [](const auto& each) { return each->connection(); });
    if (found == sessions_.end()) continue;
    const auto closed = sessions_.extract(found);
    evict(closed.value(), "memory", now);
  }
}

void http_server::evict(const std::shared_ptr<server_session>& session, std::string_view why,
                        time_point now) {
  if (on_evicted_)
    on_evicted_({why, session->sender(), session->bytes_held(), now - session->accepted_at()});
  session->drop();
  session->detach();
  sessions_.erase(session);
}

tcp::endpoint tcp_endpoint(const endpoint& text, error_code& error) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon != std::string::npos)
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  const auto ip = asio::ip::make_address(text.substr(0, colon), error);
  if (!error && (port == 0 || port > 65'535)) error = asio::error::invalid_argument;
  return {ip, static_cast<std::uint16_t>(port)};
}

}  // namespace masticshunt::fleet
