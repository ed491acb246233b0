// Handles incarnations of a worker: a worker that restarts may do so under the
// same name and at the same address.
//
// The leader cannot tell which incarnation carried out an order to start a run:
// the answer does not name it, and an order without an answer may be carried
// out seconds later. So when an incarnation has ended, the runs that it
// reported are lost with it, and its other runs count as unanswered starts of
// the next incarnation. The scheduler looks for them there. It stops those that
// it does not find before their tasks start elsewhere, because a stop keeps a
// run from starting late. Each incarnation gets a higher fence, so that it
// refuses orders to earlier incarnations which arrive after the first
// observation of it.

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

// The number of fences of one leader's epoch. Each incarnation of a worker gets
// a higher fence, and the fences of later leaders are higher still.
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
  // Runs on this worker are unknown to this leader unless they were recorded.
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
  worker.ended = true;
  worker.lease_expires_at = absl::InfinitePast();
}

JobScheduler::Worker& JobScheduler::FindOrAddNextIncarnation(
    const Worker& earlier, const std::string& id, Now now) {
  const auto known = workers_.find(id);
  if (known != workers_.end()) return *known->second;
  // The capacity, labels and pool of the new incarnation may differ.
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
  // A report that was requested after the answer to the start shows that this
  // incarnation existed until then, so it carried out the start.
  return !run.reported && run.start_answered >= worker.report_requested_at;
}

void JobScheduler::MoveToNextIncarnation(const Worker& worker, Worker& next,
                                         const RunKey& key,
                                         const Allocation& run, Now now) {
  Allocation& moved = Allocate(next, key.first, key.second, now);
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
  if (!current || job->Ended() || run.stop.requested())
    MarkStopping(next, moved);
  if (!current) return;
  task->worker = next.record.id;
  task->phase =
      moved.stop.requested() ? TaskPhase::kStopping : TaskPhase::kUncertain;
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
  // The answer does not name its incarnation, but a worker report does.
  if (worker.fence < sent->second) worker.fence = NextFence(name);
  worker.next_observe = now.mono;
  worker.observe_now = true;
  ScheduleCheck(worker);
  return true;
}

void JobScheduler::SetIncarnationId(Worker& worker, const std::string& id) {
  const std::string name = worker.record.id;
  search_order_.erase({worker.record.zone, name});
  worker.record.id = id;
  search_order_[{worker.record.zone, id}] = &worker;
  auto entry = workers_.extract(name);
  entry.key() = id;
  workers_.insert(std::move(entry));
  // Answers to calls that were sent under the name alone are ignored from now
  // on.
  worker.observations.CloseAll();
  worker.orders.CloseAll();
  worker.advice_calls.CloseAll();
  for (auto& [key, allocation] : worker.allocations) {
    allocation.stop.OnAnswersVoid();
    allocation.uncertain = allocation.uncertain || !allocation.reported;
    worker.unresolved = true;
  }
  MovePlacements(name, id);
  for (const auto& [job_id, job] : active_) {
    for (Round& round : job->rounds) {
      for (StepState& step : round.steps) {
        for (TaskState& task : step.tasks) {
          if (task.worker == name) task.worker = id;
          if (task.crash_suspect.worker != name) continue;
          task.crash_suspect.worker = id;
          MarkDirty(*job);
        }
      }
    }
  }
  const auto crash_suspect = crash_suspects_.extract(name);
  if (!crash_suspect.empty()) crash_suspects_[id] = crash_suspect.mapped();
  keys_to_drop_.push_back(KnownWorkerKey(name));
  PersistWorker(worker);
  actions_.push_back(ForgetWorkerAction{name});
}

}  // namespace keelbridge
