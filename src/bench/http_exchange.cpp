#include "bench/internal/http_exchange.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "masticshunt/support/http_head.h"
#include "masticshunt/support/socket_options.h"
#include "upstream/internal/stand_in_hash.h"

namespace masticshunt::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using upstream::body_hash;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable_t<strand_executor>{});
constexpr std::size_t block_bytes = 65'536;
constexpr std::size_t text_limit_bytes = 65'536;
constexpr std::chrono::milliseconds refusal_wait{500};

/// Returns the pseudo-random bytes that bodies are taken from; see `body_start`.
const std::vector<char>& body_block() {
  static const std::vector<char> block = [] {
    std::vector<char> bytes(2 * block_bytes);
    std::uint64_t state = 88172645463325252ULL;
    std::ranges::generate(bytes, [&] {
      state = state * 6364136223846793005ULL + 1442695040888963407ULL;
      return static_cast<char>(state >> 56);
    });
    return bytes;
  }();
  return block;
}

/// Returns the start of the body in the block; the offset depends on the request id, so that bodies
/// differ.
const char* body_start(const outgoing_request& request) {
  return body_block().data() + hash_of_key(request.request_id) % block_bytes;
}

template <class Function>
void for_each_block(std::uint64_t bytes, Function use) {
  for (; bytes > 0; bytes -= std::min<std::uint64_t>(bytes, block_bytes)) {
    use(std::min<std::uint64_t>(bytes, block_bytes));
  }
}

http::request<http::empty_body> make_header(const outgoing_request& request) {
  http::request<http::empty_body> header(http::verb::unknown, request.target, 11);
  header.method_string(request.method);
  header.set(http::field::host, "masticshunt");
  header.set("X-Request-Id", request.request_id);
  if (!request.idempotency_key.empty()) header.set("Idempotency-Key", request.idempotency_key);
  header.set("Masticshunt-Deadline-Ms", std::to_string(request.time_remaining.count()));
  if (!request.direct) {
    if (!request.rank.empty()) header.set("Masticshunt-Rank", request.rank);
    header.set("Masticshunt-Caller", request.caller);
    header.set("Masticshunt-Attempt", std::to_string(request.attempt));
  }
  if (request.body_bytes > 0 || request.method == "POST") {
    header.content_length(request.body_bytes);
  }
  return header;
}

awaitable<bool> send(pooled_connection& connection, const outgoing_request& request) {
  auto header = make_header(request);
  http::request_serializer<http::empty_body> serializer(header);
  auto [header_error, header_count] =
      co_await http::async_write_header(connection.stream, serializer, as_result);
  if (header_error) co_return false;
  for (std::uint64_t remaining = request.body_bytes; remaining > 0;) {
    const auto size = std::min<std::uint64_t>(remaining, block_bytes);
    auto [error, count] = co_await asio::async_write(
        connection.stream, asio::buffer(body_start(request), size), as_result);
    if (error) co_return false;
    remaining -= size;
  }
  co_return true;
}

void copy_header(const http::response_header<>& header, incoming_answer& answer) {
  const auto field = [&](const char* name) { return std::string(header[name]); };
  answer.status = static_cast<std::uint16_t>(header.result_int());
  answer.outcome = field("Masticshunt-Outcome");
  answer.owner = field("Masticshunt-Owner");
  answer.answer_for = field("X-Answer-For");
  answer.answer_hash = field("X-Answer-Xxh64");
}

