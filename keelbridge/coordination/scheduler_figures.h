// Figures of a scheduler for metrics and logs.
//
//   const SchedulerFigures figures = scheduler.figures();
//   metrics.Set("jobs", {}, figures.jobs);

#ifndef KEELBRIDGE_COORDINATION_SCHEDULER_FIGURES_H_
#define KEELBRIDGE_COORDINATION_SCHEDULER_FIGURES_H_

#include <cstdint>

namespace keelbridge {

struct SchedulerFigures {
  int64_t jobs = 0;
  int64_t ready_tasks = 0;
  int64_t running_tasks = 0;
  int64_t workers = 0;
  int64_t workers_reported = 0;  // Workers that have sent a worker report.
  // Listed workers that were sent no observation for a while, as of the last
  // check of all workers. Other than 0 shortly after the leader stood still, or
  // by a fault of the scheduler.
  int64_t workers_unobserved = 0;
  int64_t cpu_milli_total = 0;
  int64_t cpu_milli_used = 0;
  int64_t starts = 0;
  int64_t starts_refused = 0;
  // Starts without an answer whose run no worker has reported either.
  int64_t starts_unanswered = 0;
  // Starts that found no connection, or no room at a relay.
  int64_t starts_not_attempted = 0;
  // How often a placement pass left tasks of a step waiting because the windows
  // of the workers with capacity admitted no further start.
  int64_t steps_held_by_start_windows = 0;
  int64_t preemptions = 0;  // Runs preempted for more urgent work.
  int64_t advice_calls = 0;
  int64_t ends_done = 0;
  int64_t ends_failed = 0;
  int64_t ends_other = 0;
  int64_t stops_sent = 0;    // Stop orders, with repetitions.
  int64_t runs_stopped = 0;  // Runs that ended because of a stop.
  // Tasks of earlier leaders that wait for workers that may still run them.
  int64_t recovered_waiting = 0;
  // Unused processor capacity that is reserved for blocked steps.
  int64_t cpu_milli_reserved = 0;
  // Values of the most recent placement pass: gangs that only lack capacity
  // or tickets, those of these gangs that have capacity reserved, and steps
  // that did not ask for advice because the steps ordered before them would
  // use up the free capacity.
  int64_t gangs_waiting = 0;
  int64_t gangs_reserving = 0;
  int64_t steps_without_advice = 0;
  // Totals over all placement passes: passes, steps that they examined, those
  // of these steps whose job is late already, and how often a worker was
  // tried for a step.
  int64_t placement_passes = 0;
  int64_t steps_examined = 0;
  int64_t late_steps_examined = 0;
  int64_t workers_tried = 0;
  // The parts of `workers_tried` that were searches for capacity to reserve
  // and for workers to ask advice about. The rest were searches for workers to
  // start tasks on.
  int64_t workers_tried_to_reserve = 0;
  int64_t workers_tried_for_advice = 0;
  // Placement passes that had no starts left, no searches for advice left, and
  // no free adviser for a step that wanted to ask.
  int64_t passes_out_of_starts = 0;
  int64_t passes_out_of_searches = 0;
  int64_t passes_out_of_advisers = 0;
  // How often a step of single tasks found free capacity on workers that it may
  // use, all of it reserved for other steps.
  int64_t blocked_by_reservations = 0;
  // Crashes and unresponsive workers that lost workers were compared with.
  int64_t losses_compared = 0;
  // Worker reports that were ignored because a later report had arrived.
  int64_t stale_reports_skipped = 0;
  // Answers to calls of before the worker was forgotten or got another id.
  int64_t answers_ignored = 0;
  // Waiting work in thousandths of a processor times seconds, if jobs are
  // admitted by work: of steps that can be in time, and of all others.
  int64_t timely_work_milli_s = 0;
  int64_t late_work_milli_s = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULER_FIGURES_H_
