#include "keelbridge/coordination/speed_monitor.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace keelbridge {
namespace {

SpeedMonitor After(std::initializer_list<int> probes_us) {
  SpeedMonitor speed({});
  for (const int took : probes_us) speed.OnProbe(absl::Microseconds(took));
  return speed;
}

TEST_CASE("speed monitor: a node is not slowed before it has been probed") {
  CHECK_FALSE(After({}).slowed());
  CHECK_FALSE(After({900, 900}).slowed());
}

TEST_CASE("speed monitor: a node whose probes all take longer is slowed") {
  const SpeedMonitor speed = After({100, 110, 500, 520, 510});
  CHECK(speed.slowed());
  CHECK(speed.RelativeSpeed() == doctest::Approx(0.2));
}

TEST_CASE("speed monitor: a single interrupted probe is ignored") {
  CHECK_FALSE(After({100, 100, 900, 100, 900}).slowed());
  CHECK_FALSE(After({100, 900, 900, 290}).slowed());
}

TEST_CASE("speed monitor: a node recovers with its first fast probe") {
  CHECK_FALSE(After({100, 100, 500, 500, 500, 120}).slowed());
}

TEST_CASE("speed monitor: a probe that is too short to be true is ignored") {
  CHECK_FALSE(After({0, 100, 100, 100}).slowed());
  CHECK_FALSE(After({1, 100, 100, 100}).slowed());
}

}  // namespace
}  // namespace keelbridge
