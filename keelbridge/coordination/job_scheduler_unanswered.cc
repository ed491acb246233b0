// Handles starts that got no answer, where workers may restart under their
// names.
//
// A worker may carry out such an order seconds later. A stop that the worker
// has answered prevents this, and so does a later fence, but the worker forgets
// both when its incarnation ends. The next incarnation carries out the order if
// the order arrives before the leader's first observation. If the task ran
// again by then, it would run twice. So the task waits until the order can no
// longer be carried out.
//
// A long-running task may start on the same worker before, since a worker drops
// the order once it has received a later run. While that worker does not answer
// at all, the task waits only if workers were seen to restart: its users miss
// it, and the silent worker is most likely cut off.
//
// Where each incarnation has a name of its own, no later one carries out the
// order, and no task waits.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"

namespace keelbridge {
namespace {

// How long a restart counts as recent. Restarts come in series, with pauses in
// between.
constexpr absl::Duration kRestartMemory = absl::Minutes(10);

bool MayRestartUnderName(const WorkerRecord& worker) {
  return HasReusableName(ParseWorkerIncarnation(worker.id));
}

}  // namespace

void JobScheduler::RecordRestart(Worker& next, Now now) {
  last_restart_seen_ = now.mono;
  if (std::exchange(next.restarted, true)) return;
  unpersisted_workers_.insert(next.record.id);
}

bool JobScheduler::WorkersRestartedRecently(Now now) const {
  return now.mono - last_restart_seen_ <= kRestartMemory;
}

bool JobScheduler::IsStartUnanswered(const Allocation& run, Now now) {
  return run.ordered > absl::InfinitePast() && !run.reported &&
         run.start_answered > now.mono;
}

void JobScheduler::AbandonRun(const Worker& worker, const RunKey& key,
                              const Allocation& run, Now now) {
  if (IsStartUnanswered(run, now)) ++figures_.starts_unanswered;
  RecordUnansweredStart(worker, key, run, now);
  Requeue(key.first, key.second, worker.record.id, now.mono);
}

void JobScheduler::RecordUnansweredStart(const Worker& worker,
                                         const RunKey& key,
                                         const Allocation& run, Now now) {
  const absl::Time may_arrive_until = run.ordered + options_.max_order_delay;
  if (!IsStartUnanswered(run, now) || !MayRestartUnderName(worker.record) ||
      may_arrive_until <= now.mono)
    return;
  const auto job = jobs_.find(key.first.job);
  if (job == jobs_.end() || job->second->Ended()) return;
  TaskState* task = job->second->FindTask(key.first);
  if (task == nullptr || task->run != key.second) return;
  if (task->unanswered.run == key.second) return;
  const StepSpec& step =
      job->second->spec.steps[static_cast<size_t>(key.first.step)];
  const bool silent = worker.unanswered_since <= now.mono;
  const bool may_wait =
      !step.long_running || !silent || WorkersRestartedRecently(now);
  if (step.duplicates || !may_wait) return;
  const std::string name = ParseWorkerIncarnation(worker.record.id).name;
  task->unanswered = {name, key.second, LeaderTime{epoch_, may_arrive_until}};
  unanswered_starts_.insert(key.first);
  MarkDirty(*job->second);
  LogDecision(
      "start_unanswered",
      {{"task", TaskIdText(key.first)},
       {"run", absl::StrCat(key.second)},
       {"worker", worker.record.id},
       {"may_come_for_ms",
        absl::StrCat(absl::ToInt64Milliseconds(may_arrive_until - now.mono))}});
}

void JobScheduler::ClearUnansweredStart(Job& job, TaskState& task,
                                        int32_t run) {
  if (task.unanswered.worker.empty() || task.unanswered.run != run) return;
  task.unanswered = UnansweredStart();
  MarkDirty(job);
}

bool JobScheduler::WaitsForUnansweredStart(const TaskState& task,
                                           Now now) const {
  const UnansweredStart& start = task.unanswered;
  return !start.worker.empty() && now.mono < LatestArrival(start);
}

absl::Time JobScheduler::LatestArrival(const UnansweredStart& start) const {
  const std::optional<LeaderTime>& until = start.may_arrive_until;
  if (until && until->epoch == epoch_) return until->at;
  const absl::Time latest =
      earlier_orders_.UntilOf(EpochOfRun(start.run)) + options_.max_order_delay;
  return until ? std::min(latest, earlier_orders_.LatestLocalTime(*until))
               : latest;
}

void JobScheduler::LoadUnansweredStarts() {
  for (const auto& [id, job] : active_) {
    for (const Round& round : job->rounds) {
      for (size_t s = 0; s < round.steps.size(); ++s) {
        const std::vector<TaskState>& tasks = round.steps[s].tasks;
        for (size_t i = 0; i < tasks.size(); ++i) {
          if (tasks[i].unanswered.worker.empty()) continue;
          unanswered_starts_.insert({id, round.number, static_cast<int32_t>(s),
                                     static_cast<int32_t>(i)});
        }
      }
    }
  }
}

// A task that waits keeps its record: if the order is carried out late, the
// task must not start before that run has ended.
void JobScheduler::DropPastUnansweredStarts(Now now) {
  for (auto it = unanswered_starts_.begin(); it != unanswered_starts_.end();) {
    const auto job = active_.find(it->job);
    TaskState* task =
        job != active_.end() ? job->second->FindTask(*it) : nullptr;
    const bool recorded = task != nullptr && !task->unanswered.worker.empty();
    if (recorded && (task->phase == TaskPhase::kWaiting ||
                     WaitsForUnansweredStart(*task, now) ||
                     HasRunOfUnansweredStart(*it, *task))) {
      ++it;
      continue;
    }
    if (recorded)
      ClearUnansweredStart(*job->second, *task, task->unanswered.run);
    it = unanswered_starts_.erase(it);
  }
}

bool JobScheduler::HasRunOfUnansweredStart(const TaskId& id,
                                           const TaskState& task) {
  if (task.unanswered.worker.empty()) return false;
  const RunKey run{id, task.unanswered.run};
  const std::vector<Worker*> incarnations =
      IncarnationsOf(task.unanswered.worker);
  return std::any_of(
      incarnations.begin(), incarnations.end(),
      [&](const Worker* worker) { return worker->allocations.count(run) > 0; });
}

// Applies only to long-running tasks: another task could be done before the
// order is carried out.
JobScheduler::Worker* JobScheduler::WorkerOfUnansweredStart(
    const ReadyStep& ready, const TaskState& task, Now now) {
  if (!ready.spec->long_running || ready.spec->gang) return nullptr;
  for (Worker* worker : IncarnationsOf(task.unanswered.worker)) {
    if (MayRun(*worker, ready, now) && HasTicket(*worker, ready, now) &&
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker)) > 0)
      return worker;
  }
  return nullptr;
}

}  // namespace keelbridge
