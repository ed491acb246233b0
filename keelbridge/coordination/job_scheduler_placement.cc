// Orders the steps that have waiting tasks and places single tasks.
// job_scheduler_gangs.cc places gangs, job_scheduler_advice.cc asks for advice.

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/capacity_search.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Minimum time between two placement passes, and what is added to it for each
// step that waits, because a pass collects and orders all of them. Longer
// pauses starve a site with a backlog.
constexpr absl::Duration kMinPassInterval = absl::Milliseconds(4);
constexpr absl::Duration kPassIntervalPerStep = absl::Microseconds(4);
// Maximum number of tasks started by one placement pass: normally, and when the
// driver's loop lags by more than `kLagThreshold`. The remaining tasks wait for
// the next pass, which is delayed by the share `kPassIntervalLagShare` of the
// lag, so that calls in progress are answered in time while the leader still
// starts as many tasks as it can.
constexpr int32_t kMaxStarts = 60;
constexpr int32_t kMaxStartsWhenLagging = 20;
// A pass may start as many tasks for each period since the previous pass, for
// at most `kMaxStartPeriods`. Otherwise a leader whose passes are slow, and
// thus rare, would start fewer tasks, and the growing backlog would make its
// passes still slower. A period is `kStartPeriod`, or the delay of the pass by
// a lag if that is longer.
constexpr absl::Duration kStartPeriod = absl::Milliseconds(20);
constexpr double kMaxStartPeriods = 25;
constexpr absl::Duration kLagThreshold = absl::Milliseconds(100);
constexpr double kPassIntervalLagShare = 0.25;
// Maximum number of searches for advice candidates in one pass.
constexpr int32_t kMaxAdviceSearches = 16;
// The time for which a pass may make `kMaxAdviceSearches` searches. A pass that
// examines late steps makes those of at most `kMaxSkippedPasses` passes.
constexpr absl::Duration kAdviceSearchPeriod = absl::Milliseconds(20);
constexpr double kMaxSkippedPasses = 20;
// Advice for long-running tasks on an unresponsive worker is requested this
// long before the worker's lease expires, so that the service is not down for
// the duration of an advice call as well.
constexpr absl::Duration kAdviceLeadTime = absl::Milliseconds(1200);
// Maximum number of blocked gangs, and of blocked steps of single tasks, that
// may reserve capacity at a time.
constexpr int kMaxReservingGangs = 4;
constexpr int kMaxReservingSingleSteps = 8;
// Maximum number of further gangs that reserve capacity while they obtain their
// tickets. This applies only in an idle pool, and only to gangs for which all
// of the capacity they need is free.
constexpr int kMaxReservingReadyGangs = 32;
// A site has a backlog when the number of waiting steps exceeds both this
// number and this share of its workers. Capacity that becomes free there is
// used at once, and reserving capacity, or preempting runs that must be
// restored later, wastes work.
constexpr size_t kBacklogMinSteps = 40;
constexpr double kBacklogWorkerShare = 0.25;
// If more than `kMaxUnthrottledLateSteps` steps belong to jobs that are already
// late, these steps are examined once per interval, which grows with their
// number. A few more milliseconds do not change the value of a late job, and
// examining it takes time of the leader that timely steps need.
constexpr int64_t kMaxUnthrottledLateSteps = 20;
constexpr absl::Duration kMinLateInterval = absl::Milliseconds(100);
constexpr absl::Duration kMaxLateInterval = absl::Milliseconds(400);
constexpr absl::Duration kLateIntervalPerStep = absl::Microseconds(100);
// A long-running task that has stopped running precedes all other tasks once it
// has been down for this long. Users consider it lost after three seconds,
// however full the site is; this leaves time for advice (up to 0.9 s) and for
// capacity of its size to become free. Before that it waits its turn, because
// many tasks start again at once when a worker or a zone is lost.
constexpr absl::Duration kToleratedDowntime = absl::Milliseconds(500);
constexpr int kDownTier = -1;
// Penalties added to the share of a worker that would stay free, which is at
// most 1.
// The worker is not in the rack of the task's data.
constexpr double kOtherRackPenalty = 10;
constexpr double kFailedOnWorkerPenalty = 20;
constexpr double kFailingWorkerPenalty = 5;

