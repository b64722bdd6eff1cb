/// @file
/// Reads the boot clock. Code outside the decision code gets the current time only from here.
#pragma once

#include "masticshunt/base/time.h"

namespace masticshunt {

/// Returns the time since boot, including suspended time.
time_point boot_now();

}  // namespace masticshunt
