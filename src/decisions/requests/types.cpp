#include "masticshunt/decisions/requests/types.h"

#include <array>
#include <cstddef>

namespace masticshunt::requests {

namespace {

constexpr std::array<std::string_view, 4> outcome_names{"served", "not-run", "may-have-run",
                                                        "failed"};
constexpr std::array<std::string_view, 13> reason_names{"none",
                                                        "no_owner",
                                                        "not_owner",
                                                        "overloaded",
                                                        "deadline_passed",
                                                        "draining",
                                                        "upstream_shed",
                                                        "fenced",
                                                        "repeat_unknown",
                                                        "already_running",
                                                        "bad_request",
                                                        "unknown_service",
                                                        "schema_unsupported"};

}  // namespace

std::string_view to_string(outcome value) {
  const auto index = static_cast<std::size_t>(value);
  return index < outcome_names.size() ? outcome_names[index] : "unknown";
}

std::string_view to_string(refusal_reason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < reason_names.size() ? reason_names[index] : "unknown";
}

outcome refusal_outcome(const request_descriptor& request) {
  if (request.idempotent) return outcome::not_run;
  return request.declared_attempt == 1U ? outcome::not_run : outcome::may_have_run;
}

}  // namespace masticshunt::requests