// Returns whether `a` is placed before `b`.
bool IsPlacedBefore(const ReadyStep& a, const ReadyStep& b) {
  const auto rank = [](const ReadyStep& step) {
    // Work beyond its account's entitlement waits with the late work, so that
    // it does not delay timely work of others, whatever its priority.
    const int tier = step.tier == 0 && step.job->excess ? 1 : step.tier;
    return std::make_tuple(tier, step.queue->priority, step.exceeds_share,
                           step.latest_start, step.job->id);
  };
  return rank(a) < rank(b);
}

bool IsLate(const ReadyStep& ready) { return ready.tier > 0; }

// Returns whether the step may wait for a later pass when late steps are
// skipped.
//
// A partly placed gang keeps its placed members waiting, and a long-running
// task serves users of its own; neither may be delayed.
bool MayDefer(const ReadyStep& ready) {
  const bool begun = ready.spec->gang && ready.waiting < ready.spec->count;
  return IsLate(ready) && !begun && !ready.spec->long_running;
}

// Returns whether a task of the step would fit on one of the workers if
// nothing were reserved there.
bool FitsWithoutReservations(const ReadyStep& ready,
                             const std::vector<ScheduledWorker*>& usable) {
  const Resources need = CapacityNeeded(*ready.spec);
  return std::any_of(usable.begin(), usable.end(),
                     [&](const ScheduledWorker* worker) {
                       return worker->reserved.amount() != Resources() &&
                              need.FitsIn(worker->free);
                     });
}

// Returns a score for the task on the worker; lower is better.
double PlacementScore(const ScheduledWorker& worker, const ReadyStep& ready,
                      const TaskState& task) {
  const Resources left = worker.free - CapacityNeeded(*ready.spec);
  // Prefers the fullest worker that fits, to keep contiguous capacity for tasks
  // with large needs.
  double score = DominantShare(left, worker.record.capacity);
  if (!ready.spec->rack.empty() && worker.record.rack != ready.spec->rack)
    score += kOtherRackPenalty;
  if (worker.record.id == task.failed_on) score += kFailedOnWorkerPenalty;
  if (!task.failed_runs.empty() && worker.failures_in_row > 0)
    score += kFailingWorkerPenalty;
  return score;
}

// Returns whether an earlier leader may have started tasks of the step. It has
// not if it cannot have taken all steps before it for done.
bool MayHaveBegunEarlier(const Job& job, const Round& round, size_t step) {
  const std::vector<int32_t>& after = job.spec.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](int32_t before) {
    return round.steps[static_cast<size_t>(before)]
        .earlier_knowledge.MayTakeStepForDone();
  });
}

}  // namespace

bool JobScheduler::MayStart(const ReadyStep& ready, const TaskState& task,
                            Now now) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= now.mono &&
         ready.state->paused_until <= now.mono &&
         !WaitsForEarlierLease(ready, task, now) &&
         !HasRunOfUnansweredStart(ready.IdOf(task), task) &&
         (!WaitsForUnansweredStart(task, now) ||
          WorkerOfUnansweredStart(ready, task, now) != nullptr);
}

