#include "masticshunt/store/store_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>

#include "masticshunt/support/clock.h"
#include "store/internal/call_pacing.h"
#include "store/internal/http_exchange.h"
#include "store/internal/url_text.h"

namespace masticshunt::store {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using ownership::store_list;
using ownership::store_list_done;
using ownership::store_object;
using ownership::store_read;
using ownership::store_read_done;
using ownership::store_write;
using ownership::store_write_done;

namespace {

constexpr int http_version = 11;
constexpr std::size_t value_bytes_max = 1'048'576;
constexpr unsigned ok = 200;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;
constexpr unsigned not_found = 404;
constexpr unsigned precondition_failed = 412;
constexpr unsigned too_many_requests = 429;
constexpr unsigned first_server_error = 500;

std::string object_target(std::string_view name) {
  return "/objects/" + percent_encode(name);
}

http_request make_request(http::verb method, const std::string& target) {
  http_request request{method, target, http_version};
  request.set(http::field::host, "store");
  return request;
}

http_request write_request(const store_write& call, http::verb method) {
  auto request = make_request(method, object_target(call.name));
  if (call.expected_version == 0) {
    request.set(http::field::if_none_match, "*");
  } else {
    request.set(http::field::if_match, etag_of(call.expected_version));
  }
  if (method == http::verb::put) request.body() = call.value;
  return request;
}

std::optional<std::uint64_t> version_of(const http_response& response) {
  const auto tag = response[http::field::etag];
  return version_from_etag({tag.data(), tag.size()});
}

/// Returns the ID of the write that produced `value`, or an empty text if it has none.
std::string write_id_of(std::string_view value) {
  const json parsed = json::parse(value, nullptr, false);
  if (!parsed.is_object()) return {};
  const auto found = parsed.find("write_id");
  if (found == parsed.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

bool is_own_write(const store_write& call, const store_object& current) {
  const auto own = write_id_of(call.value);
  return !own.empty() && own == write_id_of(current.value);
}

failure unexpected_response(const http_response& response) {
  return {failure_kind::bad_input,
          "the store answered " + std::to_string(response.result_int()) + " " + response.body(),
          "check the store's address, and that it implements the interface of docs/INTERFACES.md"};
}

failure no_response(const std::string& detail) {
  return {failure_kind::unavailable, "the store did not answer in time (" + detail + ")",
          "check the store and the network; the call may be retried"};
}

failure unresolved_write(const std::string& detail) {
  return {failure_kind::unavailable,
          "no response to a write, and its outcome could not be determined (" + detail +
              "); the write may have taken effect",
          "read the object before writing again"};
}

failure client_stopped() {
  return {failure_kind::unavailable, "the store client is stopped", "start a new client"};
}

/// Returns true if the response says that the store cannot serve the call now.
bool is_overloaded(const http_response& response) {
  return response.result_int() >= first_server_error || response.result_int() == too_many_requests;
}

std::optional<store_object> parse_object(const json& item) {
  if (!item.is_object() || !item.contains("name") || !item["name"].is_string() ||
      !item.contains("version") || !item["version"].is_number_unsigned()) {
    return std::nullopt;
  }
  store_object result{item["name"].get<std::string>(), item["version"].get<std::uint64_t>(), {}};
  const auto value = item.find("value");
  if (value != item.end() && value->is_string()) result.value = value->get<std::string>();
  return result;
}

/// Fills `done` from the body of a list response. Returns false if the body is malformed.
bool parse_list(const std::string& body, store_list_done& done) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("revision") ||
      !parsed["revision"].is_number_unsigned() || !parsed.contains("objects") ||
      !parsed["objects"].is_array()) {
    return false;
  }
  std::vector<store_object> objects;
  for (const auto& item : parsed["objects"]) {
    auto object = parse_object(item);
    if (!object) return false;
    objects.push_back(std::move(*object));
  }
  done.revision = parsed["revision"].get<std::uint64_t>();
  done.objects = std::move(objects);
  return true;
}

}  // namespace

class store_client::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(asio::any_io_executor executor, store_client_settings settings, std::uint64_t seed)
      : executor_(std::move(executor)),
        strand_(asio::make_strand(executor_)),
        settings_(std::move(settings)),
        exchange_(strand_, settings_.addresses),
        budget_(settings_.calls_per_second, settings_.burst),
        backoff_(settings_.backoff_first, settings_.backoff_max, seed) {}

  /// Runs `operation` on the strand and passes its result to `handler` exactly once.
  template <class Done, class Operation>
  void start(ownership::store_call_id call, Operation operation,
             std::function<void(Done)> handler) {
    asio::co_spawn(strand_, std::move(operation),
                   [self = shared_from_this(), call, handler = std::move(handler)](
                       const std::exception_ptr& thrown, Done done) {
                     if (thrown) done.reason = client_stopped();
                     done.call = call;
                     self->count_failure(done.reason);
                     asio::post(self->executor_, [handler, done = std::move(done)]() mutable {
                       handler(std::move(done));
                     });
                   });
  }

