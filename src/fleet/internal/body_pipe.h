/// @file
/// The body of a message, buffered or streamed from one connection to another.
#pragma once

#include <algorithm>
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

#include "masticshunt/decisions/requests/memory_budget.h"

namespace masticshunt::fleet {

/// Empties `text` and frees its memory, which assigning an empty text would keep.
inline void free_memory_of(std::string& text) {
  std::string().swap(text);
}

/// A body that is being received. Small bodies are buffered completely, so that they can be sent
/// again; larger ones are streamed, and the producer waits while the buffer is full. So are bodies
/// for which a budget has no room.
///
/// Thread safety: none.
class body_pipe {
 public:
  /// Bodies up to this size are buffered completely before they are forwarded.
  static constexpr std::size_t buffered_max = 512 * 1024;

  /// Forwarding starts once the body is complete or more than `buffer_max` bytes of it have
  /// arrived.
  explicit body_pipe(std::size_t buffer_max = buffered_max) : buffer_max_(buffer_max) {}

  /// Counts the buffered bytes in `held` from now on.
  void count_in(requests::held_bytes held) {
    held_ = std::move(held);
    counts_ = true;
  }
  /// Reserves room for a body of `bytes`. Returns false if the budget has not that much left.
  [[nodiscard]] bool reserve(std::uint64_t bytes) {
    return !counts_ || held_.grow_to(std::min<std::uint64_t>(bytes, buffer_max_));
  }

  /// Adds received bytes.
  void append(std::string_view bytes) {
    received_ += bytes.size();
    if (discards_) return;
    if (buffer_.empty() && length_) buffer_.reserve(std::min<std::uint64_t>(*length_, buffer_max_));
    buffer_.append(bytes);
    if (counts_ && buffer_.size() > held_.bytes() + uncounted_bytes) extend_reservation();
    if (on_change_) on_change_();
  }
  /// Marks the body as complete.
  void finish() {
    complete_ = true;
    if (on_change_) on_change_();
  }
  /// Marks the body as truncated, unless it is complete.
  void fail() {
    if (complete_) return;
    failed_ = true;
    if (on_change_) on_change_();
  }
  /// Sets the length that the sender announced.
  void announce(std::uint64_t length) { length_ = length; }

  /// Removes and returns the first buffered bytes, at most `most`; the body can't be sent again
  /// after that.
  std::string take(std::size_t most = std::string::npos) {
    taken_ = true;
    std::string bytes;
    if (buffer_.size() <= most) {
      bytes = std::exchange(buffer_, {});
    } else {
      bytes = buffer_.substr(0, most);
      buffer_.erase(0, most);
    }
    if (counts_) held_.set(buffer_.size());
    if (on_writable_) on_writable_();
    return bytes;
  }
  /// Drops what is buffered and what still arrives: nobody wants the body any more.
  void discard() {
    discards_ = true;
    taken_ = true;
    free_memory_of(buffer_);
    held_.set(0);
    if (on_writable_) on_writable_();
  }

  [[nodiscard]] const std::string& buffered() const { return buffer_; }
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Returns true if the body is complete and none of its bytes were taken.
  [[nodiscard]] bool fully_buffered() const { return complete_ && !taken_; }
  /// Returns true once forwarding can start: the body is complete or truncated, or fills the
  /// buffer.
  [[nodiscard]] bool ready() const { return complete_ || failed_ || taken_ || full(); }
  /// Returns true while the buffer is full and the producer should wait.
  [[nodiscard]] bool full() const {
    return buffer_.size() >= buffer_max_ || (over_budget_ && !buffer_.empty());
  }
  /// Returns true if the budget has no room for the rest of the body. What has arrived is buffered.
  [[nodiscard]] bool over_budget() const { return over_budget_; }
  /// Returns true if bytes were taken, so that the body can't be sent again.
  [[nodiscard]] bool taken() const { return taken_; }
  [[nodiscard]] std::uint64_t received() const { return received_; }
  [[nodiscard]] std::optional<std::uint64_t> length() const {
    return complete_ && !taken_ ? std::optional<std::uint64_t>{buffer_.size()} : length_;
  }

  /// Sets the callback for new bytes and for the end of the body.
  void on_change(std::function<void()> action) { on_change_ = std::move(action); }
  /// Sets the callback that runs when the producer may continue.
  void on_writable(std::function<void()> action) { on_writable_ = std::move(action); }

 private:
  /// Most answers are smaller, and held for a moment only.
  static constexpr std::size_t uncounted_bytes = 8 * 1024;
  /// Bodies of unknown length reserve this much at a time.
  static constexpr std::size_t reservation_step = 32 * 1024;

  void extend_reservation() {
    const auto steps = buffer_.size() / reservation_step + 1;
    over_budget_ = !held_.grow_to(steps * reservation_step);
    if (over_budget_) held_.set(buffer_.size());
  }

  std::size_t buffer_max_;
  requests::held_bytes held_;
  bool counts_ = false;
  bool over_budget_ = false;
  bool discards_ = false;
  std::string buffer_;
  std::uint64_t received_ = 0;
  std::optional<std::uint64_t> length_;
  bool complete_ = false;
  bool failed_ = false;
  bool taken_ = false;
  std::function<void()> on_change_;
  std::function<void()> on_writable_;
};

/// A body type for Beast's parsers that writes into a `body_pipe`.
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
