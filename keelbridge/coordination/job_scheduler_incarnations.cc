// Lives of one worker: one that starts again may do so under the name that it
// had, at the same address.
//
// An order to start does not tell which life carried it out: its answer names
// none, and one without an answer may be carried out seconds later. So of the
// runs of a life that is over, those that it has listed are lost with it, and
// the others count as starts of the next life that had no answer. They are
// looked for there and, where they are not found, stopped before they start
// elsewhere: a stop keeps a run from starting late. What comes later than the
// first look at the next life is refused there: each life gets a higher fence.

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

// Fences of one leader's epoch: each life of a worker gets a higher one, and
// each later leader's are higher still.
constexpr int64_t kFencesPerEpoch = 1 << 20;

}  // namespace

std::vector<JobScheduler::Worker*> JobScheduler::IncarnationsOf(
    const std::string& name) {
  std::vector<Worker*> incarnations;
  const auto known_by_name = workers_.find(name);
  if (known_by_name != workers_.end() && known_by_name->second != nullptr)
    incarnations.push_back(known_by_name->second.get());
  for (auto it = workers_.upper_bound(name);
       it != workers_.end() && absl::StartsWith(it->first, name); ++it) {
    if (it->second != nullptr && ParseWorkerIncarnation(it->first).name == name)
      incarnations.push_back(it->second.get());
  }
  return incarnations;
}

void JobScheduler::OnOtherIncarnation(Worker& worker,
                                      const std::string& next_id, Now now) {
  // What ran there is not known to this leader, unless it is on record.
  if (worker.known_to_earlier_leader && !worker.reported &&
      !worker.record.draining && worker.allocations.empty())
    unobserved_worker_crashed_ = true;
  Worker* next = nullptr;
  if (!next_id.empty() && next_id != worker.record.id) {
    next = &FindOrAddNextIncarnation(worker, next_id, now);
    RecordRestart(*next, now);
    LogDecision("worker_started_again",
                {{"worker", worker.record.id},
                 {"next", next_id},
                 {"runs", absl::StrCat(worker.allocations.size())},
                 {"ends_noted", absl::StrCat(worker.ends_acknowledged)}},
                Severity::kWarning);
    if (next->fence <= worker.fence)
      next->fence = NextFence(ParseWorkerIncarnation(next_id).name);
    TransferUnobservedRuns(worker, *next);
  }
  HandleWorkerLoss(
      worker, worker.record.draining ? WorkerLoss::kLeft : WorkerLoss::kCrash,
      next, now);
  worker.record_removed = true;
  worker.reported = true;
  worker.lease_expires_at = absl::InfinitePast();
}

JobScheduler::Worker& JobScheduler::FindOrAddNextIncarnation(
    const Worker& earlier, const std::string& id, Now now) {
  const auto known = workers_.find(id);
  if (known != workers_.end()) return *known->second;
  // Its room, labels and pool may be others now.
  WorkerRecord record = earlier.record;
  record.id = id;
  record.draining = false;
  record.leaves_in_ms = -1;
  OnWorkerRecord(record, now);
  Worker& next = *workers_.at(id);
  next.record_removed = true;
  next.lease_expires_at = now.mono + MaxLeaseDuration();
  return next;
}

void JobScheduler::TransferUnobservedRuns(const Worker& worker, Worker& next) {
  if (!worker.known_to_earlier_leader || worker.retired_by_earlier ||
      worker.reported || next.reported)
    return;
  next.known_to_earlier_leader = true;
  next.persists_placements =
      next.persists_placements && worker.persists_placements;
  next.last_tasks_of_earlier = worker.last_tasks_of_earlier;
  MovePlacements(worker.record.id, next.record.id);
}

bool JobScheduler::MayRunOnNextIncarnation(const Worker& worker,
                                           const Allocation& run) {
  // A listing that was asked for after the answer to the start tells that this
  // life was there until then.
  return !run.reported && run.start_answered >= worker.report_requested_at;
}

void JobScheduler::MoveToNextIncarnation(const Worker& worker, Worker& next,
                                         const RunKey& key,
                                         const Allocation& run, Now now) {
  Allocation& moved = Allocate(next, key.first, key.second, run.need, now);
  moved.uncertain = true;
  moved.uncertain_since = now.mono;
  if (IsStartUnanswered(run, now)) moved.ordered = run.ordered;
  next.unresolved = true;
  next.inherited_runs = true;
  next.lease_expires_at =
      std::max(next.lease_expires_at, now.mono + MaxLeaseDuration());
  next.next_observe = now.mono;
  ScheduleCheck(next);
  const auto found = jobs_.find(key.first.job);
  Job* job = found != jobs_.end() ? found->second.get() : nullptr;
  TaskState* task = job != nullptr ? job->FindTask(key.first) : nullptr;
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == worker.record.id &&
                       task->phase != TaskPhase::kDone;
  if (!current || job->Ended() || run.should_stop) MarkStopping(next, moved);
  if (!current) return;
  task->worker = next.record.id;
  task->phase =
      moved.should_stop ? TaskPhase::kStopping : TaskPhase::kUncertain;
  RecordPlacement(*job, key.first, next.record.id);
}

int64_t JobScheduler::NextFence(const std::string& name) {
  const int64_t first = epoch_ * kFencesPerEpoch;
  return ++fences_.try_emplace(name, first).first->second;
}

bool JobScheduler::HasSeenOwnFence(Worker& worker, int64_t fence, Now now) {
  const std::string name = ParseWorkerIncarnation(worker.record.id).name;
  const auto sent = fences_.find(name);
  if (sent == fences_.end() || sent->second <= fence) {
    fenced_ = true;
    return false;
  }
  // The answer does not tell which life gave it. A listing does.
  if (worker.fence < sent->second) worker.fence = NextFence(name);
  worker.next_observe = now.mono;
  worker.observe_now = true;
  ScheduleCheck(worker);
  return true;
}

void JobScheduler::SetIncarnationId(Worker& worker, const std::string& id) {
  const std::string name = std::exchange(worker.record.id, id);
  auto entry = workers_.extract(name);
  entry.key() = id;
  workers_.insert(std::move(entry));
  // Answers to what was sent to it by its name alone are not taken any more.
  worker.observations_in_flight = 0;
  for (auto& [key, allocation] : worker.allocations) {
    allocation.stop_in_flight = false;
    allocation.uncertain = allocation.uncertain || !allocation.reported;
    worker.unresolved = true;
  }
  MovePlacements(name, id);
  for (const auto& [job_id, job] : active_) {
    for (Round& round : job->rounds) {
      for (StepState& step : round.steps) {
        for (TaskState& task : step.tasks) {
          if (task.worker == name) task.worker = id;
          if (task.exposed.worker != name) continue;
          task.exposed.worker = id;
          MarkDirty(*job);
        }
      }
    }
  }
  const auto exposed = exposed_.extract(name);
  if (!exposed.empty()) exposed_[id] = exposed.mapped();
  keys_to_drop_.push_back(KnownWorkerKey(name));
  PersistWorker(worker);
  actions_.push_back(ForgetWorkerAction{name});
}

}  // namespace keelbridge
