#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "upstream/internal/stand_in_hash.h"
#include "upstream/internal/stand_in_server.h"

namespace masticshunt::upstream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable_t<strand_executor>{});
constexpr std::size_t drain_limit_bytes = 1'048'576;
constexpr std::chrono::seconds drain_timeout{1};

/// Calls `use` with the size of each block of a body of `bytes`.
template <class Function>
void for_each_block(std::uint64_t bytes, Function use) {
  for (; bytes > 0; bytes -= std::min<std::uint64_t>(bytes, stream_block_bytes)) {
    use(std::min<std::uint64_t>(bytes, stream_block_bytes));
  }
}

std::uint64_t hash_of_answer(const std::vector<char>& block, std::uint64_t bytes) {
  body_hash hash;
  for_each_block(bytes, [&](std::size_t size) { hash.update(block.data(), size); });
  return hash.digest();
}

}  // namespace

stand_in::implementation::awaitable<bool> stand_in::implementation::refuse(
    connection_ptr connection, stand_in_parser& parser, http::status status,
    std::string_view outcome, std::string_view why) {
  stand_in_answer response(status, 11);
  response.set("Masticshunt-Outcome", boost::beast::string_view(outcome.data(), outcome.size()));
  response.set("X-Answer-For", parser.get()["X-Request-Id"]);
  response.set(http::field::content_type, "application/json");
  response.body() = nlohmann::json{{"outcome", outcome}, {"reason", why}}.dump();
  co_return co_await answer(connection, parser, response);
}

stand_in::implementation::awaitable<bool> stand_in::implementation::answer(
    connection_ptr connection, stand_in_parser& parser, stand_in_answer& response) {
  const bool keep_open = parser.is_done() && parser.keep_alive();
  const bool is_head = parser.get().method() == http::verb::head;
  response.keep_alive(keep_open);
  response.prepare_payload();
  if (is_head) response.body().clear();
  auto [error, count] = co_await http::async_write(connection->socket, response, as_result);
  if (error) co_return false;
  if (!keep_open) co_await close_gracefully(connection);
  co_return keep_open;
}

stand_in::implementation::awaitable<bool> stand_in::implementation::stream_answer(
    connection_ptr connection, stand_in_parser& parser, const stand_in_request& request) {
  std::vector<char> block(stream_block_bytes);
  fill_answer_block(request.request_id, block);
  http::response<http::empty_body> header(http::status::ok, 11);
  header.set(http::field::content_type, "application/octet-stream");
  header.set("X-Answer-For", request.request_id);
  header.set("X-Answer-Xxh64", to_hexadecimal(hash_of_answer(block, request.answer_bytes)));
  header.content_length(request.answer_bytes);
  header.keep_alive(parser.keep_alive());
  http::response_serializer<http::empty_body> serializer(header);
  auto [header_error, header_count] =
      co_await http::async_write_header(connection->socket, serializer, as_result);
  if (header_error) co_return false;
  if (request.method == "HEAD") co_return parser.keep_alive();
  for (std::uint64_t remaining = request.answer_bytes; remaining > 0;) {
    const auto size = std::min<std::uint64_t>(remaining, block.size());
    auto [error, count] =
        co_await asio::async_write(connection->socket, asio::buffer(block.data(), size), as_result);
    if (error || !is_current(connection)) co_return false;
    co_await wait_out_faults(connection);
    remaining -= size;
  }
  co_return parser.keep_alive();
}

stand_in::implementation::awaitable<void> stand_in::implementation::close_gracefully(
    connection_ptr connection) {
  boost::system::error_code ignored;
  connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
  std::vector<char> block(stream_block_bytes);
  strand_timer timer(strand_, drain_timeout);
  timer.async_wait([connection](const boost::system::error_code& error) {
    boost::system::error_code close_error;
    if (!error) connection->socket.close(close_error);
  });
  for (std::size_t drained = 0; drained < drain_limit_bytes;) {
    auto [error, count] =
        co_await connection->socket.async_read_some(asio::buffer(block), as_result);
    if (error) co_return;
    drained += count;
  }
}

}  // namespace masticshunt::upstream
