// Hands over to the next leader what this one knows and could not make durable.

#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {

std::vector<TaskId> JobScheduler::TasksOn(const Worker& worker) {
  std::vector<TaskId> tasks;
  for (const auto& [key, allocation] : worker.allocations) {
    if (tasks.empty() || tasks.back() != key.first) tasks.push_back(key.first);
  }
  return tasks;
}

LeaderHandover JobScheduler::Handover() const {
  LeaderHandover handover;
  handover.epoch = epoch_;
  for (const auto& [id, worker] : workers_) {
    const bool may_be_out_of_reach = worker->record.draining ||
                                     worker->record_removed ||
                                     worker->failed_observations > 0;
    if (worker->unacknowledged_ends.empty() &&
        !(worker->reported && may_be_out_of_reach))
      continue;
    WorkerHandover& to = handover.workers.emplace_back();
    to.worker = id;
    for (const UnacknowledgedEnd& one : worker->unacknowledged_ends)
      to.ends.push_back(one.end);
    to.reported = worker->reported;
    if (to.reported) to.remaining = TasksOn(*worker);
  }
  return handover;
}

void JobScheduler::OnHandover(const LeaderHandover& handover, Now now) {
  if (handover.epoch >= epoch_) return;
  int64_t ends = 0;
  for (const WorkerHandover& from : handover.workers) {
    const auto found = workers_.find(from.worker);
    // A worker that this leader has reached reports its ends itself.
    if (found == workers_.end() || found->second->reported) continue;
    Worker& worker = *found->second;
    for (const EndedTask& end : from.ends)
      ends += ProcessEnd(worker, end, now) ? 1 : 0;
    // A later leader may have assigned further tasks to the worker.
    if (!from.reported || worker.leased_by_epoch != handover.epoch) continue;
    worker.retired_by_earlier = from.remaining.empty();
    worker.last_tasks_of_earlier = from.remaining;
  }
  placement_wanted_ = true;
  LogDecision("handover_received",
              {{"epoch", absl::StrCat(handover.epoch)},
               {"workers", absl::StrCat(handover.workers.size())},
               {"ends", absl::StrCat(ends)}});
}

}  // namespace keelbridge
