/// @file
/// Reads one answer from a connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "fleet/internal/body_pipe.h"
#include "fleet/internal/connection_pool.h"
#include "fleet/internal/http_server.h"

namespace masticshunt::fleet {

/// Reads the bytes of one answer as they arrive, and keeps no more of them than their parts may
/// have: a head, a chunk line and the trailers `part_bytes_max` each, a body what its pipe holds.
///
/// Life cycle: construct, `read_some` until the wanted part has arrived. Thread safety: none.
class answer_reader {
 public:
  /// Limit of a head, of a chunk line with its extensions, and of the trailers together.
  static constexpr std::uint32_t part_bytes_max = 64 * 1024;

  /// `headers_only`: the answer has no body although its head may announce one. `body_max`: bytes
  /// of a body that are read before it is ready.
  answer_reader(connection_ptr connection, bool headers_only, std::size_t body_max);

  /// Reads more of the answer. Returns false if the connection ended early or the bytes are no
  /// answer; `error` says which.
  boost::asio::awaitable<bool> read_some(boost::system::error_code& error);
  /// Reads the rest of the answer and drops its body. Returns as `read_some`.
  boost::asio::awaitable<bool> skip(boost::system::error_code& error);

  [[nodiscard]] bool head_done() const { return parser_.is_header_done(); }
  [[nodiscard]] bool done() const { return parser_.is_done(); }
  /// Returns true once the answer is complete or its body can be forwarded.
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool keep_alive() const { return parser_.keep_alive(); }
  [[nodiscard]] unsigned status() const { return parser_.get().result_int(); }
  /// Returns the head, without the trailers: these are not to be taken for its fields (RFC 9110,
  /// section 6.5.1).
  [[nodiscard]] const answer_head& head() const {
    return head_without_trailers_ ? *head_without_trailers_ : parser_.get().base();
  }
  /// Returns the body; of an answer without one it is never complete.
  [[nodiscard]] const std::shared_ptr<body_pipe>& body() const { return parser_.get().body(); }

 private:
  /// Keeps the head apart before the parser adds trailers to it, and lets it read on.
  void keep_head();

  connection_ptr connection_;
  boost::beast::http::response_parser<pipe_body> parser_;
  std::optional<answer_head> head_without_trailers_;  ///< Of an answer in chunks.
  bool needs_more_ = false;  ///< The bytes that are buffered are only the start of a part.
};

/// Adds received bytes to the buffer of `connection`. Returns false if the connection ended.
boost::asio::awaitable<bool> receive_some(client_connection& connection,
                                          boost::system::error_code& error);

/// Returns true if `error` of a reader means that the bytes are no answer, rather than that the
/// connection ended.
bool is_malformed(const boost::system::error_code& error);

}  // namespace masticshunt::fleet
