// What a job scheduler knows of a run on a worker.
//
//   Allocation& run = worker.allocations[{task, run_number}];
//   run.need = CapacityNeeded(step);
//   run.placed = now.mono;

#ifndef KEELBRIDGE_COORDINATION_ALLOCATION_H_
#define KEELBRIDGE_COORDINATION_ALLOCATION_H_

#include <cstdint>

#include "absl/time/time.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/coordination/run_stop.h"
#include "keelbridge/overload/service_rate.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// A run that uses, or may use, capacity of a worker.
struct Allocation {
  Resources need;  // What it occupies; see CapacityNeeded().
  // What the run counts for against the maximum of its client account.
  Resources account_need;
  AccountId account = kNoAccount;
  CountedRun counted;  // What it counts for in the site's service rate.
  // This leader does not want the run on this worker.
  bool unwanted = false;
  // The size of the run is unknown because its job's description is gone.
  bool unknown_size = false;
  absl::Time start_answered = absl::InfiniteFuture();
  // When this leader placed the run here or found it here. If the order
  // waited until the placement was durable: when the order was sent.
  absl::Time placed;
  // When this leader sent its order to start the run.
  absl::Time ordered = absl::InfinitePast();
  RunStop stop;
  // This leader found the run running, so its start time is unknown.
  bool adopted = false;
  bool resumed = false;  // The run continues from a checkpoint.
  // A report of this incarnation of the worker contained the run.
  bool reported = false;
  // The order to start the run got no answer.
  bool uncertain = false;
  absl::Time uncertain_since;
  // When the run is overdue by its estimate, so that an extra observation is
  // worth its cost.
  absl::Time check_at = absl::InfiniteFuture();
  int32_t percent = 0;
  absl::Time percent_changed;
  // A run that saves its progress may be preempted for steps whose queue has
  // a lower priority number, and thus more urgent work, than
  // `preemptible_below`, until its job could no longer be in time. 0: it is
  // not preemptible.
  int32_t preemptible_below = 0;
  absl::Time preemptible_until = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ALLOCATION_H_
