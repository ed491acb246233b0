// Handles reports and replies of workers, and workers that stop responding.

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

// The time between two checks of all workers for work that becomes due by time
// alone.
constexpr absl::Duration kSweepPeriod = absl::Milliseconds(50);
constexpr absl::Duration kObserveRetryDelay = absl::Milliseconds(300);
// The delay before an observation is repeated while answers get lost, since a
// call whose answer was lost has to be repeated.
constexpr absl::Duration kLossyRetryDelay = absl::Milliseconds(30);
// How long a worker may delay the answer to an observation while answers get
// lost. A lost answer leaves the worker's ends unreported for that long.
constexpr absl::Duration kLossyObserveWait = absl::Milliseconds(150);
// A missing answer counts as lost if the worker answers another call within
// this time.
constexpr absl::Duration kLostAnswerWindow = absl::Seconds(1);
// The most observations of one worker that may be in flight at a time.
constexpr size_t kMaxObservationsInFlight = 3;
// A task whose estimate is at most kMaxCheckedEstimateMs is checked when it has
// run for kOverdueFactor times its estimate, and then every
// kOverdueCheckPeriod.
constexpr int64_t kMaxCheckedEstimateMs = 2000;
constexpr double kOverdueFactor = 1.3;
// Where durations were learned, this share of the runs of equal estimates must
// have ended by then too.
constexpr double kOverdueQuantile = 0.9;
constexpr absl::Duration kOverdueCheckPeriod = absl::Milliseconds(250);
// How long to wait for a worker report to show the outcome of a start that got
// no answer, before the run is stopped.
constexpr absl::Duration kUncertainTimeout = absl::Milliseconds(300);
constexpr absl::Duration kRetryAfterRefusal = absl::Milliseconds(100);
constexpr absl::Duration kSuspectAfterRefusal = absl::Seconds(2);
// The longest lease of a worker that has announced that it leaves. Its tasks
// may start elsewhere only once its lease has expired, and it may leave without
// a last word. Longer than two observations, so that one may get lost.
constexpr absl::Duration kLeavingLease = absl::Seconds(3);

// Returns what a run of the task occupies on a worker, or nullopt if that is
// unknown, because the description of its job is gone.
std::optional<Resources> CapacityOf(const JobTable& jobs, const TaskId& task) {
  const auto job = jobs.find(task.job);
  if (job == jobs.end()) return std::nullopt;
  const std::vector<StepSpec>& steps = job->second->spec.steps;
  const auto step = static_cast<size_t>(task.step);
  if (step >= steps.size()) return std::nullopt;
  return CapacityNeeded(steps[step]);
}

}  // namespace

void JobScheduler::OnWorkerRecord(const WorkerRecord& record, Now now) {
  const std::string name = ParseWorkerIncarnation(record.id).name;
  const auto known_by_name = workers_.find(name);
  if (known_by_name != workers_.end() && workers_.count(record.id) == 0)
    SetIncarnationId(*known_by_name->second, record.id);
  auto& slot = workers_[record.id];
  const bool is_new = slot == nullptr;
  if (is_new) {
    slot = std::make_unique<Worker>();
    slot->start_window = StartWindow(options_.start_window);
    slot->free = record.capacity;
    SetRecord(*slot, record);
    slot->fence = NextFence(name);
    PersistWorker(*slot);
    ObserveOthersAtMachine(*slot, now);
    // The platform lists only the current incarnation of a worker, so all
    // others are gone from its list.
    for (Worker* other : IncarnationsOf(name)) {
      if (other == slot.get()) continue;
      other->record_removed = true;
      other->next_observe = now.mono;
      ScheduleCheck(*other);
      RecordRestart(*slot, now);
    }
    LogDecision("worker_found", {{"worker", record.id},
                                 {"machine", record.machine},
                                 {"zone", record.zone}});
  }
  Worker& worker = *slot;
  if (!is_new && record.draining && !worker.record.draining) {
    LogDecision("worker_draining",
                {{"worker", record.id},
                 {"leaves_in_ms", absl::StrCat(record.leaves_in_ms)}});
  }
  UpdateDeparture(worker, record, now);
  if (!is_new && record.capacity != worker.record.capacity) {
    LogDecision(
        "worker_capacity",
        {{"worker", record.id},
         {"cpu_milli_before", absl::StrCat(worker.record.capacity.cpu_milli)},
         {"cpu_milli", absl::StrCat(record.capacity.cpu_milli)},
         {"memory_mib", absl::StrCat(record.capacity.memory_mib)},
         {"accelerators", absl::StrCat(record.capacity.accelerators)},
         {"runs", absl::StrCat(worker.allocations.size())}});
  }
  const bool recorded_as_leaving = worker.retired || !worker.last_tasks.empty();
  if (recorded_as_leaving && !record.draining) PersistWorker(worker);
  const Resources used = worker.record.capacity - worker.free;
  if (!is_new) worker.free = record.capacity - used;
  SetRecord(worker, record);
  worker.record_removed = false;
  if (is_new) ScheduleCheck(worker);
  placement_wanted_ = true;
}