  asio::awaitable<store_read_done> read(store_read call) {
    store_read_done done;
    const auto deadline = boot_now() + settings_.call_deadline;
    auto response = co_await get(object_target(call.name), deadline, done.reason);
    if (!response) co_return done;
    const auto version = version_of(*response);
    if (response->result_int() == ok && version) {
      done.object = store_object{call.name, *version, std::move(response->body())};
    } else if (response->result_int() == not_found) {
      done.reason = {failure_kind::not_found, call.name + " does not exist",
                     "check the name; masticshunt list shows the existing records"};
    } else {
      done.reason = unexpected_response(*response);
    }
    co_return done;
  }

  asio::awaitable<store_list_done> list(store_list call) {
    store_list_done done;
    std::string target = "/list?prefix=" + percent_encode(call.prefix);
    std::optional<http_response> response;
    if (call.after_revision) {
      target += "&after=" + std::to_string(*call.after_revision) +
                "&wait_ms=" + std::to_string(settings_.watch_duration.count());
      response = co_await watch(target, done.reason);
    } else {
      response = co_await get(target, boot_now() + settings_.call_deadline, done.reason);
    }
    if (!response) co_return done;
    if (response->result_int() == not_modified && call.after_revision) {
      done.revision = *call.after_revision;
      done.objects.emplace();
    } else if (response->result_int() != ok || !parse_list(response->body(), done)) {
      done.reason = unexpected_response(*response);
    }
    co_return done;
  }

  asio::awaitable<store_write_done> write(store_write call, http::verb method) {
    store_write_done done;
    if (call.value.size() > value_bytes_max) {
      done.reason = {failure_kind::bad_input, call.name + ": the value is larger than 1 MiB",
                     "split the object"};
      co_return done;
    }
    const auto deadline = boot_now() + settings_.call_deadline;
    const auto read_back_deadline = deadline + settings_.call_deadline;
    bool may_have_arrived = false;
    bool ended = false;
    while (!ended) {
      if (!co_await admit(deadline, done.reason)) break;
      count(&store_client_counts::writes);
      auto result = co_await exchange_.run(write_request(call, method), deadline, duration{});
      if (result.response && !is_overloaded(*result.response)) {
        backoff_.succeeded();
        apply_write_response(call, *result.response, done);
        co_return done;
      }
      backoff_.failed(boot_now());
      done.reason = no_response(describe(result));
      if (!result.may_have_arrived) continue;
      may_have_arrived = true;
      ended = co_await read_back(call, method, read_back_deadline, done);
    }
    if (!ended && may_have_arrived) done.reason = unresolved_write(done.reason.message);
    co_return done;
  }

  void stop() {
    asio::dispatch(strand_, [self = shared_from_this()] {
      self->stopped_ = true;
      self->exchange_.close();
      for (auto* const timer : self->timers_) timer->cancel();
    });
  }

  store_client_counts counts() const {
    const std::scoped_lock lock(mutex_);
    return counts_;
  }

 private:
  static std::string describe(const exchange_result& result) {
    return result.response ? "status " + std::to_string(result.response->result_int())
                           : result.error;
  }

  void count(std::uint64_t store_client_counts::*which) {
    const std::scoped_lock lock(mutex_);
    ++(counts_.*which);
  }

  void count_failure(const failure& reason) {
    if (reason.kind == failure_kind::unavailable || reason.kind == failure_kind::over_budget) {
      count(&store_client_counts::failures);
    }
  }

  /// Waits until back-off and rate limit allow a call. Returns false, with `reason` filled, if that
  /// is after `latest` or the client is stopped.
  asio::awaitable<bool> admit(time_point latest, failure& reason) {
    const auto now = boot_now();
    if (stopped_) {
      reason = client_stopped();
      co_return false;
    }
    const auto resume = std::max(now, backoff_.not_before());
    if (resume > latest) {
      if (reason.kind == failure_kind::none) reason = no_response("waiting after earlier failures");
      co_return false;
    }
    const auto start = budget_.reserve(now, latest);
    if (!start) {
      if (reason.kind == failure_kind::none) {
        reason = {failure_kind::over_budget, "the rate limit for store calls is exhausted",
                  "raise calls_per_second in [store], or call less often"};
      }
      co_return false;
    }
    if (*start > now) count(&store_client_counts::held_by_budget);
    co_await wait_until(std::max(*start, resume));
    if (stopped_) reason = client_stopped();
    co_return !stopped_;
  }