std::vector<ReadyStep> JobScheduler::CollectReadySteps(Now now) {
  std::vector<ReadyStep> out;
  figures_.ready_tasks = 0;
  recovery_wait_ = RecoveryWait();
  unobserved_ = FindUnobserved(now);
  skipped_steps_ = 0;
  skipped_accounts_.clear();
  const bool skips_late_jobs = late_steps_deferred_ && !unobserved_.Any();
  const bool placements_incomplete =
      unobserved_.Any() && PlacementsMayBeMissing(now);
  const int64_t wall_ms = ToMillis(now.wall);
  for (auto& [id, job] : active_) {
    if (job->description_batch > durable_batch_) continue;
    if (skips_late_jobs && job->deferred_steps > 0) {
      figures_.ready_tasks += job->deferred_tasks;
      skipped_steps_ += static_cast<size_t>(job->deferred_steps);
      skipped_accounts_.insert(accounts_.usage.IdOf(job->account));
      continue;
    }
    job->deferred_tasks = 0;
    job->deferred_steps = 0;
    const Queue* queue = FindQueue(*job);
    if (queue == nullptr) continue;
    for (Round& round : job->rounds) {
      if (!round.due) continue;
      for (size_t s = 0; s < round.steps.size(); ++s) {
        StepState& step = round.steps[s];
        const StepSpec& spec = job->spec.steps[s];
        if (step.done == spec.count || !job->StepReady(round, s)) continue;
        step.ready_since = std::min(step.ready_since, now.mono);
        ReadyStep ready{};
        ready.job = job;
        ready.round = &round;
        ready.state = &step;
        ready.spec = &spec;
        ready.queue = queue;
        ready.account = accounts_.usage.IdOf(job->account);
        ready.number = static_cast<int32_t>(s);
        ready.may_run_unobserved = job->recovered && unobserved_.Any();
        ready.may_have_begun_earlier =
            ready.may_run_unobserved && MayHaveBegunEarlier(*job, round, s);
        ready.placements_incomplete = placements_incomplete;
        for (const TaskState& task : step.tasks)
          ready.waiting += MayStart(ready, task, now) ? 1 : 0;
        if (ready.may_run_unobserved) CountWaitingForRecovery(ready, now);
        if (ready.waiting == 0 && spec.long_running && !spec.gang) {
          ready.waiting = static_cast<int32_t>(
              FindTasksOnLeavingWorkers(spec, step).size());
          if (queue->advice.needed)
            ready.waiting += CountTasksOnExpiringLeases(spec, step, now);
          ready.asks_ahead = ready.waiting > 0;
        }
        const int32_t waiting = ready.waiting;
        if (waiting == 0) continue;
        figures_.ready_tasks += waiting;
        const JobTiming& timing = job_timings_.Get(*job, *queue, now.mono);
        const absl::Duration objective = timing.objective;
        const absl::Duration age =
            job->spec.rounds > 0
                ? absl::Milliseconds(wall_ms - job->DueTime(round.number))
                : now.mono - job->accepted_at;
        const absl::Duration left = objective - age - timing.work_from[s];
        ready.down = IsDown(ready, now);
        const bool timely = left > absl::ZeroDuration() && !job->admitted_late;
        const int tier = ready.down ? kDownTier
                         : timely   ? 0
                         : left + objective * (kMaxObjectiveFactor - 1) >
                                 absl::ZeroDuration()
                             ? 1
                             : 2;
        ready.tier = tier;
        ready.latest_start = now.mono + left;
        ready.slack_left = left / std::max(objective - timing.work_from[0],
                                           absl::Milliseconds(1));
        out.push_back(ready);
      }
    }
  }
  return out;
}

bool JobScheduler::IsDown(const ReadyStep& ready, Now now) {
  if (!ready.spec->long_running || ready.spec->gang) return false;
  const std::vector<TaskState>& tasks = ready.state->tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& task) {
    const bool may_start =
        (task.run > 0 || ready.job->recovered) && MayStart(ready, task, now);
    return may_start && (now.mono - task.retry_at > kToleratedDowntime ||
                         moves_.IsMoving(ready.IdOf(task), task.run));
  });
}

int32_t JobScheduler::CountTasksOnExpiringLeases(const StepSpec& spec,
                                                 const StepState& step,
                                                 Now now) const {
  if (!spec.long_running || spec.gang) return 0;
  int32_t soon = 0;
  for (const TaskState& task : step.tasks) {
    const auto worker = workers_.find(task.worker);
    if (worker == workers_.end()) continue;
    const Worker& on = *worker->second;
    if (on.failed_observations > 0 &&
        now.mono > on.lease_expires_at - kAdviceLeadTime)
      ++soon;
  }
  return soon;
}

