// Handles workers that have reported that they leave.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// How long a stop may take until the worker lists the end of the run.
constexpr absl::Duration kMaxStopDuration = absl::Milliseconds(900);
// A run is left alone if it is expected to end at least this long before its
// worker leaves. Covers the age of the worker's record when the leader reads
// it, by which the worker leaves sooner than the record suggests (up to 400 ms,
// mostly between two reads of changes), and the call that reports the end.
constexpr absl::Duration kMinTimeLeftAtEnd = absl::Milliseconds(600);
// How long before a worker leaves the runs that it cannot finish are stopped.
// Covers a stop, the age of the worker's record, and the calls that order the
// stop and report the end. Any later, the end might not be heard. Any earlier,
// the run would lose time in which it makes progress, or ends after all if the
// worker stays longer than announced.
constexpr absl::Duration kDepartureMargin = absl::Milliseconds(1500);
// The progress of a run is extrapolated once it has been observed for this
// long. Before that, it mostly shows how long the run took to begin.
constexpr absl::Duration kMinPaceDuration = absl::Seconds(2);
// A reachable worker reports progress at least this often, and ends at once. A
// run whose expected end is longer ago than this does not progress as expected.
constexpr absl::Duration kMaxProgressDelay = absl::Milliseconds(1500);
constexpr double kAllPercent = 100;
// How long capacity is held for a task that is being moved: a stop and the call
// that reports its end. A stop that takes longer has most likely got lost.
constexpr absl::Duration kMaxMoveDuration = absl::Seconds(2);
// The most tasks that the record of a leaving worker names: it must fit into
// one record of the store.
constexpr size_t kMaxRecordedTasks = 1000;

// Returns when the run is expected to end, by its `expected` duration and the
// progress that it has reported. Returns the infinite future if it should
// have ended already.
absl::Time ExpectedEnd(const Allocation& run, absl::Duration expected,
                       Now now) {
  const double done = run.percent / kAllPercent;
  absl::Duration left = expected * (1 - done);
  // A run that started from a checkpoint, or before this leader, seems to be
  // faster than it is, so that its estimate decides.
  const absl::Duration ran = run.percent_changed - run.placed;
  if (run.percent > 0 && ran >= kMinPaceDuration)
    left = std::max(left, ran * ((1 - done) / done));
  const absl::Time end = run.percent_changed + left;
  return now.mono > end + kMaxProgressDelay ? absl::InfiniteFuture() : end;
}

}  // namespace

// The same record may be read again later, so an unchanged remaining time is
// not counted from the time of the later read.
void JobScheduler::UpdateDeparture(Worker& worker, const WorkerRecord& record,
                                   Now now) {
  if (!record.draining || record.leaves_in_ms < 0) {
    worker.leaves_at = absl::InfiniteFuture();
    return;
  }
  const bool unchanged = worker.leaves_at != absl::InfiniteFuture() &&
                         record.leaves_in_ms == worker.record.leaves_in_ms;
  if (unchanged) return;
  worker.leaves_at = now.mono + absl::Milliseconds(record.leaves_in_ms);
}

// A run that ends with its worker is lost with all that it has not saved, and
// its task waits until the worker's lease expires, because the leader cannot
// distinguish a worker that has left from one that is disconnected. A run that
// is stopped while the worker still answers saves its progress if it can, and
// its task starts elsewhere at once.
void JobScheduler::StopRunsBeforeDeparture(Worker& worker, Now now) {
  if (suspended_ || now.mono < worker.leaves_at - kDepartureMargin) return;
  // The end of a run on a worker that does not answer would not be heard.
  if (!IsReachable(worker, now) || worker.failed_observations > 0) return;
  for (const auto& one : worker.allocations) {
    VisitOpenTask(one.first.first, [&](const FoundTask& found) {
      StopRunBeforeDeparture(worker, found, one.first.second, one.second, now);
    });
  }
}

void JobScheduler::StopRunBeforeDeparture(Worker& worker,
                                          const FoundTask& found,
                                          int32_t number, const Allocation& run,
                                          Now now) {
  // A run whose start is unanswered is considered once the outcome is known.
  if (run.stop.requested() || run.uncertain || run.start_answered > now.mono)
    return;
  const TaskState& task = found.task;
  if (task.run != number || task.worker != worker.record.id ||
      task.phase == TaskPhase::kDone)
    return;
  const StepSpec& spec = found.spec;
  // Long-running tasks never end by themselves; see MoveTaskFromLeavingWorker.
  if (spec.long_running) return;
  const absl::Duration expected =
      job_timings_.learner().ExpectedRun(found.job.queue, spec);
  const absl::Time end = ExpectedEnd(run, expected, now);
  const absl::Time end_by = worker.leaves_at - kMinTimeLeftAtEnd;
  if (end <= end_by) return;
  // From then on the worker may leave any moment, and a run that ends sooner
  // than a stop might is not stopped.
  if (now.mono > end_by && end <= now.mono + kMaxStopDuration) return;
  const auto in_ms = [&](absl::Time time) {
    return absl::StrCat(absl::ToInt64Milliseconds(time - now.mono));
  };
  LogDecision(
      "run_moves",
      {{"task", TaskIdText(found.id)},
       {"run", absl::StrCat(number)},
       {"worker", worker.record.id},
       {"why", spec.gang ? "its worker leaves before its gang can end"
                         : "its worker leaves before the run can end"},
       {"leaves_in_ms", in_ms(worker.leaves_at)},
       {"ends_in_ms", end == absl::InfiniteFuture() ? "unknown" : in_ms(end)},
       {"percent", absl::StrCat(run.percent)}});
  if (spec.gang)
    StopGang(found.id, found.step);
  else
    RequestStop(worker, {found.id, number});
}