  asio::awaitable<void> wait_until(time_point when) {
    const auto span = when - boot_now();
    if (span <= duration::zero()) co_return;
    asio::steady_timer timer(strand_, span);
    const auto position = timers_.insert(timers_.end(), &timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    timers_.erase(position);
  }

  /// Retries a GET until there is a response or `deadline` passes.
  asio::awaitable<std::optional<http_response>> get(std::string target, time_point deadline,
                                                    failure& reason) {
    while (co_await admit(deadline, reason)) {
      count(&store_client_counts::reads);
      auto result =
          co_await exchange_.run(make_request(http::verb::get, target), deadline, duration{});
      if (result.response && !is_overloaded(*result.response)) {
        backoff_.succeeded();
        reason = {};
        co_return std::move(result.response);
      }
      backoff_.failed(boot_now());
      reason = no_response(describe(result));
    }
    co_return std::nullopt;
  }

  /// Sends one watch without retries; the caller of the client retries it.
  asio::awaitable<std::optional<http_response>> watch(std::string target, failure& reason) {
    if (!co_await admit(boot_now() + settings_.watch_duration, reason)) co_return std::nullopt;
    count(&store_client_counts::watches);
    const auto deadline = boot_now() + settings_.watch_duration + settings_.call_deadline;
    auto result = co_await exchange_.run(make_request(http::verb::get, target), deadline,
                                         settings_.watch_duration);
    if (result.response && !is_overloaded(*result.response)) {
      backoff_.succeeded();
      co_return std::move(result.response);
    }
    backoff_.failed(boot_now());
    reason = no_response(describe(result));
    co_return std::nullopt;
  }

  static void apply_write_response(const store_write& call, http_response& response,
                                   store_write_done& done) {
    const auto status = response.result_int();
    const auto version = version_of(response);
    done.reason = {};
    if ((status == ok && version) || status == no_content) {
      done.version = version.value_or(0);
    } else if (status == precondition_failed) {
      if (version) done.current = store_object{call.name, *version, std::move(response.body())};
      classify_conflict(call, done);
    } else {
      done.reason = unexpected_response(response);
    }
  }

  /// Determines the outcome of a write from `done.current`, the object in the store: a success if
  /// it carries the write ID of `call`, a conflict otherwise.
  static void classify_conflict(const store_write& call, store_write_done& done) {
    if (done.current && is_own_write(call, *done.current)) {
      done.version = done.current->version;
      done.current.reset();
      done.reason = {};
      return;
    }
    done.reason = {failure_kind::conflict,
                   call.name + " is not at version " + std::to_string(call.expected_version),
                   "read the object again and reapply the change to its current value"};
  }

  /// Reads back an object after a write without a response. Returns true if `done` is final; false
  /// if the write has not taken effect so far and may be sent again with the same expected version.
  asio::awaitable<bool> read_back(const store_write& call, http::verb method, time_point deadline,
                                  store_write_done& done) {
    failure reason;
    count(&store_client_counts::read_backs);
    auto response = co_await get(object_target(call.name), deadline, reason);
    if (!response) {
      done.reason = unresolved_write(reason.message);
      co_return true;
    }
    const bool absent = response->result_int() == not_found;
    if (absent && method == http::verb::delete_) {
      done.reason = {};
      done.version = 0;
      co_return true;
    }
    if (absent && call.expected_version == 0) {
      done.reason = unresolved_write("the object does not exist yet");
      co_return true;
    }
    const auto version = version_of(*response);
    if (version == call.expected_version) co_return false;
    done.current.reset();
    if (version) done.current = store_object{call.name, *version, std::move(response->body())};
    classify_conflict(call, done);
    co_return true;
  }

  asio::any_io_executor executor_;
  asio::any_io_executor strand_;
  store_client_settings settings_;
  http_exchange exchange_;
  rate_budget budget_;
  backoff backoff_;
  std::list<asio::steady_timer*> timers_;
  bool stopped_ = false;
  mutable std::mutex mutex_;  ///< Guards `counts_`; all other members are used on the strand.
  store_client_counts counts_;
};

store_client::store_client(asio::any_io_executor executor, store_client_settings settings,
                           std::uint64_t seed)
    : implementation_(
          std::make_shared<implementation>(std::move(executor), std::move(settings), seed)) {}

store_client::~store_client() {
  stop();
}

void store_client::async_read(const store_read& call,
                              std::function<void(store_read_done)> handler) {
  auto self = implementation_;
  self->start<store_read_done>(
      call.call, [self, call] { return self->read(call); }, std::move(handler));
}

void store_client::async_write(const store_write& call,
                               std::function<void(store_write_done)> handler) {
  auto self = implementation_;
  self->start<store_write_done>(
      call.call, [self, call] { return self->write(call, http::verb::put); }, std::move(handler));
}

void store_client::async_list(const store_list& call,
                              std::function<void(store_list_done)> handler) {
  auto self = implementation_;
  self->start<store_list_done>(
      call.call, [self, call] { return self->list(call); }, std::move(handler));
}

void store_client::async_remove(const store_write& call,
                                std::function<void(store_write_done)> handler) {
  auto self = implementation_;
  self->start<store_write_done>(
      call.call, [self, call] { return self->write(call, http::verb::delete_); },
      std::move(handler));
}

void store_client::stop() {
  implementation_->stop();
}

store_client_counts store_client::counts() const {
  return implementation_->counts();
}

}  // namespace masticshunt::store
