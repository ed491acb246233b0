// Hands over to the next leader what this one knows and could not make durable.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"

namespace keelbridge {
namespace {

// Returns how long the worker's lease lasts from `now` on, at most.
absl::Duration LeaseLeft(const ScheduledWorker& worker, absl::Time now) {
  return std::max(worker.lease_expires_at - now, absl::ZeroDuration());
}

}  // namespace

std::vector<TaskId> JobScheduler::TasksOn(const Worker& worker) {
  std::vector<TaskId> tasks;
  for (const auto& [key, allocation] : worker.allocations) {
    if (tasks.empty() || tasks.back() != key.first) tasks.push_back(key.first);
  }
  return tasks;
}

// A start without an answer may be carried out late, by whatever incarnation
// the worker then has.
std::map<std::string, std::set<TaskId>> JobScheduler::UnansweredStartTasks()
    const {
  std::map<std::string, std::set<TaskId>> tasks;
  for (const TaskId& id : unanswered_starts_) {
    const auto job = active_.find(id.job);
    const TaskState* task =
        job != active_.end() ? job->second->FindTask(id) : nullptr;
    if (task != nullptr && !task->unanswered.worker.empty())
      tasks[task->unanswered.worker].insert(id);
  }
  return tasks;
}

// Workers that stay report to the next leader themselves, so that the handover
// holds only the others. It is part of the answer that says that this leader
// has stopped, which must arrive in time over slow links.
LeaderHandover JobScheduler::Handover(absl::Time now) const {
  const std::map<std::string, std::set<TaskId>> unanswered =
      UnansweredStartTasks();
  LeaderHandover handover;
  handover.epoch = epoch_;
  handover.durations = job_timings_.learner().Learned(kMaxHandedOverQueues);
  if (options_.policy.share_over_time) handover.accounts = accounts_.Handover();
  for (const auto& [id, worker] : workers_) {
    const bool leaves = worker->record.draining || worker->record_removed;
    if (!leaves && worker->failed_observations == 0) continue;
    WorkerHandover out;
    out.worker = id;
    for (const UnacknowledgedEnd& one : worker->unacknowledged_ends)
      out.ends.push_back(one.end);
    const bool known = worker->reported && !worker->ended;
    // Covers earlier leaders too: their fence was lower when the worker first
    // reported to this one.
    if (known) out.lease_left = LeaseLeft(*worker, now);
    out.remaining_known = leaves && known;
    if (out.remaining_known) {
      const std::vector<TaskId> placed = TasksOn(*worker);
      std::set<TaskId> remaining(placed.begin(), placed.end());
      const auto late = unanswered.find(ParseWorkerIncarnation(id).name);
      if (late != unanswered.end())
        remaining.insert(late->second.begin(), late->second.end());
      out.remaining.assign(remaining.begin(), remaining.end());
    }
    if (known || !out.ends.empty()) handover.workers.push_back(std::move(out));
  }
  handover.returns = work_admission_.returns().Export(kMaxReturnsHandedOver);
  return handover;
}

void JobScheduler::OnHandover(const LeaderHandover& handover, Now now) {
  if (handover.epoch >= epoch_) return;
  if (options_.policy.share_over_time && handover.epoch == epoch_ - 1)
    accounts_.OnHandover(handover.accounts, now.mono);
  int64_t ends = 0;
  for (const WorkerHandover& from : handover.workers) {
    const auto found = workers_.find(from.worker);
    // A worker that this leader has reached reports its ends itself.
    if (found == workers_.end() || found->second->reported) continue;
    Worker& worker = *found->second;
    for (const EndedTask& end : from.ends)
      ends += ApplyHandedOverEnd(worker, end, handover.epoch, now) ? 1 : 0;
    // A later leader that assigned tasks to the worker is named by its record:
    // no leader assigns any before its record of the worker is durable.
    if (worker.leased_by_epoch != handover.epoch) continue;
    if (from.lease_left)
      worker.earlier_lease_end = std::min(
          worker.earlier_lease_end,
          now.mono - handover.age + *from.lease_left + kLeaseExpiryMargin);
    if (!from.remaining_known) continue;
    worker.retired_by_earlier = from.remaining.empty();
    worker.last_tasks_of_earlier = from.remaining;
  }
  const size_t queues =
      options_.policy.learn_durations ? job_timings_.Adopt(handover) : 0;
  if (options_.policy.admit_by_work)
    work_admission_.returns().Import(handover.returns, now);
  placement_wanted_ = true;
  LogDecision("handover_received",
              {{"epoch", absl::StrCat(handover.epoch)},
               {"returns", absl::StrCat(handover.returns.size())},
               {"workers", absl::StrCat(handover.workers.size())},
               {"ends_used", absl::StrCat(ends)},
               {"durations_used", absl::StrCat(queues)}});
}

bool JobScheduler::ApplyHandedOverEnd(Worker& worker, EndedTask end,
                                      int64_t epoch, Now now) {
  // A leader in between may have saved a later checkpoint of the task.
  if (epoch != epoch_ - 1) end.checkpoint.clear();
  if (!ProcessEnd(worker, end, EndSource::kEarlierLeader, now)) return false;
  const auto job = jobs_.find(end.task.job);
  if (job == jobs_.end()) return true;
  const TaskState* task = job->second->FindTask(end.task);
  const bool placed_here = task != nullptr && task->run == end.run &&
                           task->placed_on == worker.record.id;
  if (placed_here) RecordPlacement(*job->second, end.task, "");
  return true;
}

}  // namespace keelbridge
