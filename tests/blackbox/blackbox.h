/// @file
/// Fixtures of the black-box tests: a small deployment on loopback and a blocking HTTP client.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "expect.h"
#include "masticshunt/demo/deployment.h"

namespace masticshunt::testing {

namespace http = boost::beast::http;
using headers = std::vector<std::pair<std::string, std::string>>;
using http_response = http::response<http::string_body>;

/// Waits until `condition` holds; returns false after `limit`.
inline bool holds_within(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

/// A blocking HTTP client with one connection.
class plain_client {
 public:
  explicit plain_client(const endpoint& address) : socket_(context_) {
    const auto colon = address.rfind(':');
    socket_.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                     static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  }

  void send(http::verb method, const std::string& target, const headers& extra_headers = {},
            const std::string& body = "") {
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, "masticshunt");
    for (const auto& [name, value] : extra_headers) request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::write(socket_, request);
  }

  /// Sends a request and returns the complete response. Throws if the connection ends before that.
  http_response exchange(http::verb method, const std::string& target,
                         const headers& extra_headers = {}, const std::string& body = "") {
    send(method, target, extra_headers, body);
    return receive();
  }

  http_response receive() {
    http_response response;
    http::read(socket_, buffer_, response);
    return response;
  }

  boost::asio::ip::tcp::socket& socket() { return socket_; }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
};

/// Three VMs of one service in three regions.
class small_deployment {
 public:
  explicit small_deployment(std::chrono::microseconds service_time = std::chrono::milliseconds(1))
      : deployment_(plan(service_time), 1) {
    failure reason;
    expect_true(deployment_.start(reason), reason.describe());
    expect_true(deployment_.wait_until_routable(start_limit), "all keys have an owner");
    expect_true(holds_within(start_limit, [&] { return all_keys_served(); }),
                "all keys are served");
  }

  demo::deployment& operator*() { return deployment_; }
  demo::deployment* operator->() { return &deployment_; }

  static std::string target_of(const std::string& key) { return "/s/schedule-viewer/" + key; }

  /// Returns the caller endpoint of the VM with `index`.
  endpoint caller_endpoint(std::size_t index) {
    return deployment_.nodes().at(index).agent_process->description().caller;
  }

  /// Returns how often the upstream of the VM with `index` ran a request for `key`.
  std::size_t runs_of(std::size_t index, const std::string& key) {
    const auto records = deployment_.nodes().at(index).upstream_process->records();
    return static_cast<std::size_t>(std::ranges::count(records, key, &upstream::run_record::key));
  }

  /// Returns the index of the VM whose upstream started the latest request for `key`.
  std::size_t owner_of(const std::string& key) {
    std::size_t owner = 0;
    time_point latest{};
    for (std::size_t index = 0; index < deployment_.nodes().size(); ++index) {
      for (const auto& run : deployment_.nodes()[index].upstream_process->records()) {
        if (run.key != key || run.started < latest) continue;
        latest = run.started;
        owner = index;
      }
    }
    return owner;
  }

  /// Returns true if a GET of `key` through the agent at `address` is served.
  static bool is_served(const endpoint& address, const std::string& key) {
    try {
      plain_client caller(address);
      return caller.exchange(http::verb::get, target_of(key))["Masticshunt-Outcome"] == "served";
    } catch (const boost::system::system_error&) {
      return false;
    }
  }

  static constexpr std::chrono::seconds start_limit{20};

 private:
  bool all_keys_served() {
    for (std::size_t index = 0; index < deployment_.nodes().size(); ++index) {
      for (int key = 0; key < 8; ++key) {
        if (!is_served(caller_endpoint(index), "warm-" + std::to_string(key))) return false;
      }
    }
    return true;
  }

  static demo::deployment_plan plan(std::chrono::microseconds service_time) {
    demo::deployment_plan plan = demo::imhof_plan();
    plan.services.resize(1);
    plan.services[0].service_time = service_time;
    plan.domains = {plan.domains[0], plan.domains[2], plan.domains[4]};
    return plan;
  }

  demo::deployment deployment_;
};

}  // namespace masticshunt::testing
