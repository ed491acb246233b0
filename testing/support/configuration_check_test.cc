#include "testing/support/configuration_check.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"

namespace keelbridge::testing {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000) + absl::Seconds(seconds);
}

// A sight of an undisturbed first life that is in touch since `since`.
ConfigurationCheck::Sight Sight(int64_t version, double asked,
                                double since = 0) {
  ConfigurationCheck::Sight sight;
  sight.version = version;
  sight.asked = At(asked);
  sight.before.since = At(since);
  sight.after = sight.before;
  return sight;
}

TEST_CASE("configuration check: a change is due 5 s after it was written") {
  ConfigurationCheck check(1);
  check.Written(1, At(0));
  check.Written(2, At(10));
  CHECK(check.Seen(Sight(1, 14.9)).empty());
  CHECK(absl::StrContains(check.Seen(Sight(1, 15.1)), "after version 2"));
  CHECK(check.Seen(Sight(2, 15.2)).empty());
}

TEST_CASE("configuration check: a newer change does not excuse an older one") {
  ConfigurationCheck check(1);
  check.Written(2, At(10));
  check.Written(3, At(14));
  CHECK(absl::StrContains(check.Seen(Sight(1, 15.1)), "after version 2"));
  CHECK(check.Seen(Sight(2, 15.2)).empty());
  CHECK(absl::StrContains(check.Seen(Sight(2, 19.1)), "after version 3"));
}

TEST_CASE("configuration check: a node without any version is late too") {
  ConfigurationCheck check(1);
  check.Written(1, At(0));
  CHECK(check.Seen(Sight(0, 4)).empty());
  CHECK_FALSE(check.Seen(Sight(0, 6)).empty());
}

TEST_CASE("configuration check: time counts from when a node is in touch") {
  ConfigurationCheck check(1);
  check.Written(2, At(10));
  CHECK(check.Seen(Sight(1, 24.9, 20)).empty());
  CHECK_FALSE(check.Seen(Sight(1, 25.1, 20)).empty());
}

TEST_CASE("configuration check: a node disturbed meanwhile is not late") {
  ConfigurationCheck check(1);
  check.Written(2, At(10));
  ConfigurationCheck::Sight sight = Sight(1, 30);
  sight.after.since = absl::InfiniteFuture();
  CHECK(check.Seen(sight).empty());
  sight.before.since = absl::InfiniteFuture();
  CHECK(check.Seen(sight).empty());
}

TEST_CASE("configuration check: no life goes back, disturbed or not") {
  ConfigurationCheck check(1);
  check.Written(1, At(0));
  check.Written(2, At(10));
  CHECK(check.Seen(Sight(2, 11)).empty());
  ConfigurationCheck::Sight back = Sight(1, 12);
  back.before.since = absl::InfiniteFuture();
  back.after = back.before;
  CHECK(absl::StrContains(check.Seen(back), "went back"));
  // Another life may begin with an older one.
  back.before.life = 1;
  back.after.life = 1;
  CHECK(check.Seen(back).empty());
}

TEST_CASE(
    "configuration check: refusing everything is not going back, but late in "
    "time") {
  ConfigurationCheck check(1);
  check.Written(1, At(0));
  CHECK(check.Seen(Sight(1, 1)).empty());
  CHECK(check.Seen(Sight(0, 4.9)).empty());
  CHECK(absl::StrContains(check.Seen(Sight(0, 5.1)), "after version 1"));
  // It still counts what this life served by before.
  check.Written(2, At(6));
  CHECK(check.Seen(Sight(2, 6.1)).empty());
  CHECK(check.Seen(Sight(0, 6.2, 6)).empty());
  CHECK(absl::StrContains(check.Seen(Sight(1, 6.3, 6)), "went back"));
}

TEST_CASE("configuration check: the slowest sight of a change") {
  ConfigurationCheck check(1);
  check.Written(2, At(10));
  CHECK(check.Seen(Sight(2, 12)).empty());
  CHECK(check.Seen(Sight(2, 14)).empty());
  CHECK(check.slowest() == absl::Seconds(2));
  CHECK(check.ServesNewest(0, 0));
  CHECK_FALSE(check.ServesNewest(0, 1));
  check.Written(3, At(20));
  CHECK_FALSE(check.ServesNewest(0, 0));
}

}  // namespace
}  // namespace keelbridge::testing
