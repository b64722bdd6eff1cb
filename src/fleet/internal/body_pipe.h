/// @file
/// The bytes of a body on their way from one connection to another.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace masticshunt::fleet {

/// A body being received. Small bodies are held whole, so that they can be sent again; larger ones
/// flow through, and the producer waits while too much is held.
///
/// Thread safety: none.
class body_pipe {
 public:
  /// Bodies up to this size are held whole before they are passed on.
  static constexpr std::size_t buffered_max = 512 * 1024;

  /// Adds received bytes.
  void append(std::string_view bytes) {
    held_.append(bytes);
    received_ += bytes.size();
    if (on_change_) on_change_();
  }
  /// The body has ended as it should.
  void finish() {
    complete_ = true;
    if (on_change_) on_change_();
  }
  /// The body was cut off.
  void fail() {
    if (complete_) return;
    failed_ = true;
    if (on_change_) on_change_();
  }
  /// States the length that the sender announced.
  void announce(std::uint64_t length) { length_ = length; }

  /// Takes the bytes held; the body can't be sent again after that.
  std::string take() {
    taken_ = true;
    auto bytes = std::exchange(held_, {});
    if (on_room_) on_room_();
    return bytes;
  }

  [[nodiscard]] const std::string& buffered() const { return held_; }
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Returns true if the whole body is held.
  [[nodiscard]] bool fully_buffered() const { return complete_ && !taken_; }
  /// Returns true once the body is to be passed on: it is whole, cut off, or too large to hold.
  [[nodiscard]] bool ready() const {
    return complete_ || failed_ || taken_ || held_.size() >= buffered_max;
  }
  /// Returns true while the producer should wait.
  [[nodiscard]] bool full() const { return held_.size() >= buffered_max; }
  /// Returns true if bytes were taken, so that the body can't be sent again.
  [[nodiscard]] bool taken() const { return taken_; }
  [[nodiscard]] std::uint64_t received() const { return received_; }
  [[nodiscard]] std::optional<std::uint64_t> length() const {
    return complete_ && !taken_ ? std::optional<std::uint64_t>{held_.size()} : length_;
  }

  /// Sets who is told of new bytes and of the end.
  void on_change(std::function<void()> action) { on_change_ = std::move(action); }
  /// Sets who is told that the producer may go on.
  void on_writable(std::function<void()> action) { on_room_ = std::move(action); }

 private:
  std::string held_;
  std::uint64_t received_ = 0;
  std::optional<std::uint64_t> length_;
  bool complete_ = false;
  bool failed_ = false;
  bool taken_ = false;
  std::function<void()> on_change_;
  std::function<void()> on_room_;
};

/// A body type of Beast's parsers that fills a pipe.
struct pipe_body {
  using value_type = std::shared_ptr<body_pipe>;

  class reader {
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& pipe)
        : pipe_(pipe) {
      if (!pipe_) pipe_ = std::make_shared<body_pipe>();
    }
    void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error) {
      if (length) pipe_->announce(*length);
      error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (const auto part : boost::beast::buffers_range_ref(buffers)) {
        pipe_->append({static_cast<const char*>(part.data()), part.size()});
        taken += part.size();
      }
      return taken;
    }
    void finish(boost::beast::error_code& error) {
      error = {};
      pipe_->finish();
    }

   private:
    value_type& pipe_;
  };
};

}  // namespace masticshunt::fleet
