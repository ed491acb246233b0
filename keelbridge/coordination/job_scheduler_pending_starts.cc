// Makes placements durable before their start orders are sent. This applies to
// long-running tasks and to tasks under which several workers crashed.
//
// A later leader then knows the only worker that may run a long-running task
// and waits for no other worker, and no leader forgets a crash. The cost is
// that an order is sent only after an append to the store (about 20 ms,
// including the pause between appends), and not while the store is unavailable.

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
    const bool stays = !at.record.draining && !at.record_removed &&
                       IsReachable(at, now) &&
                       MayExtendLease(at, durable_batch_);
    // The worker's capacity may have shrunk while the store was unavailable,
    // and the worker would carry out the order nevertheless.
    const bool fits = Resources().FitsIn(at.free);
    if (allocation.stop.requested() || !stays || !fits) {
      // No order to start the run was sent.
      LogDecision("start_withdrawn",
                  {{"task", TaskIdText(key.first)},
                   {"run", absl::StrCat(key.second)},
                   {"worker", action.worker.id},
                   {"why", allocation.stop.requested() ? "it should stop"
                           : !stays ? "its worker leaves or does not respond"
                                    : "its worker has shrunk"}});
      Release(*worker->second, key);
      Requeue(key.first, key.second, action.worker.id, now.mono);
      continue;
    }
    // The order's answer time and a probation are measured from here on.
    Worker& to = *worker->second;
    if (to.probation_until > allocation.placed)
      to.probation_until += now.mono - allocation.placed;
    allocation.placed = now.mono;
    allocation.ordered = now.mono;
    action.order.lease_until_ms = GrantLease(*worker->second, now.mono);
    LogDecision("start_sent", {{"task", TaskIdText(key.first)},
                               {"run", absl::StrCat(key.second)},
                               {"worker", action.worker.id}});
    SendStart(to, std::move(action), now);
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
