#include "keelbridge/coordination/leader_clock.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kLocal = absl::UnixEpoch() + absl::Hours(5);
const absl::Time kShown = absl::UnixEpoch() + absl::Hours(900);

TEST_CASE("leader clock: a clock that was never read says nothing") {
  const LeaderClock clock;
  CHECK(clock.LatestLocalTime(kShown) == absl::InfiniteFuture());
  CHECK_FALSE(clock.ShownAt(kLocal).has_value());
}

TEST_CASE("leader clock: a reading maps times before and after it") {
  LeaderClock clock;
  clock.OnReading(kShown, kLocal);
  CHECK(clock.LatestLocalTime(kShown) == kLocal);
  CHECK(clock.LatestLocalTime(kShown + absl::Seconds(10)) ==
        kLocal + absl::Milliseconds(10200));
  CHECK(clock.LatestLocalTime(kShown - absl::Seconds(10)) ==
        kLocal - absl::Milliseconds(9800));
}

// Guards against a lease that counts as over too early where one host's clock
// is slower than the other's.
TEST_CASE("leader clock: no time is mapped before it has passed") {
  constexpr absl::Duration kAnswerDelay = absl::Milliseconds(40);
  for (const double rate : {0.981, 1.0, 1.019}) {
    CAPTURE(rate);
    // What the leader's clock shows at the local time.
    const auto shown_at = [rate](absl::Time local) {
      return kShown + (local - kLocal) * rate;
    };
    LeaderClock clock;
    clock.OnReading(shown_at(kLocal), kLocal + kAnswerDelay);
    for (int seconds = -30; seconds <= 30; ++seconds) {
      const absl::Time local = kLocal + absl::Seconds(seconds);
      CHECK(clock.LatestLocalTime(shown_at(local)) >= local);
      if (const auto shown = clock.ShownAt(local))
        CHECK(*shown <= shown_at(local));
    }
  }
}

TEST_CASE("leader clock: the latest reading counts") {
  LeaderClock clock;
  clock.OnReading(kShown, kLocal);
  clock.OnReading(kShown + absl::Seconds(50), kLocal + absl::Seconds(51));
  CHECK(clock.LatestLocalTime(kShown + absl::Seconds(50)) ==
        kLocal + absl::Seconds(51));
  CHECK(clock.ShownAt(kLocal + absl::Seconds(51)) ==
        kShown + absl::Seconds(50));
  CHECK_FALSE(clock.ShownAt(kLocal + absl::Seconds(50)).has_value());
}

}  // namespace
}  // namespace keelbridge