void JobScheduler::ReportBacklog(const std::vector<ReadyStep>& ready, Now now) {
  Backlog backlog;
  backlog.all = figures_.ready_tasks;
  accounts_.backlog.Clear();
  // A pass that defers late steps does not know all tasks of an account.
  if (!late_steps_deferred_) CountWaitingOfAccounts(ready);
  for (const ReadyStep& step : ready) {
    if (step.tier != 0) continue;
    const int32_t priority = step.queue->priority;
    accounts_.backlog.Add(step.account, priority, AccountCharge(*step.spec),
                          step.waiting,
                          absl::Milliseconds(step.spec->estimated_ms));
    // Tasks that their account may not start now delay no others.
    const int32_t startable = accounts_.usage.CountFits(
        step.account, AccountCharge(*step.spec), step.waiting);
    auto& timely =
        step.exceeds_share ? backlog.timely_over_share : backlog.timely;
    timely[priority] += startable;
  }
  const int64_t started = figures_.starts - starts_at_last_pass_;
  starts_at_last_pass_ = figures_.starts;
  admission_.OnPlacementPass(std::move(backlog), started, now.mono);
  if (options_.policy.admit_by_work) ReportWaitingWork(ready, started, now);
}

void JobScheduler::ReportWaitingWork(const std::vector<ReadyStep>& ready,
                                     int64_t started, Now now) {
  WaitingWork& waiting = work_admission_.waiting();
  waiting.timely.Clear();
  // A pass that defers late steps does not know all of them.
  if (!late_steps_deferred_) {
    waiting.late.Clear();
    waiting.worthless = WorkAmount();
  }
  for (const ReadyStep& step : ready) {
    if (IsLate(step) && late_steps_deferred_) continue;
    const WorkAmount work = WorkOf(
        *step.spec, accounts_.usage.CountFits(
                        step.account, AccountCharge(*step.spec), step.waiting));
    const WorkRank rank{step.queue->priority, step.exceeds_share};
    if (step.tier == 0)
      waiting.timely.Add(rank, step.latest_start, work);
    else if (step.tier == 1)
      waiting.late.Add(rank, step.latest_start, work);
    else if (IsLate(step))
      waiting.worthless += work;
  }
  ServiceRate::Pass pass;
  for (const auto& [id, worker] : workers_) {
    if (worker->reported && !worker->record_removed && !worker->record.draining)
      pass.capacity_milli += worker->record.capacity.cpu_milli;
  }
  pass.started = started;
  pass.starts_were_limited = starts_left_ <= 0;
  work_admission_.OnPlacementPass(pass, durable_batch_, now.mono);
  const int64_t late = work_admission_.TakeLateCountToLog(now.mono);
  if (late > 0) LogDecision("admitted_late", {{"jobs", absl::StrCat(late)}});
}

bool JobScheduler::DefersLateSteps(Now now) const {
  return late_steps_ > kMaxUnthrottledLateSteps && now.mono < next_late_pass_;
}

void JobScheduler::CountPlacementPass(const std::vector<ReadyStep>& ready,
                                      Now now) {
  ++figures_.placement_passes;
  figures_.steps_examined += static_cast<int64_t>(ready.size());
  if (late_steps_deferred_) return;
  late_steps_ = std::count_if(ready.begin(), ready.end(), IsLate);
  figures_.late_steps_examined += late_steps_;
  last_late_pass_ = now.mono;
  next_late_pass_ = now.mono + std::clamp(kLateIntervalPerStep * late_steps_,
                                          kMinLateInterval, kMaxLateInterval);
}

void JobScheduler::CountWhatRanOut() {
  if (starts_left_ <= 0) ++figures_.passes_out_of_starts;
  if (advice_searches_left_ <= 0) ++figures_.passes_out_of_searches;
  if (short_advisers_busy_ || long_advisers_busy_)
    ++figures_.passes_out_of_advisers;
}

// Each late step costs a pass as much as a timely one, and thousands may wait
// after an overload, so most passes skip their jobs as a whole.
void JobScheduler::RecordDeferredJobs(const std::vector<ReadyStep>& ready) {
  for (const ReadyStep& step : ready) {
    if (step.waiting == 0 || step.job->spec.rounds > 0) continue;
    step.job->deferred_tasks += step.waiting;
    ++step.job->deferred_steps;
  }
  for (const ReadyStep& step : ready) {
    if (MayDefer(step) && step.state->reserved.empty()) continue;
    step.job->deferred_tasks = 0;
    step.job->deferred_steps = 0;
  }
}

