#include "keelbridge/base/clock.h"

#include <atomic>
#include <ctime>

#include "absl/time/clock.h"

namespace keelbridge {
namespace {

std::atomic<int64_t> suspended_for_test_ns{0};

}  // namespace

BootClock::time_point BootClock::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) +
                    std::chrono::nanoseconds(ts.tv_nsec) +
                    std::chrono::nanoseconds(
                        suspended_for_test_ns.load(std::memory_order_relaxed)));
}

void BootClock::SimulateSuspensionForTest(absl::Duration time) {
  suspended_for_test_ns += absl::ToInt64Nanoseconds(time);
}

Now SystemNow() {
  const auto since_boot = BootClock::now().time_since_epoch();
  return Now{absl::UnixEpoch() + absl::FromChrono(since_boot), absl::Now()};
}

}  // namespace keelbridge