awaitable<void> receive(pooled_connection& connection, incoming_answer& answer) {
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  auto [header_error, header_count] =
      co_await http::async_read_header(connection.stream, connection.buffer, parser, as_result);
  answer.timed_out = header_error == boost::beast::error::timeout;
  if (header_error || parser.get().result_int() < support::first_status) co_return;
  copy_header(parser.get(), answer);
  body_hash hash;
  std::vector<char> block(block_bytes);
  while (!parser.is_done()) {
    parser.get().body().data = block.data();
    parser.get().body().size = block.size();
    auto [error, count] =
        co_await http::async_read(connection.stream, connection.buffer, parser, as_result);
    answer.timed_out = error == boost::beast::error::timeout;
    if (error && error != http::error::need_buffer) co_return;
    const std::size_t size = block.size() - parser.get().body().size;
    hash.update(block.data(), size);
    answer.body_bytes += size;
    answer.text.append(block.data(), std::min(size, text_limit_bytes - answer.text.size()));
  }
  answer.body_hash = hash.digest();
  answer.complete = !parser.need_eof() ||
                    support::peer_ended_in_order(connection.stream.socket().native_handle());
  // Bytes after the answer belong to no request.
  answer.keep_alive = parser.keep_alive() && connection.buffer.size() == 0;
}

/// Returns true if the peer has neither closed the idle connection nor written to it.
bool is_reusable(pooled_connection& connection) {
  char byte = 0;
  boost::system::error_code error;
  auto& socket = connection.stream.socket();
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

std::uint64_t hash_of_body(const outgoing_request& request) {
  body_hash hash;
  for_each_block(request.body_bytes,
                 [&](std::size_t size) { hash.update(body_start(request), size); });
  return hash.digest();
}

awaitable<incoming_answer> exchange(pooled_connection& connection, const outgoing_request& request,
                                    steady_time until) {
  incoming_answer answer;
  connection.fresh = false;
  connection.stream.expires_at(until);
  answer.sent = true;
  const bool request_sent = co_await send(connection, request);
  // The peer may have refused the request before the whole body was sent.
  if (!request_sent) {
    connection.stream.expires_at(std::min(until, std::chrono::steady_clock::now() + refusal_wait));
  }
  co_await receive(connection, answer);
  if (!request_sent) answer.keep_alive = false;
  connection.stream.expires_never();
  co_return answer;
}

/// Waits for a connection; `granted` is set when a connection or its capacity is handed over.
struct connection_pool::waiter {
  strand_timer timer;
  bool granted = false;
  pooled_connection_ptr connection;
};

connection_pool::connection_pool(const strand_executor& executor, asio::ip::tcp::endpoint remote,
                                 std::uint32_t limit)
    : executor_(executor), remote_(std::move(remote)), limit_(limit) {}

awaitable<pooled_connection_ptr> connection_pool::connect(steady_time until) {
  auto connection = std::make_unique<pooled_connection>(executor_);
  connection->stream.expires_at(until);
  auto [error] = co_await connection->stream.async_connect(remote_, as_result);
  if (error) {
    release(nullptr);
    co_return nullptr;
  }
  boost::system::error_code ignored;
  connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  co_return connection;
}

awaitable<pooled_connection_ptr> connection_pool::acquire(steady_time until) {
  while (!free_.empty()) {
    auto connection = std::move(free_.back());
    free_.pop_back();
    if (is_reusable(*connection)) co_return connection;
    --open_;
  }
  if (open_ < limit_) {
    ++open_;
    co_return co_await connect(until);
  }
  auto pending = std::make_shared<waiter>(waiter{strand_timer(executor_), false, nullptr});
  pending->timer.expires_at(until);
  waiting_.push_back(pending);
  co_await pending->timer.async_wait(as_result);
  if (!pending->granted) {
    std::erase(waiting_, pending);
    co_return nullptr;
  }
  if (pending->connection) co_return std::move(pending->connection);
  co_return co_await connect(until);
}

void connection_pool::release(pooled_connection_ptr connection) {
  if (!waiting_.empty()) {
    const auto next = waiting_.front();
    waiting_.pop_front();
    next->granted = true;
    next->connection = std::move(connection);
    next->timer.cancel();
    return;
  }
  if (connection) {
    free_.push_back(std::move(connection));
  } else {
    --open_;
  }
}

}  // namespace masticshunt::bench
