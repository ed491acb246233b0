// Determines what earlier leaders may still have running, and until when.
// Recovered tasks that this leader has not observed wait for that.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// The time between two log lines about waiting recovered tasks, and before the
// first one. Workers that still exist have answered by then.
constexpr absl::Duration kRecoveryLogPeriod = absl::Seconds(1);

// Returns whether a task that this leader observed may have failed so often
// under earlier leaders that it must not start again.
//
// An earlier leader may have started the task again after failures that it
// could not make durable. The workers of these runs still have to report them.
bool MayHaveUsedUpAttempts(const ReadyStep& ready, const TaskState& task) {
  if (ready.spec->long_running) return false;
  const TaskState& history =
      ready.spec->gang ? ready.state->tasks.front() : task;
  const int32_t adopted = history.adopted_run;
  if (adopted == 0) return false;
  const int64_t epoch = EpochOfRun(adopted);
  // The numbers of this leader's runs do not tell how many runs there were
  // under the leaders before it.
  if (epoch > ready.job->accepted_epoch) return true;
  const int32_t first_run = FirstRunOfEpoch(epoch);
  const std::vector<int32_t>& failed = history.failed_runs;
  const auto known_before = std::count_if(
      failed.begin(), failed.end(),
      [&](int32_t run) { return first_run <= run && run < adopted; });
  const auto unknown_before = adopted - first_run - known_before;
  return static_cast<int64_t>(failed.size()) + unknown_before >=
         ready.queue->max_attempts;
}

}  // namespace

absl::Duration JobScheduler::MaxLeaseDuration() const {
  return options_.lease / (1.0 - options_.max_clock_drift) + kLeaseExpiryMargin;
}

// A leader that a worker never answered has not extended its lease. So the
// lease counts from when the leader that the worker answered last was fenced,
// not from when the last of that leader's successors was fenced. Otherwise each
// successor would wait for a full lease: with three changes of leader in 11 s,
// the tasks of a worker that had ended were down for 30 s.
//
// An earlier leader that could be asked has said when its lease of a worker
// that it did not reach either ends. Otherwise each planned stop of a leader
// would begin the wait for a lost worker anew.
absl::Time JobScheduler::EarlierLeaseEnd(const Worker& worker) const {
  return std::min(worker.earlier_lease_end,
                  earlier_orders_.LeasesUntilOf(worker.leased_by_epoch));
}

// Runs that an earlier leader may have started on a worker that this leader has
// not reached end at the latest when the last lease from that leader expires. A
// worker that no earlier leader knew is not waited for: its entry in the
// platform's list may come from another writer and have an address where
// nothing answers. Waiting for it would delay all recovered tasks by a lease
// after each change of leader.
bool JobScheduler::IsAccountedFor(const Worker& worker, Now now) const {
  return worker.reported || worker.retired_by_earlier ||
         !worker.known_to_earlier_leader || now.mono > EarlierLeaseEnd(worker);
}

bool JobScheduler::AllAccountedFor(Now now) const {
  if (now.mono > earlier_orders_.LeasesUntil()) return true;
  return std::all_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return IsAccountedFor(*entry.second, now);
  });
}

bool JobScheduler::PlacementsMayBeMissing(Now now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return !entry.second->persists_placements &&
           !IsAccountedFor(*entry.second, now);
  });
}

// A worker that leaves gets no more tasks, so its record can name the tasks
// that may still run there. Without these names, 14 workers that had left with
// 26 tasks delayed 8,508 recovered tasks by 10 s.
UnobservedTasks JobScheduler::FindUnobserved(Now now) const {
  UnobservedTasks unobserved;
  if (now.mono > earlier_orders_.LeasesUntil()) return unobserved;
  for (const auto& [id, worker] : workers_) {
    if (IsAccountedFor(*worker, now)) continue;
    const std::vector<TaskId>& tasks = worker->last_tasks_of_earlier;
    unobserved.any_task = unobserved.any_task || tasks.empty();
    unobserved.tasks.insert(tasks.begin(), tasks.end());
  }
  return unobserved;
}