// A pass that examines the late steps makes the searches of the passes that
// deferred them too. Otherwise the number of late steps that may ask would not
// grow with the free capacity.
int32_t JobScheduler::AdviceSearchLimit(Now now) const {
  if (late_steps_deferred_ || late_steps_ <= kMaxUnthrottledLateSteps)
    return kMaxAdviceSearches;
  const double passes = std::clamp(
      absl::FDivDuration(now.mono - last_late_pass_, kAdviceSearchPeriod), 1.0,
      kMaxSkippedPasses);
  return static_cast<int32_t>(kMaxAdviceSearches * passes);
}

int32_t JobScheduler::StartLimit(Now now) const {
  const bool lags = lag_ > kLagThreshold;
  const int32_t starts = lags ? kMaxStartsWhenLagging : kMaxStarts;
  if (last_pass_ == absl::InfinitePast()) return starts;
  const absl::Duration period =
      lags ? std::max(kStartPeriod, lag_ * kPassIntervalLagShare)
           : kStartPeriod;
  const double periods =
      std::clamp(std::round(absl::FDivDuration(now.mono - last_pass_, period)),
                 1.0, kMaxStartPeriods);
  return static_cast<int32_t>(starts * periods);
}

void JobScheduler::PlaceAll(Now now) {
  if (configuration_ == nullptr || suspended_) return;
  if (std::exchange(attempts_unchecked_, false)) FailExhaustedJobs(now);
  if (!placements_adopted_ && AllAccountedFor(now)) AdoptPlacements();
  late_steps_deferred_ = DefersLateSteps(now);
  std::vector<ReadyStep> ready = CollectReadySteps(now);
  LogRecoveryWait(now);
  ready_steps_ = ready.size() + skipped_steps_;
  const auto workers = static_cast<double>(workers_.size());
  backlogged_ =
      ready_steps_ > kBacklogMinSteps &&
      static_cast<double>(ready_steps_) > kBacklogWorkerShare * workers;
  MarkStepsOverShare(ready, now);
  std::sort(ready.begin(), ready.end(), IsPlacedBefore);
  CountPossibleRuns(now);
  ReportBacklog(ready, now);
  advice_searches_left_ = AdviceSearchLimit(now);
  gang_searches_left_ = kMaxAdviceSearches;
  CountPlacementPass(ready, now);
  no_placement_before_ =
      now.mono + kMinPassInterval +
      kPassIntervalPerStep * static_cast<double>(ready.size());
  if (lag_ > kLagThreshold)
    no_placement_before_ =
        std::max(no_placement_before_, now.mono + lag_ * kPassIntervalLagShare);
  starts_left_ = StartLimit(now);
  last_pass_ = now.mono;
  concurrent_calls_left_ = ExtraGangCallsLeft(ready);
  short_advisers_busy_ = false;
  long_advisers_busy_ = false;
  const Resources max_free = pool_totals_.MaxFree();
  // Steps ordered after those that will fill all free capacity of their pool do
  // not request advice: the answers would be stale before there is capacity for
  // them.
  std::map<std::string, PoolCapacity> pools = FindPoolCapacity();
  reservations_.Clear();
  moves_.KeepIf([&](const TaskId& task, const TaskMove& move) {
    return HoldCapacityForMove(task, move, now);
  });
  ReservingSteps kept;
  figures_.gangs_waiting = 0;
  figures_.steps_without_advice = 0;
  for (ReadyStep& step : ready) {
    // Neither starts nor advice searches are left for the remaining steps.
    if (starts_left_ <= 0 && advice_searches_left_ <= 0) {
      placement_wanted_ = true;
      break;
    }
    if (late_steps_deferred_ && MayDefer(step)) {
      RenewReservation(step);
      continue;
    }
    const Resources need = CapacityNeeded(*step.spec);
    PoolCapacity& pool = pools[step.queue->pool];
    step.pool_workers = pool.workers;
    if (step.asks_ahead) {
      if (step.queue->advice.needed) EnsureSingleTaskAdvice(step, now);
      MoveTaskFromLeavingWorker(step, now);
      continue;
    }
    if (step.spec->gang) {
      if (CompleteGang(step, now)) continue;
      if (!LimitToAccount(step)) continue;
      PlaceGang(step, now);
    } else if (!LimitToAccount(step)) {
      continue;
    } else if (need.FitsIn(max_free)) {
      PlaceSingleTasks(step, now);
    } else {
      RecordBlocked(step,
                    AccountLedger::WaitReason(*step.job, step.exceeds_share,
                                              "no worker has room"));
    }
    if (step.waiting == 0 || step.waits_for_start_slot) continue;
    if (step.spec->gang) ++figures_.gangs_waiting;
    step.pool_mostly_idle = pool.mostly_idle;
    MaybeReserveCapacity(step, kept, now);
    MaybeAskAdvice(step, pool, now);
    pool.advice_budget_milli -=
        static_cast<double>(step.waiting) * need.cpu_milli;
  }
  figures_.gangs_reserving = kept.gangs + kept.ready_gangs;
  ExplainWaiting(ready, now);
  if (!late_steps_deferred_) RecordDeferredJobs(ready);
  CountWhatRanOut();
  // Late steps that can use free capacity as fast as the leader can order
  // starts continue in the next pass.
  if (starts_left_ <= 0) next_late_pass_ = now.mono;
}

