#include "masticshunt/store/store_stand_in.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

#include "store/internal/object_table.h"
#include "store/internal/url_text.h"

namespace masticshunt::store {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t value_bytes_max = 1'048'576;
constexpr milliseconds watch_wait_max{60'000};
constexpr std::string_view objects_path = "/objects/";
constexpr std::string_view list_path = "/list";
constexpr auto tuple_awaitable = asio::as_tuple(asio::use_awaitable);

using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

response_type make_response(const request_type& request, http::status status,
                            std::string body = {}) {
  response_type response{status, request.version()};
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  return response;
}

response_type make_bad_request(const request_type& request, std::string_view message) {
  auto response = make_response(request, http::status::bad_request,
                                nlohmann::json{{"message", message}}.dump());
  response.set(http::field::content_type, "application/json");
  return response;
}

response_type with_version(response_type response, std::uint64_t version) {
  response.set(http::field::etag, etag_of(version));
  return response;
}

std::string list_body(const std::vector<named_object>& objects, std::uint64_t revision) {
  auto items = nlohmann::json::array();
  for (const auto& named : objects) {
    nlohmann::json item{{"name", named.name}, {"version", named.object.version}};
    if (named.object.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = named.object.value;
    }
    items.push_back(std::move(item));
  }
  const nlohmann::json body{{"revision", revision}, {"objects", std::move(items)}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns the version that a write expects, or nothing if it has no valid condition header.
std::optional<std::uint64_t> expected_version(const request_type& request) {
  if (request[http::field::if_none_match] == "*") return 0;
  return version_from_etag(request[http::field::if_match]);
}

}  // namespace

class store_stand_in::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(const asio::any_io_executor& executor, std::uint16_t port,
                 const std::string& address)
      : strand_(asio::make_strand(executor)),
        acceptor_(strand_, tcp::endpoint{asio::ip::make_address(address), port}),
        local_(acceptor_.local_endpoint()) {}

  void start() {
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->accept_all(); }, asio::detached);
  }

  void stop() {
    asio::dispatch(strand_, [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->acceptor_.close(ignored);
      self->close_connections();
    });
  }

  [[nodiscard]] tcp::endpoint local() const { return local_; }

  template <class Change>
  void change_faults(Change change) {
    const std::scoped_lock lock(mutex_);
    change(faults_);
  }

  void set_down(bool down) {
    change_faults([&](faults& current) { current.down = down; });
    if (down) {
      asio::dispatch(strand_, [self = shared_from_this()] { self->close_connections(); });
    }
  }

  store_stand_in_counts counts() const {
    const std::scoped_lock lock(mutex_);
    return counts_;
  }

  std::optional<ownership::store_object> object(std::string_view name) const {
    const std::scoped_lock lock(mutex_);
    const auto* const found = table_.find(name);
    if (found == nullptr) return std::nullopt;
    return ownership::store_object{std::string(name), found->version, found->value};
  }

  std::uint64_t put(std::string_view name, std::string value) {
    std::uint64_t version = 0;
    {
      const std::scoped_lock lock(mutex_);
      const auto* const found = table_.find(name);
      version = *table_.put(name, found == nullptr ? 0 : found->version, std::move(value));
    }
    wake_watches();
    return version;
  }

  void remove(std::string_view name) {
    {
      const std::scoped_lock lock(mutex_);
      if (const auto* const found = table_.find(name)) table_.remove(name, found->version);
    }
    wake_watches();
  }

 private:
  /// The injected faults.
  struct faults {
    bool down = false;
    bool unresponsive = false;
    milliseconds answer_delay{0};
    milliseconds apply_delay{0};
    std::uint64_t responses_to_drop = 0;
    double drop_share = 0;
    std::mt19937_64 random;
  };

  /// One connection. Cancelling `wake` makes a watch on it check for changes.
  struct connection {
    explicit connection(tcp::socket socket)
        : stream(std::move(socket)), wake(stream.get_executor()) {}
    beast::tcp_stream stream;
    asio::steady_timer wake;
    bool closed = false;
  };
  using connection_pointer = std::shared_ptr<connection>;

  asio::awaitable<void> accept_all() {
    while (acceptor_.is_open()) {
      auto [error, socket] = co_await acceptor_.async_accept(tuple_awaitable);
      if (error == asio::error::operation_aborted) co_return;
      if (error || current_faults().down) continue;
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto opened = std::make_shared<connection>(std::move(socket));
      connections_.push_back(opened);
      asio::co_spawn(
          strand_, [self = shared_from_this(), opened] { return self->serve(opened); },
          [self = shared_from_this(), opened](const std::exception_ptr&) {
            self->connections_.remove(opened);
          });
    }
  }