void JobScheduler::PersistWorker(Worker& worker) {
  worker.leased_by_epoch = epoch_;
  worker.recorded_lease_end = absl::InfiniteFuture();
  worker.retired = false;
  worker.last_tasks.clear();
  worker.known_at_batch = next_batch_;
  unpersisted_workers_.insert(worker.record.id);
}

void JobScheduler::OnWorkerRemoved(const std::string& name) {
  for (Worker* worker : IncarnationsOf(name)) {
    if (std::exchange(worker->record_removed, true)) continue;
    LogDecision("worker_record_removed",
                {{"worker", worker->record.id},
                 {"runs", absl::StrCat(worker->allocations.size())}});
  }
}

void JobScheduler::UpdateClock(Worker& worker, int64_t clock_ms,
                               absl::Time at) {
  if (clock_ms < 0) return;
  worker_silence_.OnAnswered(worker.record.zone);
  // Answers on different connections may arrive out of order.
  if (worker.clock_ms >= 0 && clock_ms < worker.clock_ms) return;
  // From the worker's first answer on, this leader may extend its lease.
  if (worker.leased_by_epoch != epoch_) PersistWorker(worker);
  worker.clock_ms = clock_ms;
  worker.clock_at = at;
}

int64_t JobScheduler::GrantLease(Worker& worker, absl::Time now) {
  if (worker.clock_ms < 0 || !MayExtendLease(worker, durable_batch_)) return 0;
  const int64_t since = absl::ToInt64Milliseconds(now - worker.clock_at);
  const absl::Duration granted = worker.record.draining
                                     ? std::min(options_.lease, kLeavingLease)
                                     : options_.lease;
  const int64_t lease = absl::ToInt64Milliseconds(
      std::min(granted, LatestLeaseEnd(confirmed_at_) - now));
  if (lease <= 0) return 0;
  const int64_t until = worker.clock_ms + since + lease;
  const absl::Duration longest =
      absl::Milliseconds(static_cast<double>(since + lease) /
                         (1.0 - options_.max_clock_drift)) +
      kLeaseExpiryMargin;
  worker.lease_expires_at =
      std::max(worker.lease_expires_at, worker.clock_at + longest);
  return until;
}

Allocation& JobScheduler::Allocate(Worker& worker, const TaskId& task,
                                   int32_t run, Now now) {
  const auto [it, inserted] = worker.allocations.try_emplace({task, run});
  Allocation& allocation = it->second;
  if (!inserted) return allocation;
  const std::optional<Resources> capacity = CapacityOf(jobs_, task);
  allocation.need = capacity.value_or(Resources());
  allocation.unknown_size = !capacity.has_value();
  if (allocation.unknown_size) ++worker.runs_of_unknown_size;
  allocation.placed = now.mono;
  allocation.percent_changed = now.mono;
  allocation.check_at = OverdueCheckTime(task, now.mono);
  worker.next_check = std::min(worker.next_check, allocation.check_at);
  UpdatePreemptibility(allocation, task, now);
  CountForAccount(worker, task, allocation);
  worker.free -= allocation.need;
  CountCapacity(worker);
  return allocation;
}

void JobScheduler::Release(Worker& worker, const RunKey& key) {
  const auto it = worker.allocations.find(key);
  if (it == worker.allocations.end()) return;
  worker.free += it->second.need;
  CountCapacity(worker);
  accounts_.usage.Remove(it->second.account, it->second.account_need);
  work_admission_.rate().RemoveRun(it->second.counted);
  if (it->second.stop.requested()) worker.stopping -= it->second.need;
  if (it->second.unknown_size) --worker.runs_of_unknown_size;
  worker.allocations.erase(it);
  placement_wanted_ = true;
}