void JobScheduler::MaybeReserveCapacity(ReadyStep& step, ReservingSteps& kept,
                                        Now now) {
  const bool gang = step.spec->gang;
  const bool singles_may_reserve =
      options_.policy.reserve_for_single_tasks && (!backlogged_ || step.down);
  int& reserving = gang ? kept.gangs : kept.single_task_steps;
  const int maximum = gang                  ? kMaxReservingGangs
                      : singles_may_reserve ? kMaxReservingSingleSteps
                                            : 0;
  step.may_reserve = reserving < maximum;
  if (step.may_reserve) {
    ReserveCapacity(step, now);
    ++reserving;
  } else if (gang && step.pool_mostly_idle &&
             kept.ready_gangs < kMaxReservingReadyGangs) {
    step.may_reserve = ReserveFreeCapacity(step, now);
    if (step.may_reserve) ++kept.ready_gangs;
  }
  // Drops the earlier reservation of the step.
  if (!step.may_reserve) step.state->reserved.clear();
}

void JobScheduler::MaybeAskAdvice(ReadyStep& step, const PoolCapacity& pool,
                                  Now now) {
  if (!step.queue->advice.needed) return;
  const bool idle_gang = step.spec->gang && pool.mostly_idle;
  if (!step.may_reserve && !idle_gang && pool.advice_budget_milli <= 0) {
    ++figures_.steps_without_advice;
  } else if (step.spec->gang) {
    EnsureGangAdvice(step, now);
  } else {
    EnsureSingleTaskAdvice(step, now);
  }
}

void JobScheduler::RecordBlocked(ReadyStep& ready, const char* why) {
  if (ready.state->blocked_reason == why) return;
  ready.state->blocked_reason = why;
  LogDecision("step_blocked", {{"job", JobIdText(ready.job->id)},
                               {"step", absl::StrCat(ready.number)},
                               {"waiting", absl::StrCat(ready.waiting)},
                               {"why", why}});
}

bool JobScheduler::MayRun(const Worker& worker, const ReadyStep& ready,
                          Now now) {
  ++figures_.workers_tried;
  const StepSpec& spec = *ready.spec;
  if (worker.record.pool != ready.queue->pool) return false;
  if (!worker.reported || worker.record.draining || worker.record_removed ||
      !MayExtendLease(worker, durable_batch_))
    return false;
  if (worker.runs_of_unknown_size > 0 || IsOnProbation(worker)) return false;
  // The worker may have just been disconnected. A run that is started there now
  // would be unobserved until the worker's lease expires.
  if (options_.policy.resolve_unanswered_orders &&
      worker.unanswered_since <= now.mono)
    return false;
  if (worker.suspect_until > now.mono || !IsReachable(worker, now))
    return false;
  if (worker_silence_.IsSilent(worker.record.zone, now.mono)) return false;
  const auto& labels = worker.record.labels;
  return spec.label.empty() ||
         std::find(labels.begin(), labels.end(), spec.label) != labels.end();
}

