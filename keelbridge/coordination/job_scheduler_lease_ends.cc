// Records when the last lease of a worker ends, for later leaders.
//
// A worker that stopped answering for good reports to no later leader. Its runs
// end when its lease does, and only the leader that extended the lease last
// knows when that is. If this leader is lost too, each of its successors would
// have to count a full lease from the last order that it may have given to any
// worker. So it records the end of the lease soon after the worker fell silent,
// and extends the lease no more until a later record takes that back durably.
//
// A leader that is lost within moments of a worker has no time for such a
// record. So each append says by when all leases have expired that the leader
// grants on the strength of it: no lease outlasts the last confirmed append by
// more than a limit.
//
// A leader that does not reach a worker either records what it knows of the
// leases of earlier leaders, so that no change of leader begins the wait anew.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"

namespace keelbridge {
namespace {

// A worker that answered no observation for this long has not just lost one
// answer. Each record must be taken back before the lease is extended again.
constexpr absl::Duration kMinSilence = absl::Seconds(1);
// No lease lasts for longer than this after the last confirmed append was
// begun, or than the lease itself and `kLeaseSlack`. So the leases that a lost
// leader granted end soon, while runs outlast an outage of the store.
constexpr absl::Duration kMinRunTimeWithoutStore = absl::Milliseconds(10500);
// Most appends are begun less than this before a lease is granted, so that it
// is granted in full.
constexpr absl::Duration kLeaseSlack = absl::Seconds(1);

}  // namespace

absl::Time JobScheduler::LatestLeaseEnd(absl::Time confirmed) const {
  return confirmed +
         std::max(options_.lease + kLeaseSlack, kMinRunTimeWithoutStore);
}

// A lease is a time of the worker's clock, which counts from the worker's last
// answer and may run slow.
absl::Time JobScheduler::LeasesOver(absl::Time append_begun) const {
  const absl::Duration longest = LatestLeaseEnd(append_begun) - append_begun +
                                 kUnresponsiveAfter * options_.max_clock_drift;
  return std::max(append_begun + longest / (1.0 - options_.max_clock_drift) +
                      kLeaseExpiryMargin,
                  earlier_orders_.LeasesUntil());
}

// The lease of a worker that has reported to this leader covers those of
// earlier leaders: their fence was lower when it first reported.
absl::Time JobScheduler::LastLeaseEnd(const Worker& worker) const {
  const bool leased_by_this = worker.leased_by_epoch == epoch_;
  if (!leased_by_this)
    return worker.known_to_earlier_leader ? EarlierLeaseEnd(worker)
                                          : absl::InfiniteFuture();
  const bool known = worker.reported && !worker.ended && !worker.inherited_runs;
  return known ? worker.lease_expires_at : absl::InfiniteFuture();
}

// Where a worker may restart under its name, an order that comes late may begin
// a run on its next incarnation, of whose lease this one says nothing.
void JobScheduler::RecordLeaseEnd(Worker& worker, Now now) {
  const bool silent = worker.failed_observations > 0 &&
                      now.mono >= worker.failing_since + kMinSilence;
  if (!silent || HasReusableName(ParseWorkerIncarnation(worker.record.id)))
    return;
  const absl::Time end = LastLeaseEnd(worker);
  if (end >= worker.recorded_lease_end) return;
  if (worker.recorded_lease_end == absl::InfiniteFuture())
    worker.lease_end_batch = next_batch_;
  worker.recorded_lease_end = end;
  unpersisted_workers_.insert(worker.record.id);
  LogDecision(
      "lease_end_recorded",
      {{"worker", worker.record.id},
       {"held_by_epoch", absl::StrCat(worker.leased_by_epoch)},
       {"ends_in_ms", absl::StrCat(absl::ToInt64Milliseconds(end - now.mono))},
       {"runs", absl::StrCat(worker.allocations.size())}});
}

void JobScheduler::TakeBackLeaseEnd(Worker& worker) {
  const absl::Time recorded =
      std::exchange(worker.recorded_lease_end, absl::InfiniteFuture());
  if (recorded == absl::InfiniteFuture()) return;
  // The batch that would hold it has not been taken yet.
  if (worker.lease_end_batch == next_batch_) return;
  worker.known_at_batch = next_batch_;
  unpersisted_workers_.insert(worker.record.id);
}

}  // namespace keelbridge
