#include "fleet/internal/connection_pool.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "fleet/internal/http_server.h"
#include "masticshunt/support/clock.h"
#include "masticshunt/support/socket_options.h"

namespace masticshunt::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

watchdog::watchdog(client_connection& connection, time_point deadline)
    : connection_(connection), timer_(connection.socket.get_executor()) {
  move(deadline);
}

void watchdog::move(time_point deadline) {
  timer_.expires_after(std::max(duration{}, deadline - boot_now()));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const error_code& error) {
    if (error || alive.expired()) return;
    expired_ = true;
    error_code ignored;
    connection_.socket.close(ignored);
  });
}

void repeatable_answers::add(std::string key, time_point until, time_point now) {
  std::erase_if(answers_, [now](const answer& each) { return each.until <= now; });
  answers_.push_back({std::move(key), until});
}

bool repeatable_answers::contains(std::string_view key) const {
  return std::ranges::any_of(answers_, [key](const answer& each) { return each.key == key; });
}

connection_ptr connection_pool::take_idle(const endpoint& to, std::string_view answer_key) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return nullptr;
  auto& idle = found->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    const auto& candidate = *idle[i];
    if (!answer_key.empty() && candidate.repeatable.contains(answer_key)) continue;
    connection_ptr connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    const bool fresh = boot_now() - connection->idle_since < connection->idle_limit;
    if (fresh && support::is_silent(connection->socket.native_handle())) return connection;
  }
  return nullptr;
}

asio::awaitable<connection_ptr> connection_pool::acquire(endpoint to, time_point deadline,
                                                         cancellation& cancel,
                                                         std::string_view answer_key) {
  if (auto idle = take_idle(to, answer_key)) co_return idle;
  auto connection = std::make_shared<client_connection>(executor_);
  connection->to = to;
  connection->idle_limit = limits_.idle_limit;
  error_code error;
  const auto address = tcp_endpoint(to, error);
  if (error) co_return nullptr;
  // Otherwise no process could listen at the port from which this one connects.
  connection->socket.open(address.protocol(), error);
  if (!error) connection->socket.set_option(tcp::socket::reuse_address(true), error);
  if (error) co_return nullptr;
  cancel.on_request([connection] {
    error_code ignored;
    connection->socket.close(ignored);
  });
  {
    watchdog guard(*connection, std::min(deadline, boot_now() + limits_.connect_timeout));
    co_await connection->socket.async_connect(address,
                                              asio::redirect_error(asio::use_awaitable, error));
  }
  cancel.clear();
  if (error == asio::error::connection_refused && on_refused_) on_refused_(connection->to);
  if (error || !connection->socket.is_open()) co_return nullptr;
  ++opened_;
  connection->socket.non_blocking(true, error);
  support::apply_socket_options(
      connection->socket,
      {.user_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits_.user_timeout),
       .keepalive_idle = limits_.keepalive_idle,
       .keepalive_probes = limits_.keepalive_probes});
  co_return connection;
}

void connection_pool::allow_stalls(client_connection& connection, time_point deadline) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_now());
  const auto usual = std::chrono::duration_cast<std::chrono::milliseconds>(limits_.user_timeout);
  if (remaining <= usual) return;
  support::set_user_timeout(connection.socket, remaining);
  connection.allows_stalls = true;
}

void connection_pool::release(connection_ptr connection) {
  if (!connection->socket.is_open() || connection->repeatable.full()) return;
  if (std::exchange(connection->allows_stalls, false))
    support::set_user_timeout(
        connection->socket,
        std::chrono::duration_cast<std::chrono::milliseconds>(limits_.user_timeout));
  auto& idle = idle_[connection->to];
  if (idle.size() >= limits_.idle_max) return;
  if (connection->buffer.size() == 0) connection->buffer.shrink_to_fit();
  connection->idle_since = boot_now();
  ++connection->uses;
  idle.push_back(std::move(connection));
}

void connection_pool::sweep(time_point now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const connection_ptr& each) {
      return now - each->idle_since >= each->idle_limit;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void connection_pool::drop_idle_since(const endpoint& to, time_point when) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) return;
  std::erase_if(found->second,
                [when](const connection_ptr& each) { return each->idle_since < when; });
}

}  // namespace masticshunt::fleet
