#include "bench/internal/answer_check.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace masticshunt::bench {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_gateway = 502;

std::uint64_t parse_hexadecimal(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

attempt_outcome refusal_outcome(const incoming_answer& answer, std::string& reason) {
  const auto body = nlohmann::json::parse(answer.text, nullptr, false);
  if (body.is_object()) reason = body.value("reason", "");
  if (answer.outcome == "not-run") return attempt_outcome::not_run;
  if (answer.outcome == "may-have-run") return attempt_outcome::may_have_run;
  if (answer.outcome == "failed" || answer.status >= status_bad_gateway)
    return attempt_outcome::failed;
  reason = "answer has no recognised outcome";
  return attempt_outcome::invalid_answer;
}

/// Returns the error in the receipt of an upstream stand-in, or an empty string.
std::string receipt_error(const outgoing_request& request, const incoming_answer& answer) {
  const auto body = nlohmann::json::parse(answer.text, nullptr, false);
  if (!body.is_object()) return "receipt is not a JSON object although the answer was complete";
  const bool matches = request.idempotency_key.empty()
                           ? body.value("request_id", "") == request.request_id
                           : body.value("identity", "") == request.idempotency_key;
  if (!matches) return "receipt belongs to another request";
  if (body.value("body_bytes", std::uint64_t{0}) != request.body_bytes) {
    return "upstream received a body of another length";
  }
  return {};
}

/// Returns the error in a complete answer of an upstream stand-in, or an empty string.
std::string answer_error(const outgoing_request& request, const incoming_answer& answer) {
  if (request.method == "HEAD") return {};
  if (!answer.answer_hash.empty() && parse_hexadecimal(answer.answer_hash) != answer.body_hash) {
    return "answer checksum mismatch";
  }
  if (request.answer_bytes == 0) return receipt_error(request, answer);
  if (answer.body_bytes != request.answer_bytes)
    return "answer has the wrong length although it was complete";
  if (answer.answer_for != request.request_id) return "answer belongs to another request";
  return {};
}

}  // namespace

attempt_outcome classify_answer(const outgoing_request& request, const incoming_answer& answer,
                                std::string& reason) {
  if (answer.timed_out) return attempt_outcome::timed_out;
  if (!answer.complete) return attempt_outcome::truncated;
  const bool served = answer.outcome == "served" ||
                      (answer.outcome.empty() && request.direct && answer.status == status_ok);
  if (!served) return refusal_outcome(answer, reason);
  if (answer.status != status_ok) return attempt_outcome::failed;
  reason = answer_error(request, answer);
  return reason.empty() ? attempt_outcome::served : attempt_outcome::invalid_answer;
}

}  // namespace masticshunt::bench
