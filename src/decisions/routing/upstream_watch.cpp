#include "masticshunt/decisions/routing/upstream_watch.h"

namespace masticshunt::routing {

namespace {

constexpr std::int64_t birth_unknown = 0;
/// Words of a life that is gone may arrive this much later; after that they are another life's.
constexpr duration late_words_for = std::chrono::seconds{10};

}  // namespace

bool upstream_watch::heartbeat_received(const upstream_heartbeat& word, time_point now) {
  if (word_) {
    const bool just_gone = gone_ && word_->incarnation.start_ms == birth_unknown &&
                           word_->incarnation.id == word.incarnation.id &&
                           now - *leaving_since_ < late_words_for;
    if (just_gone) word_->incarnation = word.incarnation;
    const bool same_life = word_->incarnation == word.incarnation;
    if (same_life && heard_ && word.sequence <= word_->sequence) return false;
    if (!same_life && word.incarnation.start_ms < word_->incarnation.start_ms) return false;
    // Without a time of birth another id is a new life only once the old one is done for.
    if (!same_life && word.incarnation.start_ms == word_->incarnation.start_ms &&
        word.incarnation.id == word_->incarnation.id)
      return false;
    if (!same_life) {
      gone_ = false;
      leaving_since_.reset();
    }
  }
  word_ = word;
  heard_ = true;
  last_word_ = now;
  if ((word.leaving || gone_) && !leaving_since_) leaving_since_ = now;
  return true;
}

bool upstream_watch::gone(const std::string& id, time_point now) {
  // It may be the first word that this process hears; when that life was born is not known then.
  if (!word_) word_ = upstream_heartbeat{.incarnation = {.id = id, .start_ms = birth_unknown}};
  if (word_->incarnation.id != id) return false;
  gone_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

void upstream_watch::restore(const registration& published) {
  if (word_ || published.incarnation.id.empty()) return;
  word_ = upstream_heartbeat{.incarnation = published.incarnation,
                             .service = published.service,
                             .slots = published.slots,
                             .leaving = published.stage != upstream_stage::ready};
  gone_ = published.stage == upstream_stage::gone;
  if (word_->leaving) leaving_since_ = time_point{};
}

upstream_stage upstream_watch::stage(time_point now) const {
  if (gone_ || !present(now)) return upstream_stage::gone;
  return leaving_since_ ? upstream_stage::draining : upstream_stage::ready;
}

}  // namespace masticshunt::routing