// A worker that has left does not answer the next leader. Without this record
// that leader would hold back all tasks that it has not observed until the
// worker's lease has expired: 15 s with leases of 10 s, even if nothing has run
// on the worker for seconds. The worker is retired only after its ends are
// durable: only a part of a batch may become durable, workers first, and a
// leader that did not wait for the worker would restart tasks which only that
// worker knows to be done.
void JobScheduler::RetireDrainingWorker(Worker& worker) {
  if (worker.retired || !worker.record.draining || !worker.reported ||
      !worker.unacknowledged_ends.empty())
    return;
  std::vector<TaskId> tasks = TasksOn(worker);
  // Without a list, later leaders take it that any task may run there.
  if (tasks.size() > kMaxRecordedTasks) return;
  // The recorded tasks include all that are left, so the record stays valid.
  const bool already_recorded =
      std::includes(worker.last_tasks.begin(), worker.last_tasks.end(),
                    tasks.begin(), tasks.end());
  if (already_recorded && !tasks.empty()) return;
  worker.retired = tasks.empty();
  worker.last_tasks = std::move(tasks);
  unpersisted_workers_.insert(worker.record.id);
  LogDecision("worker_closed",
              {{"worker", worker.record.id},
               {"tasks_left", absl::StrCat(worker.last_tasks.size())}});
}

std::vector<int32_t> JobScheduler::FindTasksOnLeavingWorkers(
    const StepSpec& spec, const StepState& step) const {
  std::vector<int32_t> out;
  if (!spec.long_running || spec.gang) return out;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& task = step.tasks[i];
    if (task.phase != TaskPhase::kRunning) continue;
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second->record.draining)
      out.push_back(static_cast<int32_t>(i));
  }
  return out;
}

// A long-running task on a leaving worker would run until the worker is gone,
// and would then be down until the worker's lease expires (for 9.7 s with
// leases of 9 s), because the leader cannot distinguish a worker that has left
// from one that is disconnected. A task that is stopped while the worker still
// answers is down only for the stop and the new start.
void JobScheduler::MoveTaskFromLeavingWorker(ReadyStep& ready, Now now) {
  const std::vector<int32_t> leaving =
      FindTasksOnLeavingWorkers(*ready.spec, *ready.state);
  if (leaving.empty()) return;
  const TaskState& task =
      ready.state->tasks[static_cast<size_t>(leaving.front())];
  const TaskId id = ready.IdOf(task);
  for (Worker* to : FindUsableWorkers(ready, now)) {
    if (CountFittingTasks(*to, ready, UnreservedCapacity(*to)) < 1) continue;
    if (ready.spec->max_per_worker > 0 &&
        CountPlacedTasks(*to, ready) + moves_.CountMovesTo(to->record.id, id) >=
            ready.spec->max_per_worker)
      continue;
    LogDecision("task_moves", {{"task", TaskIdText(id)},
                               {"run", absl::StrCat(task.run)},
                               {"worker", task.worker},
                               {"to", to->record.id},
                               {"why", "its worker leaves"}});
    RequestStop(*workers_.at(task.worker), {id, task.run});
    moves_.Begin(id, {task.run, to->record.id, now.mono + kMaxMoveDuration});
    reservations_.Add(*to, CapacityNeeded(*ready.spec));
    return;
  }
}

// Otherwise other work could take the capacity during the stop, and the task
// would be down until capacity of its size is free again. Once it has stopped,
// the task is placed before all others, so nothing is set aside any more.
bool JobScheduler::HoldCapacityForMove(const TaskId& id, const TaskMove& move,
                                       Now now) {
  const auto job = active_.find(id.job);
  const TaskState* task =
      job != active_.end() ? job->second->FindTask(id) : nullptr;
  const auto to = workers_.find(move.to);
  if (task == nullptr || task->run != move.run || to == workers_.end() ||
      now.mono >= move.until)
    return false;
  if (to->second->record.draining || to->second->record_removed ||
      !IsReachable(*to->second, now))
    return false;
  if (task->phase == TaskPhase::kStopping) {
    const auto step = static_cast<size_t>(id.step);
    reservations_.Add(*to->second,
                      CapacityNeeded(job->second->spec.steps[step]));
  }
  return task->phase == TaskPhase::kStopping ||
         task->phase == TaskPhase::kWaiting;
}

}  // namespace keelbridge
