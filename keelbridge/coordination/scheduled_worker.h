// What a job scheduler knows of a worker.
//
//   ScheduledWorker worker;
//   worker.record = record;
//   worker.free = record.capacity;

#ifndef KEELBRIDGE_COORDINATION_SCHEDULED_WORKER_H_
#define KEELBRIDGE_COORDINATION_SCHEDULED_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/coordination/allocation.h"
#include "keelbridge/coordination/capacity_reservations.h"
#include "keelbridge/coordination/open_calls.h"
#include "keelbridge/coordination/pool_totals.h"
#include "keelbridge/coordination/start_window.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/resources.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {

// An end that the worker has reported and that is not durable yet.
struct UnacknowledgedEnd {
  EndedTask end;
  int64_t batch = 0;  // The batch that holds what follows from the end.
};
// A task, and the number of one of its runs.
using RunKey = std::pair<TaskId, int32_t>;
using Allocations = std::map<RunKey, Allocation>;

// All times are those of the steady clock.
struct ScheduledWorker {
  WorkerRecord record;
  // The batch whose record informs later leaders of this worker.
  int64_t known_at_batch = 0;
  // The epoch of the last leader that may have assigned tasks to the worker
  // or extended its lease.
  int64_t leased_by_epoch = 0;
  // The worker is retired: this leader's record of it says that it leaves,
  // runs nothing and gets no more tasks.
  bool retired = false;
  // The record of an earlier leader says that the worker is retired.
  bool retired_by_earlier = false;
  // An earlier leader may have assigned tasks to the worker. A leader assigns
  // none before its record of the worker is durable.
  bool known_to_earlier_leader = false;
  // See KnownWorker. True once this leader has received a report of the
  // worker.
  bool persists_placements = true;
  // If not empty, this leader's record says that the worker leaves and that
  // only these tasks may still run there.
  std::vector<TaskId> last_tasks;
  // The corresponding tasks in the record of an earlier leader.
  std::vector<TaskId> last_tasks_of_earlier;
  // By a handover or a record: when the last lease of earlier leaders has
  // expired.
  absl::Time earlier_lease_end = absl::InfiniteFuture();
  // The end of the last lease that this leader's record states; see
  // `KnownWorker::lease_over`. Infinite if it states none.
  absl::Time recorded_lease_end = absl::InfiniteFuture();
  // The first batch that may hold `recorded_lease_end`.
  int64_t lease_end_batch = 0;
  Resources free;
  Allocations allocations;
  // Resources of the allocations whose runs should stop.
  Resources stopping;
  // There may be a run that should stop, or a start that got no answer.
  bool unresolved = false;
  // The earliest `check_at` of the allocations.
  absl::Time next_check = absl::InfiniteFuture();
  // Allocations of unknown size. While there is one, nothing else starts.
  int runs_of_unknown_size = 0;
  // This leader has received a full report under its own fence.
  bool reported = false;
  // The worker restarted under the same name.
  bool restarted = false;
  // Another incarnation has answered in place of this one, which has ended.
  // Runs that it may not have reported were moved to that one.
  bool ended = false;
  // Runs of the previous incarnation were moved to this one.
  bool inherited_runs = false;
  // Higher than the fences of all earlier incarnations. An incarnation that
  // has seen this fence refuses late orders to earlier incarnations.
  int64_t fence = 0;
  bool record_removed = false;
  // The earliest time at which the worker leaves, by its record. Infinite if
  // it is not draining or has not reported a time.
  absl::Time leaves_at = absl::InfiniteFuture();
  OpenCalls observations;  // In flight.
  OpenCalls orders;        // Starts and stops in flight.
  // Limits the starts in flight.
  StartWindow start_window;
  // A step waits because the window admits no start.
  bool starts_held = false;
  // Send an observation at once, even if another one waits for an end.
  bool observe_now = false;
  absl::Time last_observation_sent = absl::InfinitePast();
  bool unobserved = false;  // As of the last sweep; see IsUnobserved().
  // When the latest accepted report was requested, and the worker's clock in
  // it. Reports may overtake each other.
  absl::Time report_requested_at = absl::InfinitePast();
  int64_t report_clock_ms = -1;
  bool ends_reported_late = false;  // See MayReportEndsLate.
  absl::Time next_observe = absl::InfinitePast();
  absl::Time last_answer = absl::InfinitePast();
  // When the first order or observation got no answer since the worker last
  // answered one.
  absl::Time unanswered_since = absl::InfiniteFuture();
  // When the first observation after the last successful one failed.
  absl::Time failing_since = absl::InfiniteFuture();
  int failed_observations = 0;
  // Ends up to this number are acknowledged to the worker.
  int64_t ends_acknowledged = 0;
  // Ends up to this number were processed by this leader.
  int64_t ends_processed = 0;
  // Ends that are not durable yet.
  std::deque<UnacknowledgedEnd> unacknowledged_ends;
  int64_t clock_ms = -1;
  // When `clock_ms` was received.
  absl::Time clock_at;
  // By this time the lease has expired, so that all runs have ended.
  absl::Time lease_expires_at = absl::InfinitePast();
  // The worker gets no new tasks before this time, because it failed tasks or
  // refused or did not receive orders.
  absl::Time suspect_until = absl::InfinitePast();
  // A suspect task was started here, by itself. Nothing else starts here
  // until the worker has answered after this time.
  absl::Time probation_until = absl::InfinitePast();
  int failures_in_row = 0;
  // Capacity that this placement pass has set aside here so far.
  ReservedCapacity reserved;
  bool check_scheduled = false;  // The worker is in `scheduled_checks_`.
  PoolTotals::Counted counted;
  // Calls for advice in flight that name the worker. They claim the CPU, in
  // thousandths of a processor, that their steps expect to use here.
  OpenCalls advice_calls;
};

// Returns whether a leader whose batches are durable up to `durable_batch` may
// extend the worker's lease: later leaders know of it, and no record says when
// the last lease ends.
bool MayExtendLease(const ScheduledWorker& worker, int64_t durable_batch);
// Returns whether the worker's start window admits another start.
bool HasStartSlot(const ScheduledWorker& worker, Now now);
// Returns the record that a leader of `epoch` leaves of the worker.
KnownWorker DescribeWorker(const ScheduledWorker& worker, int64_t epoch);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULED_WORKER_H_
