#include "masticshunt/decisions/routing/upstream_watch.h"

namespace masticshunt::routing {

namespace {

constexpr std::int64_t birth_unknown = 0;
/// Words of a life that is gone may arrive this much later; after that they are another life's.
constexpr duration late_words_for = std::chrono::seconds{10};

}  // namespace

bool upstream_watch::heard(const upstream_word& word, time_point now) {
  if (word_) {
    const bool just_gone = gone_ && word_->life.born_ms == birth_unknown &&
                           word_->life.id == word.life.id && now - *leaving_since_ < late_words_for;
    if (just_gone) word_->life = word.life;
    const bool same_life = word_->life == word.life;
    if (same_life && heard_ && word.sequence <= word_->sequence) return false;
    if (!same_life && word.life.born_ms < word_->life.born_ms) return false;
    // Without a time of birth another id is a new life only once the old one is done for.
    if (!same_life && word.life.born_ms == word_->life.born_ms && word.life.id == word_->life.id)
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
  if (!word_) word_ = upstream_word{.life = {.id = id, .born_ms = birth_unknown}};
  if (word_->life.id != id) return false;
  gone_ = true;
  if (!leaving_since_) leaving_since_ = now;
  return true;
}

void upstream_watch::assume(const registration& published) {
  if (word_ || published.life.id.empty()) return;
  word_ = upstream_word{.life = published.life,
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