int32_t JobScheduler::CountPlacedTasks(const Worker& worker,
                                       const ReadyStep& ready) const {
  const auto begin = worker.allocations.lower_bound(
      {ready.IdAt(0), std::numeric_limits<int32_t>::min()});
  int32_t placed = 0;
  for (auto it = begin; it != worker.allocations.end(); ++it) {
    const TaskId& task = it->first.first;
    if (task.job != ready.job->id || task.round != ready.round->number ||
        task.step != ready.number)
      break;
    ++placed;
  }
  return placed;
}

int32_t JobScheduler::CountFittingTasks(const Worker& worker,
                                        const ReadyStep& ready,
                                        const Resources& free_capacity) const {
  int32_t fits =
      CountFits(CapacityNeeded(*ready.spec), free_capacity, ready.spec->count);
  if (ready.spec->max_per_worker > 0)
    fits = std::min(fits, std::max(0, ready.spec->max_per_worker -
                                          CountPlacedTasks(worker, ready)));
  return fits;
}

void JobScheduler::StartTask(ReadyStep& ready, int32_t index, int32_t run,
                             Worker& worker, Now now) {
  TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
  const TaskId id = ready.IdOf(task);
  Allocation& allocation = Allocate(worker, id, run, now);
  allocation.resumed = !task.checkpoint.empty();
  const bool unobserved = ready.job->recovered && !task.observed;
  task.phase = TaskPhase::kStarting;
  task.run = run;
  task.observed = true;
  task.worker = worker.record.id;
  if (ready.spec->gang) {
    if (std::exchange(ready.state->gang_run, run) != run)
      ready.state->gang_workers.clear();
    ready.state->gang_workers.insert(worker.record.id);
  }
  StartAction action;
  action.worker = worker.record;
  action.order.task = id;
  action.order.run = run;
  action.order.payload = ready.job->spec.payload;
  action.order.checkpoint = task.checkpoint;
  action.order.fence = worker.fence;
  action.order.lease_until_ms = GrantLease(worker, now.mono);
  if (options_.policy.resolve_unanswered_orders)
    action.order.timeout = answer_times_.AnswerTimeout();
  const auto ticket = ready.state->advice.tickets.find(worker.record.id);
  if (ready.queue->advice.needed && ticket != ready.state->advice.tickets.end())
    action.order.ticket = ticket->second.ticket;
  ++figures_.starts;
  ready.state->blocked_reason.clear();
  --starts_left_;
  --ready.waiting;
  --figures_.ready_tasks;
  if (!task.crash_suspect.worker.empty()) MarkDirty(*ready.job);
  task.crash_suspect = CrashSuspect();
  if (!WaitsForUnansweredStart(task, now))
    ClearUnansweredStart(*ready.job, task, task.unanswered.run);
  if (unobserved)
    RecordUnobservedStart(ready.TaskAt(static_cast<size_t>(index)), action,
                          now);
  const bool kept =
      ready.job->HasPersistedPlacements(static_cast<size_t>(ready.number)) ||
      MustBeDurable(ready, task);
  LogDecision(kept ? "start_kept" : "start_sent",
              {{"task", TaskIdText(id)},
               {"run", absl::StrCat(run)},
               {"worker", worker.record.id},
               {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(
                                 now.mono - ready.state->ready_since))},
               {"free_cpu_milli", absl::StrCat(worker.free.cpu_milli)}});
  if (kept) return StartOnceDurable(*ready.job, task, std::move(action));
  allocation.ordered = now.mono;
  SendStart(worker, std::move(action), now);
}

std::vector<JobScheduler::Worker*> JobScheduler::FindUsableWorkers(
    const ReadyStep& ready, Now now) {
  if (!ready.queue->advice.needed) {
    // A gang needs places for all its members at once.
    return ready.spec->gang ? FindAllUsableWorkers(ready, now)
                            : SampleUsableWorkers(ready, now);
  }
  std::vector<Worker*> out;
  // Only a few workers have a ticket of the step, so the tickets are looked up
  // instead of searching all workers.
  for (const auto& [id, ticket] : ready.state->advice.tickets) {
    if (!IsTicketValid(ticket, now)) continue;
    const auto found = workers_.find(id);
    if (found != workers_.end() && MayRun(*found->second, ready, now))
      out.push_back(found->second.get());
  }
  std::sort(out.begin(), out.end(), [](const Worker* a, const Worker* b) {
    return a->record.id < b->record.id;
  });
  return out;
}