void JobScheduler::Requeue(const TaskId& task_id, int32_t run,
                           const std::string& worker, absl::Time retry_at) {
  const auto job = jobs_.find(task_id.job);
  if (job == jobs_.end()) return;
  TaskState* task = job->second->FindTask(task_id);
  if (task == nullptr || task->run != run || task->worker != worker) return;
  if (task->phase == TaskPhase::kDone) return;
  task->phase = TaskPhase::kWaiting;
  task->worker.clear();
  task->retry_at = retry_at;
  // The members of a gang that are placed must not wait for a late pass.
  job->second->deferred_steps = 0;
  if (!task->crash_suspect.worker.empty()) MarkDirty(*job->second);
  task->crash_suspect = CrashSuspect();
  RecordPlacement(*job->second, task_id, "");
  placement_wanted_ = true;
}

void JobScheduler::OnStartReply(const StartAction& action,
                                const OrderReply& reply, Now now) {
  Worker* const called =
      CloseCall(action.worker.id, &Worker::orders, action.call, now);
  if (called == nullptr) return;
  Worker& worker = *called;
  UpdateClock(worker, reply.clock_ms, now.mono);
  UpdateStartWindow(worker, action, reply.result, now);
  const RunKey key{action.order.task, action.order.run};
  const auto allocation = worker.allocations.find(key);
  if (reply.result != OrderResult::kDone) {
    ++figures_.starts_refused;
    LogDecision("start_not_done", {{"task", TaskIdText(key.first)},
                                   {"run", absl::StrCat(key.second)},
                                   {"worker", action.worker.id},
                                   {"result", OrderResultName(reply.result)},
                                   {"detail", reply.message}});
  }
  if (allocation == worker.allocations.end()) return;
  Job* job =
      jobs_.count(key.first.job) > 0 ? jobs_[key.first.job].get() : nullptr;
  TaskState* task = job != nullptr ? job->FindTask(key.first) : nullptr;
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == action.worker.id;
  switch (reply.result) {
    case OrderResult::kDone:
      answer_times_.OnAnswer(now.mono - allocation->second.placed);
      RecordAnswered(worker, now);
      allocation->second.start_answered = now.mono;
      worker.last_answer = now.mono;
      if (current && task->phase == TaskPhase::kStarting)
        task->phase = TaskPhase::kRunning;
      if (job != nullptr) job->begun = true;
      return;
    case OrderResult::kUnknown:
      RecordUnanswered(worker, now);
      // The run was reported in the meantime.
      if (allocation->second.start_answered <= now.mono) return;
      allocation->second.uncertain = true;
      allocation->second.uncertain_since = now.mono;
      worker.unresolved = true;
      if (current) task->phase = TaskPhase::kUncertain;
      RecordUnansweredStart(worker, key, allocation->second, now);
      worker.next_observe = now.mono;
      worker.observe_now = options_.policy.resolve_unanswered_orders;
      ScheduleCheck(worker);
      return;
    case OrderResult::kOtherIncarnation:
      return OnOtherIncarnation(worker, reply.incarnation, now);
    case OrderResult::kFenced:
      HasSeenOwnFence(worker, action.order.fence, now);
      break;
    case OrderResult::kUnhealthy:
      worker.suspect_until = now.mono + kSuspectAfterRefusal;
      break;
    case OrderResult::kNotSent:
      worker_silence_.OnUnanswered(worker.record.zone, worker.record.id,
                                   now.mono);
      worker.suspect_until = now.mono + kRetryAfterRefusal;
      break;
    case OrderResult::kNotAttempted:
      // Says nothing of the worker, but another order would wait in vain too.
      worker.suspect_until = now.mono + kRetryAfterRefusal;
      break;
    case OrderResult::kBadTicket:
      VisitOpenTask(key.first, [&](const FoundTask& found) {
        found.step.advice.tickets.erase(action.worker.id);
      });
      break;
    case OrderResult::kNoCapacity:
      worker.suspect_until = now.mono + kRetryAfterRefusal;
      break;
    default:
      break;
  }
  // The worker has not started the run and will not start it.
  Release(worker, key);
  Requeue(key.first, key.second, action.worker.id,
          reply.result == OrderResult::kBadTicket
              ? now.mono
              : now.mono + kRetryAfterRefusal);
}

