#include "keelbridge/base/clock.h"

#include <doctest/doctest.h>

#include <ctime>

namespace keelbridge {
namespace {

TEST_CASE("clock: the steady clock advances during a suspension") {
  timespec before{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const absl::Time read = SystemNow().mono;
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &after);
  // Other tests in this process may have simulated suspensions, so the clock
  // may already be ahead of CLOCK_BOOTTIME.
  BootClock::SimulateSuspensionForTest(absl::Seconds(3));
  const absl::Duration elapsed = SystemNow().mono - read;
  CHECK(elapsed >= absl::Seconds(3));
  CHECK(elapsed < absl::Seconds(4));
  CHECK(read >= absl::TimeFromTimespec(before));
  CHECK(SystemNow().mono >= absl::TimeFromTimespec(after));
}

}  // namespace
}  // namespace keelbridge
