// What earlier leaders may still have running, and until when: what this leader
// recovered and has not seen waits for that.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Between two lines about recovered work that waits, and before the first:
// workers that are there have answered by then.
constexpr absl::Duration kRecoveryLogPeriod = absl::Seconds(1);

}  // namespace

absl::Duration JobScheduler::MaxLeaseDuration() const {
  return options_.lease / (1.0 - options_.clock_error) + kLeaseExpiryMargin;
}

// A leader that a worker never answered extended no lease there. So what counts
// is when the one that it answered last was fenced, not when the last of its
// successors was: with three changes of leader in 11 s the tasks of a worker
// that had ended were away for 30 s, since each successor waited anew.
absl::Time JobScheduler::LatestEarlierLeaseGrant(const Worker& worker) const {
  return LatestEarlierOrder(worker.leased_by_epoch);
}

absl::Time JobScheduler::LatestEarlierOrder(int64_t epoch) const {
  const auto successor = earlier_leaders_seen_.upper_bound(epoch);
  if (successor == earlier_leaders_seen_.end())
    return earlier_leaders_active_until_;
  return std::min(earlier_leaders_active_until_,
                  successor->second + options_.earlier_leader_grace);
}

// What an earlier leader may have started on a worker that this one has not
// reached ends at the latest when the last lease that it gave has passed. One
// that no earlier leader knew is not waited for: it may be an entry of another
// writer, at an address where nobody answers, and would hold back all recovered
// work for a lease after each change of the leader.
bool JobScheduler::IsAccountedFor(const Worker& worker, Now now) const {
  return worker.reported || worker.retired_by_earlier ||
         !worker.known_to_earlier_leader ||
         now.mono > LatestEarlierLeaseGrant(worker) + MaxLeaseDuration();
}

bool JobScheduler::AllAccountedFor(Now now) const {
  if (now.mono > earlier_leaders_active_until_ + MaxLeaseDuration())
    return true;
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

// A worker that leaves gets no more work, so that its record can name what may
// still run there. Without that 14 workers that had left with 26 tasks kept
// back 8,508 recovered tasks for 10 s.
JobScheduler::Unobserved JobScheduler::FindUnobserved(Now now) const {
  Unobserved unseen;
  if (now.mono > earlier_leaders_active_until_ + MaxLeaseDuration())
    return unseen;
  for (const auto& [id, worker] : workers_) {
    if (IsAccountedFor(*worker, now)) continue;
    const std::vector<TaskId>& tasks = worker->last_tasks_of_earlier;
    if (tasks.empty()) return {true, {}};
    unseen.tasks.insert(tasks.begin(), tasks.end());
  }
  return unseen;
}

// A job that keeps placements tells which worker may run a task: only that one
// is waited for. Without it one worker that is silent kept back all tasks that
// last: one was away for 15 s whose own worker had told at once that it failed.
bool JobScheduler::WaitsForEarlierLease(const ReadyStep& ready,
                                        const TaskState& task, Now now) const {
  if (!ready.may_run_unobserved || task.observed) return false;
  if (ready.placements_incomplete ||
      !ready.job->HasPersistedPlacements(static_cast<size_t>(ready.number))) {
    if (unobserved_.any_task) return true;
    const auto index = static_cast<int32_t>(&task - ready.state->tasks.data());
    return unobserved_.tasks.count(TaskId{ready.job->id, ready.round->number,
                                          ready.number, index}) > 0;
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
    if (recovery_wait_.tasks++ == 0)
      recovery_wait_.first = {ready.job->id, ready.round->number, ready.number,
                              static_cast<int32_t>(i)};
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
    if (last == nullptr ||
        LatestEarlierLeaseGrant(*worker) > LatestEarlierLeaseGrant(*last))
      last = worker.get();
  }
  if (last == nullptr) return;
  const absl::Duration left =
      LatestEarlierLeaseGrant(*last) + MaxLeaseDuration() - now.mono;
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

void JobScheduler::OnEarlierLeadersFenced(absl::Time now) {
  earlier_leaders_fenced_at_ = now;
  earlier_leaders_active_until_ =
      earlier_leader_stopped_ ? std::max(earlier_leaders_active_until_, now)
                              : now + options_.earlier_leader_grace;
}

void JobScheduler::OnEarlierLeaderSeen(int64_t epoch, absl::Time at) {
  if (epoch < epoch_) earlier_leaders_seen_.try_emplace(epoch, at);
}

void JobScheduler::OnEarlierLeadersStopped(absl::Time last_order) {
  earlier_leader_stopped_ = true;
  // Those that were asked may not be all: before the fence another may have
  // given orders.
  const absl::Time until = std::max(last_order, earlier_leaders_fenced_at_);
  if (until >= earlier_leaders_active_until_) return;
  earlier_leaders_active_until_ = until;
  placement_wanted_ = true;
}

}  // namespace keelbridge
