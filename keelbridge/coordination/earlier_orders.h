// Bounds until when the earlier leaders of a site may have given orders.
//
// What an earlier leader started, and the leases that it extended, end a known
// time after its last order. A new leader learns of that order in several ways:
// from its own fence in the store, from the earlier leader's answer that it has
// stopped, from the leaders that it has heard of since, and from the record of
// the earlier leader's last append. The earliest bound counts. All times are
// those of this node's steady clock, except where they are named otherwise.
//
// EarlierOrders performs no I/O and reads no clock.
//
//   EarlierOrders orders(grace, max_lease, epoch, now);
//   orders.OnFenced(now);
//   const absl::Time over = orders.LeasesUntilOf(leader_epoch);

#ifndef KEELBRIDGE_COORDINATION_EARLIER_ORDERS_H_
#define KEELBRIDGE_COORDINATION_EARLIER_ORDERS_H_

#include <cstdint>
#include <map>

#include "absl/time/time.h"
#include "keelbridge/coordination/leader_clock.h"
#include "keelbridge/state/leader_time.h"

namespace keelbridge {

// Returns how long a leader goes on giving orders after it began the last
// append that the store has confirmed. Shorter than `grace`, after which others
// take it that it gives none, since the rates of two clocks may differ.
absl::Duration MaxUnconfirmed(absl::Duration grace);

class EarlierOrders {
 public:
  // `grace` is how long an earlier leader that cannot be asked may go on giving
  // orders after it was fenced in the store. `max_lease` is after how long a
  // lease has expired. `epoch` is that of this leader, which claimed the site
  // at `started`.
  EarlierOrders(absl::Duration grace, absl::Duration max_lease, int64_t epoch,
                absl::Time started);

  // Records that the earlier leaders were fenced in the store. Orders from
  // before the fence count from `now` at the earliest, even if earlier leaders
  // are known to have stopped: the list of those that were asked may be
  // incomplete.
  void OnFenced(absl::Time now);
  // Records that the leader of `epoch` was active at `at`, so that it had
  // fenced all leaders before itself by then.
  void OnLeaderSeen(int64_t epoch, absl::Time at);
  // Records what is known here of the steady clock of the leader of `epoch`.
  void OnLeaderClock(int64_t epoch, const LeaderClock& clock);
  // The next three return whether a bound has become earlier.
  // Records when the last append of an earlier leader began. It is of use only
  // if that is the leader just before this one: the appends of any other do not
  // show who led after it.
  bool OnLastAppend(const LeaderTime& begun);
  // Records that all leases by the leader of `over.epoch` and those before it
  // have expired at `over`. Of use only from the leader just before this one.
  bool OnLeasesOver(const LeaderTime& over);
  // Records that the earlier leaders give no more orders, and that they gave
  // the last one no later than `last_order`.
  bool OnStopped(absl::Time last_order);

  // Returns until when any earlier leader may have given orders.
  absl::Time Until() const { return until_; }
  // Returns until when the leader of `epoch` may have given orders.
  absl::Time UntilOf(int64_t epoch) const;
  // Returns when the last lease by any earlier leader has expired.
  absl::Time LeasesUntil() const;
  // Returns when the last lease by the leader of `epoch` has expired.
  absl::Time LeasesUntilOf(int64_t epoch) const;
  // Returns a time by which a time of an earlier leader's clock has passed. The
  // infinite future if that clock was never heard.
  absl::Time LatestLocalTime(const LeaderTime& time) const;

 private:
  const absl::Duration grace_;
  const absl::Duration max_lease_;
  const int64_t epoch_;
  absl::Time until_;
  absl::Time leases_over_ = absl::InfiniteFuture();
  absl::Time fenced_at_ = absl::InfinitePast();
  bool stopped_ = false;
  // By epoch: when the leader was first seen to be active.
  std::map<int64_t, absl::Time> seen_;
  std::map<int64_t, LeaderClock> clocks_;  // By epoch.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_EARLIER_ORDERS_H_
