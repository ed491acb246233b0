// A step that a placement pass considers.
//
//   std::sort(ready.begin(), ready.end(), IsPlacedBefore);
//   for (ReadyStep& step : ready) Place(step);

#ifndef KEELBRIDGE_COORDINATION_READY_STEP_H_
#define KEELBRIDGE_COORDINATION_READY_STEP_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

// A step that has tasks to place, with the keys that order it among the other
// steps.
struct ReadyStep {
  Job* job;
  Round* round;
  StepState* state;
  const StepSpec* spec;
  const Queue* queue;
  AccountId account;
  int32_t number;   // Index of the step in its job.
  int32_t waiting;  // Tasks that may start now; see also `asks_ahead`.
  // Tasks of the step that this leader has not observed may still run under
  // the lease of an earlier leader.
  bool may_run_unobserved;
  // An earlier leader may have started tasks of the step without a record.
  bool may_have_begun_earlier;
  // The recorded placements may be incomplete, so that an unobserved task may
  // run on any worker.
  bool placements_incomplete;
  // The step is long-running, and some of its tasks run nowhere.
  bool down;
  // Steps of a lower tier are placed first. 0: the objective of the job can
  // still be met. 1: the job is late, by less than `kMaxObjectiveFactor`
  // allows. 2: it is later than that. Negative: see `down`.
  int tier;
  // The client account holds more than its share of the site.
  bool exceeds_share = false;
  // The latest start that meets the objective.
  absl::Time latest_start;
  // The fraction that is left of the time which the job could spend waiting.
  double slack_left;
  // The step may reserve capacity in this placement pass.
  bool may_reserve = false;
  // A large share of the step's pool is free in this placement pass.
  bool pool_mostly_idle = false;
  int32_t pool_workers = 0;
  // Its next task fits a worker to which no further start may be in flight.
  bool waits_for_start_slot = false;
  // The step has no tasks to place, but some of its tasks must restart soon,
  // so that it asks for advice ahead of time. `waiting` counts those tasks.
  bool asks_ahead = false;

  TaskId IdAt(size_t index) const {
    return {job->id, round->number, number, static_cast<int32_t>(index)};
  }
  FoundTask TaskAt(size_t index) const {
    return {IdAt(index), *job, *state, state->tasks[index], *spec};
  }
  // `task` is an element of `state->tasks`.
  TaskId IdOf(const TaskState& task) const {
    return IdAt(static_cast<size_t>(&task - state->tasks.data()));
  }
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_READY_STEP_H_
