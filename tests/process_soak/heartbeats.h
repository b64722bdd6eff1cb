/// @file
/// Sends the heartbeats of an upstream to its agent.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fleet/internal/http_client.h"
#include "masticshunt/support/clock.h"

namespace masticshunt::process_soak {

/// Reports an upstream of the service `ledger` as ready, from its construction on.
class heartbeats {
 public:
  heartbeats(boost::asio::io_context& context, endpoint upstream, endpoint agent, std::size_t slots)
      : context_(context),
        upstream_(std::move(upstream)),
        agent_(std::move(agent)),
        slots_(slots),
        pool_(context.get_executor(), {}) {
    boost::asio::co_spawn(context_, send(), boost::asio::detached);
  }

 private:
  boost::asio::awaitable<void> send() {
    const std::string id = "i-" + upstream_;
    boost::asio::steady_timer interval(context_);
    for (;;) {
      fleet::exchange_request request;
      request.head = "PUT /-/instances/" + id + " HTTP/1.1\r\nHost: " + agent_ +
                     "\r\nContent-Type: application/json\r\n";
      request.body = std::make_shared<fleet::body_pipe>();
      request.body->append(nlohmann::json{
          {"service", "ledger"},
          {"address", upstream_},
          {"zone", "zone"},
          {"version", "v1"},
          {"capacity", slots_},
          {"state", "ready"},
          {"warmupLeft", "0ms"},
          {"sequence", ++sequence_},
          {"born", 1}}.dump());
      request.body->finish();
      request.deadline = boot_now() + std::chrono::seconds{1};
      fleet::cancellation never_cancelled;
      co_await fleet::run_exchange(pool_, agent_, std::move(request), never_cancelled);
      interval.expires_after(std::chrono::milliseconds{300});
      co_await interval.async_wait(boost::asio::use_awaitable);
    }
  }

  boost::asio::io_context& context_;
  endpoint upstream_;
  endpoint agent_;
  std::size_t slots_;
  fleet::connection_pool pool_;
  std::uint64_t sequence_ = 0;
};

}  // namespace masticshunt::process_soak