  asio::awaitable<void> serve(connection_pointer opened) {
    beast::flat_buffer buffer;
    while (!opened->closed) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(value_bytes_max);
      auto [read_error, read_bytes] =
          co_await http::async_read(opened->stream, buffer, parser, tuple_awaitable);
      if (read_error == http::error::body_limit) {
        co_await write(opened, make_response(parser.get(), http::status::payload_too_large));
      }
      if (read_error) co_return;
      const auto request = parser.release();
      co_await pause(current_faults().apply_delay);
      auto response = co_await handle(opened, request);
      if (opened->closed || current_faults().down || drops_response(request)) co_return;
      co_await pause(current_faults().answer_delay);
      if (current_faults().unresponsive) {
        co_await hold_without_response(opened);
        co_return;
      }
      if (!co_await write(opened, std::move(response)) || !request.keep_alive()) co_return;
    }
  }

  asio::awaitable<bool> write(connection_pointer opened, response_type response) {
    response.prepare_payload();
    auto [error, bytes] = co_await http::async_write(opened->stream, response, tuple_awaitable);
    co_return !error;
  }

  asio::awaitable<void> pause(milliseconds span) {
    if (span.count() == 0) co_return;
    asio::steady_timer timer(strand_, span);
    co_await timer.async_wait(tuple_awaitable);
  }

  /// Keeps the connection open without a response until the client closes it.
  asio::awaitable<void> hold_without_response(connection_pointer opened) {
    std::array<char, 1024> ignored{};
    while (!opened->closed) {
      auto [error, bytes] =
          co_await opened->stream.async_read_some(asio::buffer(ignored), tuple_awaitable);
      if (error) co_return;
    }
  }

  asio::awaitable<response_type> handle(connection_pointer opened, const request_type& request) {
    const std::string_view target(request.target().data(), request.target().size());
    if (target.starts_with(list_path)) co_return co_await handle_list(opened, request, target);
    const auto name = target.starts_with(objects_path)
                          ? percent_decode(target.substr(objects_path.size()))
                          : std::nullopt;
    if (!name || name->empty()) co_return make_bad_request(request, "unknown path");
    if (request.method() == http::verb::get) co_return handle_get(request, *name);
    if (request.method() == http::verb::put || request.method() == http::verb::delete_) {
      co_return handle_write(request, *name);
    }
    co_return make_response(request, http::status::method_not_allowed);
  }

  response_type handle_get(const request_type& request, const std::string& name) {
    const std::scoped_lock lock(mutex_);
    ++counts_.calls;
    ++counts_.reads;
    const auto* const found = table_.find(name);
    if (found == nullptr) return make_response(request, http::status::not_found);
    return with_version(make_response(request, http::status::ok, found->value), found->version);
  }

  response_type handle_write(const request_type& request, const std::string& name) {
    auto response = apply_write(request, name);
    if (response.result_int() < 300) wake_watches();
    return response;
  }

  response_type apply_write(const request_type& request, const std::string& name) {
    const std::scoped_lock lock(mutex_);
    ++counts_.calls;
    ++counts_.writes;
    const auto expected = expected_version(request);
    if (!expected) return make_bad_request(request, "a write needs If-Match or If-None-Match: *");
    const bool is_put = request.method() == http::verb::put;
    const auto version =
        is_put ? table_.put(name, *expected, request.body()) : table_.remove(name, *expected);
    if (!version) {
      ++counts_.conflicts;
      const auto* const found = table_.find(name);
      if (found == nullptr) return make_response(request, http::status::precondition_failed);
      return with_version(make_response(request, http::status::precondition_failed, found->value),
                          found->version);
    }
    ++counts_.applied;
    return with_version(
        make_response(request, is_put ? http::status::ok : http::status::no_content), *version);
  }

  asio::awaitable<response_type> handle_list(connection_pointer opened, const request_type& request,
                                             std::string_view target) {
    const auto prefix = query_parameter(target, "prefix").value_or("");
    const auto after_text = query_parameter(target, "after");
    const auto after = after_text ? parse_decimal(*after_text) : std::nullopt;
    const auto wait = parse_decimal(query_parameter(target, "wait_ms").value_or("0"));
    if ((after_text && !after) || !wait)
      co_return make_bad_request(request, "after or wait_ms is no number");
    {
      const std::scoped_lock lock(mutex_);
      ++counts_.calls;
      ++counts_.reads;
      if (!after) {
        co_return make_response(request, http::status::ok,
                                list_body(table_.list(prefix), table_.revision()));
      }
    }
    co_return co_await handle_watch(
        opened, request, prefix, *after,
        milliseconds{
            std::min<std::uint64_t>(*wait, static_cast<std::uint64_t>(watch_wait_max.count()))});
  }

  asio::awaitable<response_type> handle_watch(connection_pointer opened,
                                              const request_type& request, std::string prefix,
                                              std::uint64_t after, milliseconds wait) {
    const auto end = std::chrono::steady_clock::now() + wait;
    count_watch(+1);
    end_watch_on_disconnect(opened);
    std::optional<std::string> body;
    while (!opened->closed && !(body = changes_since(prefix, after))) {
      if (std::chrono::steady_clock::now() >= end) break;
      opened->wake.expires_at(end);
      co_await opened->wake.async_wait(tuple_awaitable);
    }
    count_watch(-1);
    opened->stream.socket().cancel();
    co_return body ? make_response(request, http::status::ok, std::move(*body))
                   : make_response(request, http::status::not_modified);
  }

  /// Ends a waiting watch when the client closes the connection.
  void end_watch_on_disconnect(const connection_pointer& opened) {
    opened->stream.socket().async_wait(tcp::socket::wait_read,
                                       [opened](const boost::system::error_code& error) {
                                         if (error) return;
                                         boost::system::error_code ignored;
                                         if (opened->stream.socket().available(ignored) > 0) return;
                                         opened->closed = true;
                                         opened->wake.cancel();
                                       });
  }

  std::optional<std::string> changes_since(const std::string& prefix, std::uint64_t after) const {
    const std::scoped_lock lock(mutex_);
    const auto objects = table_.changed_since(prefix, after);
    if (objects.empty()) return std::nullopt;
    return list_body(objects, table_.revision());
  }

  void count_watch(int change) {
    const std::scoped_lock lock(mutex_);
    counts_.waiting_watches += static_cast<std::uint64_t>(change);
  }

  void wake_watches() {
    asio::dispatch(strand_, [self = shared_from_this()] {
      for (const auto& each : self->connections_) each->wake.cancel();
    });
  }

  bool drops_response(const request_type& request) {
    if (request.method() == http::verb::get) return false;
    const std::scoped_lock lock(mutex_);
    const bool counted = faults_.responses_to_drop > 0;
    if (counted) --faults_.responses_to_drop;
    std::uniform_real_distribution<double> draw(0, 1);
    const bool lost =
        counted || (faults_.drop_share > 0 && draw(faults_.random) < faults_.drop_share);
    if (lost) ++counts_.dropped_responses;
    return lost;
  }

  faults current_faults() const {
    const std::scoped_lock lock(mutex_);
    return faults_;
  }

  void close_connections() {
    for (const auto& opened : connections_) {
      opened->closed = true;
      opened->wake.cancel();
      opened->stream.close();
    }
  }

  asio::strand<asio::any_io_executor> strand_;
  tcp::acceptor acceptor_;
  tcp::endpoint local_;
  std::list<connection_pointer> connections_;  ///< Used on the strand only.
  mutable std::mutex mutex_;                   ///< Guards the members below.
  object_table table_;
  store_stand_in_counts counts_;
  faults faults_;
};

