#include "masticshunt/support/clock.h"

#include <ctime>

namespace masticshunt {

time_point boot_now() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point{std::chrono::seconds{reading.tv_sec} +
                    std::chrono::nanoseconds{reading.tv_nsec}};
}

}  // namespace masticshunt