// If a job records its placements, a task waits only for the worker that it was
// placed on. Without recorded placements, a single unresponsive worker delayed
// all long-running tasks: one of them was down for 15 s although its own worker
// had reported its failure at once.
//
// A record that names the task shows that an earlier leader started it. Without
// one it may have done so only if it may have taken the steps before for done.
bool JobScheduler::WaitsForEarlierLease(const ReadyStep& ready,
                                        const TaskState& task, Now now) const {
  if (!ready.may_run_unobserved) return false;
  if (task.observed) return MayHaveUsedUpAttempts(ready, task);
  if (ready.placements_incomplete ||
      !ready.job->HasPersistedPlacements(static_cast<size_t>(ready.number))) {
    if (unobserved_.any_task && ready.may_have_begun_earlier) return true;
    return unobserved_.tasks.count(ready.IdOf(task)) > 0;
  }
  if (task.placed_on.empty()) return false;
  const auto worker = workers_.find(task.placed_on);
  return worker == workers_.end() || !IsAccountedFor(*worker->second, now);
}

void JobScheduler::CountWaitingForRecovery(const ReadyStep& ready, Now now) {
  const std::vector<TaskState>& tasks = ready.state->tasks;
  for (size_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].phase != TaskPhase::kWaiting ||
        !WaitsForEarlierLease(ready, tasks[i], now))
      continue;
    if (recovery_wait_.tasks++ == 0) recovery_wait_.first = ready.IdAt(i);
  }
}

void JobScheduler::LogRecoveryWait(Now now) {
  figures_.recovered_waiting = recovery_wait_.tasks;
  if (recovery_wait_.tasks == 0) {
    next_recovery_log_ = now.mono + kRecoveryLogPeriod;
    if (std::exchange(recovery_wait_logged_, false))
      LogDecision("recovered_work_free", {});
    return;
  }
  if (now.mono < next_recovery_log_) return;
  recovery_wait_logged_ = true;
  next_recovery_log_ = now.mono + kRecoveryLogPeriod;
  const Worker* last = nullptr;
  int64_t unaccounted = 0;
  for (const auto& [id, worker] : workers_) {
    if (IsAccountedFor(*worker, now)) continue;
    ++unaccounted;
    if (last == nullptr || EarlierLeaseEnd(*worker) > EarlierLeaseEnd(*last))
      last = worker.get();
  }
  if (last == nullptr) return;
  const absl::Duration left = EarlierLeaseEnd(*last) - now.mono;
  LogDecision("recovered_work_waits",
              {{"tasks", absl::StrCat(recovery_wait_.tasks)},
               {"first", TaskIdText(recovery_wait_.first)},
               {"workers", absl::StrCat(unaccounted)},
               {"last_worker", last->record.id},
               {"it_leaves", last->record.draining ? "yes" : "no"},
               {"record_removed", last->record_removed ? "yes" : "no"},
               {"held_by_epoch", absl::StrCat(last->leased_by_epoch)},
               {"at_most_ms", absl::StrCat(absl::ToInt64Milliseconds(left))}},
              Severity::kWarning);
}

void JobScheduler::OnEarlierLeaderAppend(const LeaderAppend& append) {
  const absl::Time orders = earlier_orders_.Until();
  const absl::Time leases = earlier_orders_.LeasesUntil();
  bool bounded = earlier_orders_.OnLastAppend(append.begun);
  if (append.leases_over)
    bounded = earlier_orders_.OnLeasesOver(
                  {append.begun.epoch, *append.leases_over}) ||
              bounded;
  if (!bounded) return;
  placement_wanted_ = true;
  const auto earlier_by_ms = [](absl::Time before, absl::Time after) {
    return absl::StrCat(absl::ToInt64Milliseconds(before - after));
  };
  LogDecision("earlier_leader_bounded",
              {{"epoch", absl::StrCat(append.begun.epoch)},
               {"orders_end_earlier_by_ms",
                earlier_by_ms(orders, earlier_orders_.Until())},
               {"leases_end_earlier_by_ms",
                earlier_by_ms(leases, earlier_orders_.LeasesUntil())}});
}

void JobScheduler::OnEarlierLeadersStopped(absl::Time last_order) {
  if (earlier_orders_.OnStopped(last_order)) placement_wanted_ = true;
}

}  // namespace keelbridge