store_stand_in::store_stand_in(const asio::any_io_executor& executor, std::uint16_t port,
                               const std::string& address)
    : implementation_(std::make_shared<implementation>(executor, port, address)) {
  implementation_->start();
}

store_stand_in::~store_stand_in() {
  implementation_->stop();
}

std::uint16_t store_stand_in::port() const {
  return implementation_->local().port();
}

endpoint store_stand_in::address() const {
  return implementation_->local().address().to_string() + ":" + std::to_string(port());
}

void store_stand_in::stop() {
  implementation_->stop();
}

void store_stand_in::set_down(bool down) {
  implementation_->set_down(down);
}

void store_stand_in::set_unresponsive(bool unresponsive) {
  implementation_->change_faults([&](auto& current) { current.unresponsive = unresponsive; });
}

void store_stand_in::set_slow(milliseconds answer_delay, milliseconds apply_delay) {
  implementation_->change_faults([&](auto& current) {
    current.answer_delay = answer_delay;
    current.apply_delay = apply_delay;
  });
}

void store_stand_in::drop_next_responses(std::uint64_t count) {
  implementation_->change_faults([&](auto& current) { current.responses_to_drop = count; });
}

void store_stand_in::drop_response_share(double share, std::uint64_t seed) {
  implementation_->change_faults([&](auto& current) {
    current.drop_share = share;
    current.random.seed(seed);
  });
}

store_stand_in_counts store_stand_in::counts() const {
  return implementation_->counts();
}

std::optional<ownership::store_object> store_stand_in::object(std::string_view name) const {
  return implementation_->object(name);
}

std::uint64_t store_stand_in::put(std::string_view name, std::string value) {
  return implementation_->put(name, std::move(value));
}

void store_stand_in::remove(std::string_view name) {
  implementation_->remove(name);
}

}  // namespace masticshunt::store
