// Keeps client accounts within their maximums, and shares a full site among
// them.

#include <vector>

#include "absl/container/flat_hash_set.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {

void JobScheduler::CountForAccount(const Worker& worker, const TaskId& task,
                                   Allocation& allocation) {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return;
  const Job& job = *found->second;
  const auto step = static_cast<size_t>(task.step);
  allocation.account = accounts_.usage.IdOf(job.account);
  // A run whose size is no longer known counts as all that its worker can run.
  allocation.account_need = step < job.spec.steps.size()
                                ? AccountCharge(job.spec.steps[step])
                                : worker.record.capacity;
  accounts_.usage.Add(allocation.account, allocation.account_need);
  const Queue* queue = FindQueue(job);
  if (queue == nullptr || step >= job.spec.steps.size()) return;
  allocation.counted =
      work_admission_.rate().AddRun(queue->priority, allocation.need.cpu_milli,
                                    EstimatedRunTime(job.spec.steps[step]));
}

void JobScheduler::CountPossibleRuns(Now now) {
  accounts_.usage.ClearPossible();
  // Only then is there a run that this leader does not know of.
  if (!unobserved_.Any() && unanswered_starts_.empty()) return;
  for (const auto& [id, job] : active_) {
    if (!job->account.empty()) CountPossibleRunsOf(*job, now);
  }
  if (!unobserved_.Any()) return;
  ResourceTotals unaccounted;
  for (const auto& [id, worker] : workers_) {
    if (!IsAccountedFor(*worker, now)) unaccounted += worker->record.capacity;
  }
  accounts_.usage.LimitUnobserved(unaccounted);
}

void JobScheduler::CountPossibleRunsOf(const Job& job, Now now) {
  const AccountId account = accounts_.usage.IdOf(job.account);
  const bool may_run_unobserved = job.recovered && unobserved_.Any();
  for (const Round& round : job.rounds) {
    for (size_t s = 0; s < round.steps.size(); ++s) {
      for (const TaskState& task : round.steps[s].tasks) {
        if (task.phase != TaskPhase::kWaiting) continue;
        const Resources& charge = AccountCharge(job.spec.steps[s]);
        if (may_run_unobserved && !task.observed)
          accounts_.usage.AddUnobserved(account, charge);
        else if (WaitsForUnansweredStart(task, now))
          accounts_.usage.AddUnanswered(account, charge);
      }
    }
  }
}

ResourceTotals JobScheduler::SiteCapacity() const {
  ResourceTotals capacity;
  for (const auto& [id, worker] : workers_) capacity += worker->record.capacity;
  return capacity;
}

void JobScheduler::MarkStepsOverShare(std::vector<ReadyStep>& ready, Now now) {
  accounts_.shares.Clear();
  const bool over_time = options_.policy.share_over_time;
  if (!over_time && (!options_.policy.share_by_weight || !backlogged_)) return;
  const ResourceTotals capacity = SiteCapacity();
  if (over_time) {
    accounts_.OnPlacementPass(capacity, now.mono);
    for (ReadyStep& step : ready) {
      step.exceeds_share = step.job->excess;
      if (step.exceeds_share && step.tier == 0)
        accounts_.AddExcessWaiting(step.account, *step.spec, step.waiting);
    }
    return;
  }
  absl::flat_hash_set<AccountId> waiting = skipped_accounts_;
  for (const ReadyStep& step : ready) waiting.insert(step.account);
  accounts_.shares.Update(accounts_.usage, capacity, waiting);
  for (ReadyStep& step : ready)
    step.exceeds_share = accounts_.shares.Exceeds(step.account);
}

void JobScheduler::CountWaitingOfAccounts(const std::vector<ReadyStep>& ready) {
  accounts_.usage.ClearWaiting();
  for (const ReadyStep& step : ready)
    accounts_.usage.AddWaiting(step.account, step.waiting);
}

bool JobScheduler::LimitToAccount(ReadyStep& ready) {
  const int32_t fits = accounts_.usage.CountFits(
      ready.account, AccountCharge(*ready.spec), ready.waiting);
  const bool blocked = fits < (ready.spec->gang ? ready.waiting : 1);
  if (blocked) {
    ready.state->reserved.clear();
    RecordBlocked(ready, "its client account is at its maximum");
    return false;
  }
  ready.waiting = fits;
  return true;
}

}  // namespace keelbridge
