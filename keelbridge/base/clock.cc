#include "keelbridge/base/clock.h"

#include <ctime>

#include "absl/time/clock.h"

namespace keelbridge {

Now SystemNow() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return Now{absl::TimeFromTimespec(ts), absl::Now()};
}

}  // namespace keelbridge
