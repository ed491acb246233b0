// Starts that are kept for good before their order leaves: of tasks that last,
// and of those under which several workers crashed.
//
// A later leader then knows the one worker that may run a task that lasts, and
// waits for no other; and none forgets a crash. The price is that an order
// leaves after an append to the store (some 20 ms with the pause between
// appends), and not while the store is away.

#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {

void JobScheduler::StartOnceDurable(Job& job, TaskState& task,
                                    StartAction action) {
  if (job.HasPersistedPlacements(static_cast<size_t>(action.order.task.step)))
    task.placed_on = action.worker.id;
  MarkDirty(job);
  pending_starts_.push_back({next_batch_, std::move(action)});
}

void JobScheduler::SendPendingStarts(Now now) {
  if (suspended_) return;
  while (!pending_starts_.empty() &&
         pending_starts_.front().batch <= durable_batch_) {
    StartAction action = std::move(pending_starts_.front().action);
    pending_starts_.pop_front();
    const RunKey key{action.order.task, action.order.run};
    const auto worker = workers_.find(action.worker.id);
    if (worker == workers_.end()) continue;
    const auto found = worker->second->allocations.find(key);
    if (found == worker->second->allocations.end()) continue;
    Allocation& allocation = found->second;
    const Worker& at = *worker->second;
    const bool stays =
        !at.record.draining && !at.record_removed && IsReachable(at, now);
    // It may have shrunk while the store was away, and would run the order all
    // the same.
    const bool fits = Resources().FitsIn(at.free);
    if (allocation.should_stop || !stays || !fits) {
      // No order to start it has left.
      LogDecision("start_withdrawn",
                  {{"task", TaskIdText(key.first)},
                   {"run", absl::StrCat(key.second)},
                   {"worker", action.worker.id},
                   {"why", allocation.should_stop ? "it is to stop"
                           : !stays ? "its worker leaves or is silent"
                                    : "its worker has shrunk"}});
      Release(*worker->second, key);
      Requeue(key.first, key.second, action.worker.id, now.mono);
      continue;
    }
    // What orders take counts from here, and so does a probation.
    Worker& to = *worker->second;
    if (to.probation_until > allocation.placed)
      to.probation_until += now.mono - allocation.placed;
    allocation.placed = now.mono;
    allocation.ordered = now.mono;
    action.order.lease_until_ms = GrantLease(*worker->second, now.mono);
    LogDecision("start_sent", {{"task", TaskIdText(key.first)},
                               {"run", absl::StrCat(key.second)},
                               {"worker", action.worker.id}});
    actions_.push_back(std::move(action));
  }
}

void JobScheduler::RecordPlacement(Job& job, const TaskId& task_id,
                                   const std::string& worker) {
  if (job.Ended() ||
      !job.HasPersistedPlacements(static_cast<size_t>(task_id.step)))
    return;
  TaskState* task = job.FindTask(task_id);
  if (task == nullptr || task->placed_on == worker) return;
  task->placed_on = worker;
  MarkDirty(job);
}

void JobScheduler::MovePlacements(const std::string& from,
                                  const std::string& to) {
  for (const auto& [id, job] : active_) {
    if (!job->placements_persisted) continue;
    for (Round& round : job->rounds) {
      for (StepState& step : round.steps) {
        for (TaskState& task : step.tasks) {
          if (task.placed_on != from) continue;
          task.placed_on = to;
          MarkDirty(*job);
        }
      }
    }
  }
}

void JobScheduler::AdoptPlacements() {
  placements_adopted_ = true;
  for (const auto& [id, job] : active_) {
    if (job->placements_persisted || !job->HasLongRunningStep()) continue;
    job->placements_persisted = true;
    for (Round& round : job->rounds) {
      for (StepState& step : round.steps) {
        for (TaskState& task : step.tasks) task.placed_on = task.worker;
      }
    }
    MarkDirty(*job);
  }
}

}  // namespace keelbridge