void JobScheduler::MarkStopping(Worker& worker, Allocation& allocation) {
  if (allocation.stop.requested()) return;
  allocation.stop.Request();
  worker.unresolved = true;
  worker.stopping += allocation.need;
}

void JobScheduler::RequestStop(Worker& worker, const RunKey& key) {
  const auto it = worker.allocations.find(key);
  if (it == worker.allocations.end()) return;
  MarkStopping(worker, it->second);
  ScheduleCheck(worker);
  const auto job = jobs_.find(key.first.job);
  if (job == jobs_.end()) return;
  TaskState* task = job->second->FindTask(key.first);
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == worker.record.id &&
                       task->phase != TaskPhase::kDone;
  if (current) task->phase = TaskPhase::kStopping;
}

void JobScheduler::SendStops(Worker& worker, Now now) {
  if (!std::exchange(worker.unresolved, false)) return;
  const RunStop::WorkerAnswers answers{worker.last_answer,
                                       answer_times_.AnswersAreLossy(now.mono)};
  for (auto& [key, allocation] : worker.allocations) {
    RunStop& stop = allocation.stop;
    worker.unresolved =
        worker.unresolved || allocation.uncertain || stop.requested();
    const bool unresolved = allocation.uncertain && !stop.requested();
    // A report that was requested after the start timed out does not contain
    // the run, but the order may still be carried out.
    const bool not_reported =
        options_.policy.resolve_unanswered_orders &&
        worker.report_requested_at >= allocation.uncertain_since;
    const bool overdue =
        now.mono - allocation.placed > kUncertainTimeout &&
        worker.last_answer > allocation.placed + kUncertainTimeout;
    if (unresolved && (not_reported || overdue))
      MarkStopping(worker, allocation);
    if (stop.NextSend(answers) > now.mono) continue;
    stop.OnSent(now.mono, answers);
    ++figures_.stops_sent;
    StopAction action{worker.record,
                      {key.first, key.second, worker.fence},
                      OpenCall(worker.orders)};
    if (options_.policy.resolve_unanswered_orders)
      action.order.timeout = answer_times_.AnswerTimeout();
    actions_.push_back(std::move(action));
    LogDecision("stop_sent", {{"task", TaskIdText(key.first)},
                              {"run", absl::StrCat(key.second)},
                              {"worker", worker.record.id},
                              {"tries", absl::StrCat(stop.tries())}});
  }
}

void JobScheduler::OnStopReply(const StopAction& action,
                               const OrderReply& reply, Now now) {
  Worker* const called =
      CloseCall(action.worker.id, &Worker::orders, action.call, now);
  if (called == nullptr) return;
  Worker& worker = *called;
  UpdateClock(worker, reply.clock_ms, now.mono);
  if (reply.result == OrderResult::kFenced)
    HasSeenOwnFence(worker, action.order.fence, now);
  if (reply.result == OrderResult::kOtherIncarnation)
    return OnOtherIncarnation(worker, reply.incarnation, now);
  const auto it =
      worker.allocations.find({action.order.task, action.order.run});
  if (it == worker.allocations.end()) return;
  Allocation& allocation = it->second;
  switch (reply.result) {
    case OrderResult::kDone:
      allocation.stop.OnAccepted(now.mono, options_.stop_timeout);
      RecordAnswered(worker, now);
      break;
    case OrderResult::kUnknown:
      RecordUnanswered(worker, now);
      return allocation.stop.OnUnanswered();
    case OrderResult::kNotSent:
    case OrderResult::kNotAttempted:
      return allocation.stop.OnUnanswered();
    default:
      return allocation.stop.OnRefused();
  }
  // A run that the worker has reported ends soon, and the observation that
  // waits for ends reports that.
  if (allocation.reported && worker.failed_observations == 0) return;
  worker.next_observe = now.mono;
  if (options_.policy.resolve_unanswered_orders && allocation.uncertain)
    worker.observe_now = true;
  ScheduleCheck(worker);
}

