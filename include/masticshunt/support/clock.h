/// @file
/// The one place where the product reads the clock that decisions are driven by.
#pragma once

#include "masticshunt/base/time.h"

namespace masticshunt {

/// Returns the time since boot, suspended time included.
time_point boot_now();

}  // namespace masticshunt
