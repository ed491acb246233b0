#include "keelbridge/accounts/account_backlog.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

constexpr AccountId kAccount = 1;
constexpr Resources kNeed{1000, 2048, 0};
constexpr Resources kMaximum{4000, 0, 0};

TEST_CASE("account backlog: it shrinks no faster than the maximum permits") {
  AccountBacklog backlog;
  backlog.Add(kAccount, 1, kNeed, 8, absl::Seconds(3));
  CHECK(backlog.MinWait(kAccount, 1, kMaximum) == absl::Seconds(6));
  CHECK(backlog.MinWait(kAccount, 1, {4000, 4096, 0}) == absl::Seconds(12));
  CHECK(backlog.MinWait(kAccount, 1, {}) == absl::ZeroDuration());
  CHECK(backlog.MinWait(kAccount + 1, 1, kMaximum) == absl::ZeroDuration());
  backlog.Clear();
  CHECK(backlog.MinWait(kAccount, 1, kMaximum) == absl::ZeroDuration());
}

TEST_CASE("account backlog: less urgent work is not waited for") {
  AccountBacklog backlog;
  backlog.Add(kAccount, 0, kNeed, 4, absl::Seconds(1));
  backlog.Add(kAccount, 2, kNeed, 40, absl::Seconds(1));
  CHECK(backlog.MinWait(kAccount, 0, kMaximum) == absl::Seconds(1));
  CHECK(backlog.MinWait(kAccount, 1, kMaximum) == absl::Seconds(1));
  CHECK(backlog.MinWait(kAccount, 2, kMaximum) == absl::Seconds(11));
}

TEST_CASE("account backlog: work without an account has no maximum") {
  AccountBacklog backlog;
  backlog.Add(kNoAccount, 0, kNeed, 1000, absl::Seconds(9));
  CHECK(backlog.MinWait(kNoAccount, 0, kMaximum) == absl::ZeroDuration());
}

}  // namespace
}  // namespace keelbridge