void JobScheduler::OnObserveReply(const ObserveAction& action,
                                  const ObserveReply& reply, absl::Time sent,
                                  Now now) {
  Worker* const called =
      CloseCall(action.worker.id, &Worker::observations, action.call, now);
  if (called == nullptr) return;
  Worker& worker = *called;
  if (reply.order.result == OrderResult::kOtherIncarnation) {
    OnOtherIncarnation(worker, reply.order.incarnation, now);
    worker.next_observe = now.mono + kObserveRetryDelay;
    return;
  }
  if (reply.order.result != OrderResult::kDone)
    return OnObservationFailed(worker, action, reply.order, sent, now);
  if (!reply.order.incarnation.empty()) {
    if (workers_.count(reply.order.incarnation) > 0)
      return OnOtherIncarnation(worker, reply.order.incarnation, now);
    SetIncarnationId(worker, reply.order.incarnation);
  }
  ClearUnresponsiveness(worker);
  TakeBackLeaseEnd(worker);
  worker.ends_reported_late = MayReportEndsLate(worker, sent);
  if (worker.failed_observations > 0) {
    worker.failed_observations = 0;
    LogDecision("worker_back", {{"worker", worker.record.id}});
  }
  UpdateClock(worker, reply.order.clock_ms, now.mono);
  worker.last_answer = now.mono;
  RecordAnswered(worker, now);
  AttributeUnresponsiveLosses(worker, now);
  // A later report was processed already, so runs that this report contains may
  // have ended.
  if (reply.order.clock_ms < worker.report_clock_ms) {
    ++figures_.stale_reports_skipped;
    return;
  }
  worker.report_clock_ms = reply.order.clock_ms;
  worker.report_requested_at = std::max(worker.report_requested_at, sent);
  for (const EndedTask& end : reply.ended)
    ProcessEnd(worker, end, EndSource::kWorker, now);
  for (const RunningTask& running : reply.running)
    OnRunReported(worker, running, now);
  GiveUpMissingRuns(worker, reply, sent, now);
  // While the worker has more ends than it reported, some of its runs are
  // unknown.
  if (!worker.reported && !reply.more_ends) {
    worker.reported = true;
    placement_wanted_ = true;
    if (!std::exchange(worker.persists_placements, true))
      unpersisted_workers_.insert(worker.record.id);
    // An earlier leader may just have granted a lease of the maximum length.
    worker.lease_expires_at =
        std::max(worker.lease_expires_at, now.mono + MaxLeaseDuration());
  }
  // While ends are not durable yet, another observation would only report them
  // again.
  worker.next_observe = worker.unacknowledged_ends.empty()
                            ? now.mono
                            : now.mono + kObserveRetryDelay;
  ScheduleCheck(worker);
}

void JobScheduler::RecordUnanswered(Worker& worker, Now now) {
  worker.unanswered_since = std::min(worker.unanswered_since, now.mono);
  worker_silence_.OnUnanswered(worker.record.zone, worker.record.id, now.mono);
}

void JobScheduler::RecordAnswered(Worker& worker, Now now) {
  const absl::Time since =
      std::exchange(worker.unanswered_since, absl::InfiniteFuture());
  // A worker that was unreachable for longer has not lost single answers.
  if (since <= now.mono && now.mono - since < kLostAnswerWindow)
    answer_times_.OnLost(worker.record.id, workers_.size(), now.mono);
}

void JobScheduler::OnObservationFailed(Worker& worker,
                                       const ObserveAction& action,
                                       const OrderReply& reply, absl::Time sent,
                                       Now now) {
  if (reply.result == OrderResult::kFenced &&
      HasSeenOwnFence(worker, action.order.fence, now))
    return;
  if (reply.result == OrderResult::kUnknown) RecordUnanswered(worker, now);
  // Nothing listens at the worker's address, so a start would fail, too.
  if (reply.result == OrderResult::kNotSent) {
    worker_silence_.OnUnanswered(worker.record.zone, worker.record.id,
                                 now.mono);
    worker.suspect_until =
        std::max(worker.suspect_until,
                 now.mono + kObserveRetryDelay + kRetryAfterRefusal);
  }
  // An observation that was not attempted is no sign of a lost worker. It
  // counts as failed all the same, so that the lease is not extended meanwhile.
  const bool attempted = reply.result != OrderResult::kNotAttempted;
  if (attempted && worker.failing_since == absl::InfiniteFuture()) {
    worker.failing_since = now.mono;
    failing_workers_.insert(&worker);
    RecordUnresponsiveness(worker, now);
  }
  // The worker has answered another call in the meantime, so it responds.
  if (worker.last_answer > sent) return;
  if (++worker.failed_observations == 1) {
    LogDecision("worker_silent",
                {{"worker", worker.record.id},
                 {"result", OrderResultName(reply.result)},
                 {"detail", reply.message}},
                Severity::kWarning);
  }
  const bool at_once = worker.failed_observations == 1 &&
                       answer_times_.AnswersAreLossy(now.mono);
  worker.next_observe =
      now.mono + (at_once ? kLossyRetryDelay : kObserveRetryDelay);
}

