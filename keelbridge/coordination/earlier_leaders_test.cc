#include "keelbridge/coordination/earlier_leaders.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE(
    "earlier leaders: the last order counts instead of the time of the "
    "answer") {
  EarlierLeaders earlier({"a", "b"}, kBegin);
  CHECK_FALSE(earlier.AllStopped());
  earlier.OnStopped("a", absl::Seconds(5), kBegin + absl::Seconds(20));
  CHECK_FALSE(earlier.AllStopped());
  CHECK(earlier.LastOrderTime() == kBegin + absl::Milliseconds(15100));
  earlier.OnStopped("b", absl::Seconds(10), kBegin + absl::Seconds(20));
  CHECK(earlier.AllStopped());
  CHECK(earlier.LastOrderTime() == kBegin + absl::Milliseconds(15100));
}

TEST_CASE("earlier leaders: only the first answer of a leader counts") {
  EarlierLeaders earlier({"a"}, kBegin);
  earlier.OnStopped("a", absl::Seconds(10), kBegin + absl::Seconds(10));
  earlier.OnStopped("a", absl::ZeroDuration(), kBegin + absl::Seconds(60));
  CHECK(earlier.LastOrderTime() < kBegin + absl::Seconds(1));
}

// An answer without an idle time comes from a node of an older version and
// counts as an idle time of zero.
TEST_CASE(
    "earlier leaders: an answer without an idle time counts as an order sent "
    "now") {
  EarlierLeaders earlier({"a"}, kBegin);
  earlier.OnStopped("a", absl::ZeroDuration(), kBegin + absl::Seconds(9));
  CHECK(earlier.LastOrderTime() == kBegin + absl::Seconds(9));
}

TEST_CASE("earlier leaders: no other node has led") {
  const EarlierLeaders earlier({}, kBegin);
  CHECK(earlier.AllStopped());
  CHECK(earlier.LastOrderTime() == kBegin);
}

}  // namespace
}  // namespace keelbridge
