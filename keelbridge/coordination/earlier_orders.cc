#include "keelbridge/coordination/earlier_orders.h"

#include <algorithm>

namespace keelbridge {
namespace {

constexpr absl::Duration kConfirmationMargin = absl::Milliseconds(1500);

}  // namespace

absl::Duration MaxUnconfirmed(absl::Duration grace) {
  return grace - kConfirmationMargin;
}

EarlierOrders::EarlierOrders(absl::Duration grace, absl::Duration max_lease,
                             int64_t epoch, absl::Time started)
    : grace_(grace),
      max_lease_(max_lease),
      epoch_(epoch),
      until_(started + grace) {}

void EarlierOrders::OnFenced(absl::Time now) {
  fenced_at_ = now;
  until_ = stopped_ ? std::max(until_, now) : now + grace_;
}

void EarlierOrders::OnLeaderSeen(int64_t epoch, absl::Time at) {
  if (epoch < epoch_) seen_.try_emplace(epoch, at);
}

void EarlierOrders::OnLeaderClock(int64_t epoch, const LeaderClock& clock) {
  if (epoch < epoch_) clocks_.insert_or_assign(epoch, clock);
}

// Leaders before that one were fenced before it appended anything, so that they
// stop earlier.
bool EarlierOrders::OnLastAppend(const LeaderTime& begun) {
  if (begun.epoch != epoch_ - 1) return false;
  const absl::Time until =
      LatestLocalTime({begun.epoch, begun.at + MaxUnconfirmed(grace_)});
  if (until >= until_) return false;
  until_ = until;
  return true;
}

bool EarlierOrders::OnLeasesOver(const LeaderTime& over) {
  if (over.epoch != epoch_ - 1) return false;
  const absl::Time before = LeasesUntil();
  leases_over_ = std::min(leases_over_, LatestLocalTime(over));
  return LeasesUntil() < before;
}

bool EarlierOrders::OnStopped(absl::Time last_order) {
  stopped_ = true;
  // The list of leaders that were asked may be incomplete: another one may have
  // given orders until the fence.
  const absl::Time until = std::max(last_order, fenced_at_);
  if (until >= until_) return false;
  until_ = until;
  return true;
}

absl::Time EarlierOrders::UntilOf(int64_t epoch) const {
  const auto successor = seen_.upper_bound(epoch);
  if (successor == seen_.end()) return until_;
  return std::min(until_, successor->second + grace_);
}

absl::Time EarlierOrders::LeasesUntil() const {
  return std::min(until_ + max_lease_, leases_over_);
}

absl::Time EarlierOrders::LeasesUntilOf(int64_t epoch) const {
  return std::min(UntilOf(epoch) + max_lease_, leases_over_);
}

absl::Time EarlierOrders::LatestLocalTime(const LeaderTime& time) const {
  const auto clock = clocks_.find(time.epoch);
  return clock == clocks_.end() ? absl::InfiniteFuture()
                                : clock->second.LatestLocalTime(time.at);
}

}  // namespace keelbridge
