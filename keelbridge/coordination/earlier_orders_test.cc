#include "keelbridge/coordination/earlier_orders.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(5);
// A time of another host's clock.
const absl::Time kShown = absl::UnixEpoch() + absl::Hours(70);
constexpr absl::Duration kGrace = absl::Seconds(6);
constexpr absl::Duration kMaxLease = absl::Seconds(10);
constexpr int64_t kEpoch = 5;

// A leader that has heard the clock of the leader `epoch`, which showed
// `kShown` 1 s ago.
EarlierOrders FencedAfterHearing(int64_t epoch) {
  EarlierOrders orders(kGrace, kMaxLease, kEpoch, kNow - absl::Seconds(2));
  LeaderClock clock;
  clock.OnReading(kShown, kNow - absl::Seconds(1));
  orders.OnLeaderClock(epoch, clock);
  orders.OnFenced(kNow);
  return orders;
}

TEST_CASE("earlier orders: a leader that cannot be asked has a grace period") {
  EarlierOrders orders(kGrace, kMaxLease, kEpoch, kNow);
  CHECK(orders.Until() == kNow + kGrace);
  orders.OnFenced(kNow + absl::Seconds(2));
  CHECK(orders.Until() == kNow + absl::Seconds(2) + kGrace);
}

TEST_CASE("earlier orders: none are from after a stop, or all from the fence") {
  EarlierOrders orders(kGrace, kMaxLease, kEpoch, kNow);
  orders.OnFenced(kNow);
  CHECK(orders.OnStopped(kNow - absl::Seconds(3)));
  CHECK(orders.Until() == kNow);
  CHECK_FALSE(orders.OnStopped(kNow + absl::Seconds(1)));
}

TEST_CASE("earlier orders: a leader stops once the next one is at work") {
  EarlierOrders orders(kGrace, kMaxLease, kEpoch, kNow);
  orders.OnFenced(kNow);
  orders.OnLeaderSeen(4, kNow - absl::Seconds(5));
  CHECK(orders.UntilOf(3) == kNow + absl::Seconds(1));
  CHECK(orders.UntilOf(4) == kNow + kGrace);
  // What this leader itself does bounds nothing.
  orders.OnLeaderSeen(kEpoch, kNow - absl::Seconds(6));
  CHECK(orders.UntilOf(4) == kNow + kGrace);
}

// Guards against recovered work that stands still for longer than a lost leader
// can have given orders.
TEST_CASE("earlier orders: the last append of the leader before bounds them") {
  EarlierOrders orders = FencedAfterHearing(kEpoch - 1);
  CHECK(orders.OnLastAppend({kEpoch - 1, kShown}));
  // 4.5 s and 2% for the rates of the clocks, from 1 s ago.
  CHECK(orders.Until() == kNow + absl::Milliseconds(3590));
  CHECK(orders.UntilOf(2) == orders.Until());
  CHECK_FALSE(orders.OnLastAppend({kEpoch - 1, kShown + absl::Seconds(9)}));
}

// Guards against a wait of the whole time for which a lost leader may have
// given orders and then a lease, though it limited its leases.
TEST_CASE(
    "earlier orders: the leader before may say when all leases are over") {
  EarlierOrders orders = FencedAfterHearing(kEpoch - 1);
  CHECK(orders.LeasesUntil() == kNow + kGrace + kMaxLease);
  CHECK(orders.OnLeasesOver({kEpoch - 1, kShown + absl::Seconds(11)}));
  // 11 s and 2%, from 1 s ago.
  CHECK(orders.LeasesUntil() == kNow + absl::Milliseconds(10220));
  CHECK(orders.LeasesUntilOf(2) == orders.LeasesUntil());
  CHECK(orders.Until() == kNow + kGrace);
  // A leader that was heard of earlier than that is bounded by its successor.
  orders.OnLeaderSeen(4, kNow - absl::Seconds(8));
  CHECK(orders.LeasesUntilOf(3) == kNow + absl::Seconds(8));
  CHECK_FALSE(orders.OnLeasesOver({kEpoch - 1, kShown + absl::Seconds(90)}));
  CHECK_FALSE(orders.OnLeasesOver({kEpoch - 2, kShown}));
}

// Guards against a second run beside that of a leader which gave orders later.
TEST_CASE("earlier orders: an append that proves nothing bounds nothing") {
  // Another leader came in between, and left none.
  EarlierOrders orders = FencedAfterHearing(kEpoch - 2);
  CHECK_FALSE(orders.OnLastAppend({kEpoch - 2, kShown}));
  // The clock of the leader before was never heard.
  CHECK_FALSE(orders.OnLastAppend({kEpoch - 1, kShown}));
  CHECK(orders.Until() == kNow + kGrace);
  CHECK(orders.LatestLocalTime({kEpoch - 1, kShown}) == absl::InfiniteFuture());
  CHECK(orders.LatestLocalTime({kEpoch - 2, kShown}) ==
        kNow - absl::Seconds(1));
}

}  // namespace
}  // namespace keelbridge
