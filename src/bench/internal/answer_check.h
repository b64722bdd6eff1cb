/// @file
/// Checks that an answer is complete and belongs to its request.
#pragma once

#include <string>

#include "bench/internal/http_exchange.h"

namespace masticshunt::bench {

/// Returns the outcome of an attempt. `reason` receives the refusal's reason or the error found.
attempt_outcome classify_answer(const outgoing_request& request, const incoming_answer& answer,
                                std::string& reason);

}  // namespace masticshunt::bench
