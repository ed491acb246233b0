#include "keelbridge/coordination/freshness.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

using Role = Freshness::Role;

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

absl::Time At(int64_t ms) { return kStart + absl::Milliseconds(ms); }

TEST_CASE(
    "freshness: data that was never confirmed is due for refresh and denies "
    "nothing") {
  Freshness freshness({});
  CHECK(freshness.Age(kStart) == absl::InfiniteDuration());
  CHECK_FALSE(freshness.MayDeny(kStart));
  CHECK(freshness.RefreshDue(Role::kFollower, kStart));
}

TEST_CASE("freshness: a refresh stays due until the data is confirmed") {
  Freshness freshness({});
  freshness.OnConfirmed(At(0));
  CHECK(freshness.MayDeny(At(500)));
  CHECK_FALSE(freshness.RefreshDue(Role::kFollower, At(1499)));
  CHECK(freshness.RefreshDue(Role::kFollower, At(1500)));
  CHECK(freshness.RefreshDue(Role::kFollower, At(1900)));
  CHECK(freshness.RefreshDue(Role::kFollower, At(2000)));
  CHECK(freshness.MayDeny(At(2000)));
  CHECK_FALSE(freshness.MayDeny(At(2001)));
  freshness.OnConfirmed(At(1900));
  CHECK_FALSE(freshness.RefreshDue(Role::kFollower, At(2500)));
  CHECK(freshness.MayDeny(At(2500)));
}

TEST_CASE("freshness: a leader refreshes before its followers do") {
  Freshness freshness({});
  freshness.OnConfirmed(At(0));
  CHECK_FALSE(freshness.RefreshDue(Role::kLeader, At(499)));
  CHECK_FALSE(freshness.RefreshDue(Role::kFollower, At(800)));
  CHECK(freshness.RefreshDue(Role::kLeader, At(500)));
}

TEST_CASE("freshness: an older confirmation does not replace a newer one") {
  Freshness freshness({});
  freshness.OnConfirmed(At(1000));
  freshness.OnConfirmed(At(200));
  CHECK(freshness.Age(At(1500)) == absl::Milliseconds(500));
}

}  // namespace
}  // namespace keelbridge