void JobScheduler::AcknowledgeDurableEnds(Worker& worker) {
  bool acknowledged = false;
  while (!worker.unacknowledged_ends.empty() &&
         worker.unacknowledged_ends.front().batch <= durable_batch_) {
    worker.ends_acknowledged = worker.unacknowledged_ends.front().end.number;
    worker.unacknowledged_ends.pop_front();
    acknowledged = true;
  }
  if (!acknowledged || !worker.unacknowledged_ends.empty()) return;
  worker.next_observe = absl::InfinitePast();
  ScheduleCheck(worker);
}

bool JobScheduler::IsReachable(const Worker& worker, Now now) const {
  return now.mono - worker.last_answer < kUnresponsiveAfter;
}

void JobScheduler::ScheduleCheck(Worker& worker) {
  if (worker.check_scheduled) return;
  worker.check_scheduled = true;
  scheduled_checks_.push_back(&worker);
}

void JobScheduler::TickWorkers(Now now) {
  for (Worker* worker : std::exchange(scheduled_checks_, {})) {
    worker->check_scheduled = false;
    TickWorker(*worker, now);
  }
  if (now.mono < next_sweep_) return;
  next_sweep_ = now.mono + kSweepPeriod;
  std::vector<std::string> gone;
  figures_.workers_unobserved = 0;
  for (auto& [id, worker] : workers_) {
    StopRunsBeforeDeparture(*worker, now);
    TickWorker(*worker, now);
    CheckUnobserved(*worker, now);
    RecordLeaseEnd(*worker, now);
    RetireDrainingWorker(*worker);
    if (CanBeForgotten(*worker, now)) gone.push_back(id);
  }
  for (const std::string& id : gone) {
    const auto worker = workers_.find(id);
    const auto forget = [&](std::vector<Worker*>& list) {
      list.erase(std::remove(list.begin(), list.end(), worker->second.get()),
                 list.end());
    };
    forget(scheduled_checks_);
    forget(workers_with_unacknowledged_ends_);
    reservations_.Forget(*worker->second);
    RemoveFromMachine(*worker->second);
    failing_workers_.erase(worker->second.get());
    search_order_.erase({worker->second->record.zone, id});
    pool_totals_.Remove(&worker->second->counted);
    actions_.push_back(ForgetWorkerAction{id});
    keys_to_drop_.push_back(KnownWorkerKey(id));
    // Otherwise a task that was placed there would wait for all other workers.
    MovePlacements(id, "");
    workers_.erase(worker);
  }
}

// All runs of a worker that has sent a report to this leader are known. Once
// none is left, the worker can be forgotten, whatever lease it had. If workers
// were kept until their leases expire, a new leader would wait for them: after
// all nodes lost power, the records of 82 workers that had left delayed
// recovered tasks by 11 s.
bool JobScheduler::CanBeForgotten(const Worker& worker, Now now) const {
  if (!worker.record_removed || !worker.allocations.empty()) return false;
  // The first part of a batch would drop the worker's key, and the part with
  // its ends might not become durable.
  if (!worker.unacknowledged_ends.empty()) return false;
  if (worker.reported) return true;
  return now.mono > worker.lease_expires_at && AllAccountedFor(now);
}

void JobScheduler::TickWorker(Worker& worker, Now now) {
  const bool may_be_lost = worker.reported || worker.inherited_runs;
  if (!worker.allocations.empty() && may_be_lost && !IsReachable(worker, now) &&
      now.mono > worker.lease_expires_at)
    HandleWorkerLoss(worker,
                     AnotherIncarnationAnswered(worker)
                         ? WorkerLoss::kCrash
                         : WorkerLoss::kUnresponsive,
                     nullptr, now);
  if (options_.policy.resolve_unanswered_orders) CheckOverdueRuns(worker, now);
  if (IsOnProbation(worker)) AnsweredSince(worker, worker.probation_until, now);
  SendStops(worker, now);
  if (ObservationIsDue(worker, now)) SendObservation(worker, now);
}

