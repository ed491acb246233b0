#include "keelbridge/base/clock.h"

#include <doctest/doctest.h>

#include <ctime>

namespace keelbridge {
namespace {

TEST_CASE(
    "clock: the steady clock is the one that a suspension does not stop") {
  timespec before{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const absl::Time read = SystemNow().mono;
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &after);
  // Other tests may have played suspensions: the process is some of them ahead.
  BootClock::SimulateSuspensionForTest(absl::Seconds(3));
  const absl::Duration elapsed = SystemNow().mono - read;
  CHECK(elapsed >= absl::Seconds(3));
  CHECK(elapsed < absl::Seconds(4));
  CHECK(read >= absl::TimeFromTimespec(before));
  CHECK(SystemNow().mono >= absl::TimeFromTimespec(after));
}

}  // namespace
}  // namespace keelbridge
