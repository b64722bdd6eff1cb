/// @file
/// The deployment of the cases: a keyed service, a service for bookings, and a desired state.
#pragma once

#include "harness.h"

namespace review {

inline json usual_state(const std::string& version = "00000007") {
  return desired_state(
      version,
      {{"r-read", route("plan.example", "/plan/", "safe", "schleifplan", "1200ms")},
       {"r-book", route("buch.example", "/buch/", "unsafe", "sperrbuch", "800ms")}},
      {{"schleifplan", service(true)}, {"sperrbuch", service(false)}});
}

/// Returns true once all machines are ready and all keys are held, among others by target 1.
inline bool await_keys(deployment& fleet) {
  if (!fleet.await_ready(ms{15000})) return false;
  return await([&] { return fleet.book.all_held() && fleet.book.key_of("target-1") >= 0; },
               ms{20000});
}

}  // namespace review
