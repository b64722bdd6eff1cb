/// @file
/// Reads the boot clock. The only place where the product reads the clock that drives the decision
/// code.
#pragma once

#include "masticshunt/base/time.h"

namespace masticshunt {

/// Returns the time since boot, including suspended time.
time_point boot_now();

}  // namespace masticshunt