void JobScheduler::PlaceSingleTasks(ReadyStep& ready, Now now) {
  int32_t may_start = SuspectStartLimit(ready, now);
  if (may_start == 0)
    return RecordBlocked(
        ready, "a worker crashed while running it: one task is tried first");
  const std::vector<Worker*> usable = FindUsableWorkers(ready, now);
  WorkerQuota quota = ComputeWorkerQuota(ready, now);
  // Suspects start first, because their outcome is the best evidence for or
  // against the step.
  if (ready.state->crashed &&
      !PlaceTasks(ready, /*suspects=*/true, usable, quota, &may_start, now))
    return;
  PlaceTasks(ready, /*suspects=*/false, usable, quota, &may_start, now);
}

bool JobScheduler::PlaceTasks(ReadyStep& ready, bool suspects,
                              const std::vector<Worker*>& usable,
                              WorkerQuota& quota, int32_t* may_start, Now now) {
  for (int32_t index = 0; index < ready.spec->count && ready.waiting > 0;
       ++index) {
    if (*may_start <= 0) return false;
    if (starts_left_ <= 0) {
      placement_wanted_ = true;
      return false;
    }
    const TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
    if (IsSuspectTask(ready, task) != suspects || !MayStart(ready, task, now))
      continue;
    const bool probe = suspects || ready.state->suspected;
    const bool has_open_order = WaitsForUnansweredStart(task, now);
    Worker* worker =
        has_open_order ? WorkerOfUnansweredStart(ready, task, now)
                       : FindBestWorker(ready, task, probe, usable, quota, now);
    if (worker == nullptr && has_open_order) continue;
    if (worker == nullptr && WaitsForStartSlot(ready, usable, quota, now))
      return false;
    if (worker == nullptr) {
      if (FitsWithoutReservations(ready, usable))
        ++figures_.blocked_by_reservations;
      RecordBlocked(ready, ready.state->advice.calls_in_flight > 0
                               ? "waits for advice"
                               : AccountLedger::WaitReason(
                                     *ready.job, ready.exceeds_share,
                                     "no eligible worker has free capacity"));
      return false;
    }
    quota.used.insert(worker->record.id);
    StartTask(ready, index, std::max(task.run + 1, FirstRunOfEpoch(epoch_)),
              *worker, now);
    if (probe) PutOnProbation(ready, index, *worker, now);
    if (ready.state->suspected) --*may_start;
  }
  return true;
}

// The wait lasts about as long as the worker takes to answer, so it is not
// logged in each pass.
bool JobScheduler::WaitsForStartSlot(ReadyStep& ready,
                                     const std::vector<Worker*>& usable,
                                     const WorkerQuota& quota, Now now) {
  for (Worker* worker : usable) {
    if (HasStartSlot(*worker, now) || IsOnProbation(*worker) ||
        !quota.Allows(worker->record.id) ||
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker)) < 1)
      continue;
    worker->starts_held = true;
    ready.waits_for_start_slot = true;
  }
  if (!ready.waits_for_start_slot) return false;
  ++figures_.steps_held_by_start_windows;
  ready.state->blocked_reason = "waits for a slot in a worker's start window";
  return true;
}

JobScheduler::Worker* JobScheduler::FindBestWorker(
    const ReadyStep& ready, const TaskState& task, bool probe,
    const std::vector<Worker*>& usable, const WorkerQuota& quota,
    Now now) const {
  Worker* best = nullptr;
  double best_score = 0;
  for (Worker* worker : usable) {
    if (IsOnProbation(*worker) || !quota.Allows(worker->record.id) ||
        !HasStartSlot(*worker, now) ||
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker)) < 1)
      continue;
    const double score =
        probe ? ProbeScore(*worker, now) : PlacementScore(*worker, ready, task);
    if (best != nullptr && score >= best_score) continue;
    best = worker;
    best_score = score;
  }
  return best;
}

}  // namespace keelbridge
