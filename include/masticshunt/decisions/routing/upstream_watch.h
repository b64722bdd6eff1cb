/// @file
/// What an agent believes of the upstream beside it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "masticshunt/base/time.h"
#include "masticshunt/decisions/routing/upstream_directory.h"

namespace masticshunt::routing {

/// One word of an upstream about itself.
struct upstream_heartbeat {
  upstream_incarnation incarnation;
  std::string service;
  std::uint32_t slots = 1;
  bool leaving = false;
  std::uint64_t sequence = 0;  ///< Rises within one life.
};

/// Follows the lives of the upstream beside an agent by its words.
///
/// Words may arrive late, also those of an earlier life: an older life, or a lower sequence of the
/// same life, changes nothing. A life that said it leaves does not come back, also where that is
/// the first word heard of it. Thread safety: none.
class upstream_watch {
 public:
  /// `silence` without a word makes the upstream count as gone.
  explicit upstream_watch(duration silence) : silence_(silence) {}

  /// Takes in a word. Returns false if it was a late one.
  bool heartbeat_received(const upstream_heartbeat& word, time_point now);
  /// The upstream called `id` said that it is gone. Returns false if it is not the present one.
  bool gone(const std::string& id, time_point now);
  /// Takes over what an earlier process on this VM last published, until the upstream is heard.
  void restore(const registration& published);

  /// Returns true if the upstream was heard lately.
  [[nodiscard]] bool present(time_point now) const {
    return word_ && heard_ && now - last_word_ < silence_;
  }
  /// Returns true if the upstream itself was heard by this process.
  [[nodiscard]] bool confirmed() const { return heard_; }
  /// Returns when it was heard last.
  [[nodiscard]] time_point last_heartbeat_at() const { return last_word_; }
  /// Returns the last word, or nothing.
  [[nodiscard]] const std::optional<upstream_heartbeat>& last() const { return word_; }
  /// Returns since when it leaves, or nothing.
  [[nodiscard]] std::optional<time_point> draining_since() const { return leaving_since_; }
  /// Returns the stage to publish.
  [[nodiscard]] upstream_stage stage(time_point now) const;

 private:
  duration silence_;
  std::optional<upstream_heartbeat> word_;
  bool heard_ = false;
  bool gone_ = false;
  time_point last_word_{};
  std::optional<time_point> leaving_since_;
};

}  // namespace masticshunt::routing