// The answers of a worker that runs nothing announce nothing. If they were
// asked for more often too, a large site would send most observations to them.
bool JobScheduler::HasRunsWhileAnswersAreLossy(const Worker& worker,
                                               Now now) const {
  return !worker.allocations.empty() && answer_times_.AnswersAreLossy(now.mono);
}

bool JobScheduler::ObservationIsDue(const Worker& worker, Now now) const {
  if (worker.observe_now)
    return worker.observations.size() < kMaxObservationsInFlight;
  if (worker.observations.size() == 0) return now.mono >= worker.next_observe;
  // The answer to the observation in flight may be lost.
  return options_.policy.resolve_unanswered_orders &&
         worker.observations.size() == 1 && worker.failed_observations == 0 &&
         HasRunsWhileAnswersAreLossy(worker, now) &&
         now.mono - worker.last_observation_sent >
             kLossyObserveWait + answer_times_.AnswerTimeout();
}

absl::Time JobScheduler::OverdueCheckTime(const TaskId& task,
                                          absl::Time now) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return absl::InfiniteFuture();
  const std::vector<StepSpec>& steps = job->second->spec.steps;
  if (static_cast<size_t>(task.step) >= steps.size())
    return absl::InfiniteFuture();
  const StepSpec& step = steps[static_cast<size_t>(task.step)];
  if (step.long_running) return absl::InfiniteFuture();
  const DurationLearner& learner = job_timings_.learner();
  const std::string& queue = job->second->queue;
  const absl::Duration expected = learner.ExpectedRun(queue, step);
  if (expected > absl::Milliseconds(kMaxCheckedEstimateMs))
    return absl::InfiniteFuture();
  return now + std::max(expected * kOverdueFactor,
                        learner.RunBound(queue, step, kOverdueQuantile));
}

void JobScheduler::CheckOverdueRuns(Worker& worker, Now now) {
  if (worker.next_check > now.mono || !answer_times_.AnswersAreLossy(now.mono))
    return;
  worker.next_check = absl::InfiniteFuture();
  bool overdue = false;
  for (auto& [key, allocation] : worker.allocations) {
    if (allocation.check_at <= now.mono) {
      overdue = true;
      allocation.check_at = now.mono + kOverdueCheckPeriod;
    }
    worker.next_check = std::min(worker.next_check, allocation.check_at);
  }
  // A busy worker reports often, so it needs no extra observation.
  const bool reported_recently =
      now.mono - worker.report_requested_at < kOverdueCheckPeriod;
  if (overdue && !reported_recently && worker.failed_observations == 0)
    worker.observe_now = true;
}

void JobScheduler::SendObservation(Worker& worker, Now now) {
  const bool lossy = options_.policy.resolve_unanswered_orders &&
                     HasRunsWhileAnswersAreLossy(worker, now);
  worker.last_observation_sent = now.mono;
  ObserveAction action;
  action.worker = worker.record;
  action.call = OpenCall(worker.observations);
  action.order.fence = worker.fence;
  action.order.ends_acknowledged = worker.ends_acknowledged;
  // The lease of an unresponsive worker is not extended: each attempt might
  // extend it without an answer, so that the leader could not know when it
  // expires. Nor is a lease extended before the record that informs later
  // leaders of it is durable.
  const bool extend = !suspended_ && worker.failed_observations == 0 &&
                      MayExtendLease(worker, durable_batch_);
  action.order.lease_until_ms = extend ? GrantLease(worker, now.mono) : 0;
  const bool wait = worker.reported && worker.unacknowledged_ends.empty() &&
                    worker.failed_observations == 0 && !worker.observe_now;
  worker.observe_now = false;
  const absl::Duration longest =
      lossy ? kLossyObserveWait : options_.max_observe_wait;
  action.order.wait_ms = wait ? absl::ToInt64Milliseconds(longest) : 0;
  if (lossy) action.order.timeout = 2 * answer_times_.AnswerTimeout();
  actions_.push_back(std::move(action));
}

}  // namespace keelbridge
