/// @file
/// Judges whether an answer is whole and belongs to its request.
#pragma once

#include <string>

#include "bench/internal/http_exchange.h"

namespace masticshunt::bench {

/// Returns how an attempt ended. `reason` receives the refusal's reason, or what was wrong.
attempt_outcome classify_answer(const outgoing_request& request, const incoming_answer& answer,
                                std::string& reason);

}  // namespace masticshunt::bench
