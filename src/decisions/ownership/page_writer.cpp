#include "masticshunt/decisions/ownership/page_writer.h"

#include <algorithm>

#include "masticshunt/decisions/ownership/page.h"

namespace masticshunt::ownership {
namespace {

constexpr double writes_per_second = 2;
constexpr double write_burst = 8;

}  // namespace

bool page_writer::may_start(time_point now) {
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ = std::min(write_burst, tokens_ + passed.count() * writes_per_second);
  refilled_ = now;
  return !busy() && tokens_ >= 1;
}

void page_writer::start(assignment_page next, std::uint64_t expected, std::string write_id,
                        time_point now) {
  next_ = std::move(next);
  next_->write_id = std::move(write_id);
  expected_ = expected;
  waiting_ = false;
  retry_at_ = now;
  tokens_ -= 1;
}

std::optional<store_write> page_writer::due(store_call_id call, time_point now) {
  if (!next_ || waiting_ || now < retry_at_) return std::nullopt;
  waiting_ = true;
  call_ = call;
  return store_write{call, page_object_name(name_of(*next_)), expected_, to_value(*next_)};
}

page_writer::write_outcome page_writer::handle_write_result(const store_write_done& result,
                                                            jitter_source& jitter, time_point now) {
  if (!next_ || !waiting_ || result.call != call_) return write_outcome::pending;
  waiting_ = false;
  if (result.version) {
    backoff_.reset();
    next_->version = *result.version;
    return write_outcome::committed;
  }
  if (result.reason.kind == failure_kind::conflict) {
    retry_at_ = now + backoff_.next_delay(jitter);
    return write_outcome::must_read;
  }
  retry_at_ = now + backoff_.next_delay(jitter);
  return write_outcome::pending;
}

page_writer::write_outcome page_writer::observe_page(const assignment_page& page) {
  if (!next_ || page.version <= expected_) return write_outcome::pending;
  const bool is_ours = page.write_id == next_->write_id;
  next_.reset();
  return is_ours ? write_outcome::committed : write_outcome::superseded;
}

}  // namespace masticshunt::ownership
