// Decides for a site: which task starts where and when, and what a lost answer,
// a silent worker or a change of leader means for it.
//
// Pure: state, event, now -> actions. It never asks for the time and does no
// I/O; whoever drives it carries out the actions and reports what came of them.
// Only the leader of a site has one. It keeps three kinds of truth apart: what
// lasts is in batches of records (a batch is durable once `OnDurable` says so),
// what runs is told by the workers, and the rest is rebuilt.
//
//   JobScheduler scheduler(options, epoch);
//   int64_t batch = scheduler.Submit(id, "restore", spec, now);
//   store.Append(scheduler.TakeBatch());      // ... later:
//   scheduler.OnDurable(batch);               // Now the job counts as
//   accepted. for (const Action& action : scheduler.TakeActions())
//   CarryOut(action);

#ifndef KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_
#define KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/admission.h"
#include "keelbridge/coordination/answer_times.h"
#include "keelbridge/coordination/crash_verdict.h"
#include "keelbridge/coordination/job_objective.h"
#include "keelbridge/coordination/scheduler_policy.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/state/job_table.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {

struct StartAction {
  WorkerRecord worker;
  StartOrder order;
};
struct StopAction {
  WorkerRecord worker;
  StopOrder order;
};
struct ObserveAction {
  WorkerRecord worker;
  ObserveOrder order;
};
struct AskAdviceAction {
  std::string adviser;  // The node that is to ask.
  AdviceRequest request;
  // Processors that the step hopes to get on each worker that it names.
  std::vector<int32_t> expected_cpu_milli;
  absl::Duration timeout;
};
// A line for the log: what was decided, about what, by which inputs.
struct LogAction {
  Severity severity = Severity::kInfo;
  std::string event;
  LogFields fields;
};
// The connections to a worker that is gone may be closed.
struct ForgetWorkerAction {
  std::string worker_id;
};
using Action = std::variant<StartAction, StopAction, ObserveAction,
                            AskAdviceAction, LogAction, ForgetWorkerAction>;

// What ended a worker, as far as the leader can tell.
enum class WorkerLoss {
  kCrash,  // Another life is at its machine, and it had not said it leaves.
  kLeft,   // The same, and it had said so.
  kUnresponsive,  // It answered nothing for a lease: crashed, cut off or gone.
};
const char* WorkerLossName(WorkerLoss loss);

// The first run number of a leader's epoch. Each epoch numbers runs from its
// own range, so that a later leader never gives a number again.
int32_t FirstRunOfEpoch(int64_t epoch);
// The leader that ordered the run.
int64_t EpochOfRun(int32_t run);

class JobScheduler {
 public:
  struct Options {
    absl::Duration lease = absl::Seconds(6);  // The longest a worker grants.
    double clock_error = 0.02;  // How much slower a worker's clock may run.
    absl::Duration gang_wait =
        absl::Seconds(3);  // Of a worker, for the others.
    absl::Duration ended_kept = absl::Seconds(130);  // Ended jobs stay known.
    absl::Duration max_observe_wait = absl::Milliseconds(1000);
    // How long an earlier leader that cannot be reached may go on giving leases
    // after it was fenced in the store.
    absl::Duration earlier_leader_grace = absl::Seconds(6);
    // How late a worker may carry out an order that it has not answered.
    absl::Duration max_order_delay = absl::Seconds(12);
    SchedulerPolicy policy;
  };

  // `epoch` is this leader's: unique, above all earlier ones.
  JobScheduler(Options options, int64_t epoch, absl::Time started);

  // --- What lasts ---
  struct Batch {
    int64_t number = 0;
    std::vector<Record> records;
  };
  // Takes over the jobs of earlier leaders, and the workers that they may have
  // given work to. Call once, before anything else.
  void Load(JobTable jobs, const std::vector<KnownWorker>& workers, Now now);
  bool HasBatch() const;
  // The number of the batch that is taken next.
  int64_t NextBatch() const { return next_batch_; }
  Batch TakeBatch();
  // The batch, and all before it, are kept for good.
  void OnDurable(int64_t batch);

  // --- Clients ---
  // Whether a job that is not known yet should be taken: none when its queue
  // is not known.
  std::optional<Admission::Verdict> Admit(const std::string& queue,
                                          const JobSpec& spec) const;
  // The batch whose durability accepts the job; 0: it is accepted already.
  int64_t Submit(JobId id, const std::string& queue, JobSpec spec, Now now);
  // The batch whose durability cancels it; 0: done already; none: no such job.
  std::optional<int64_t> Cancel(JobId id, Now now);
  // None: no such job.
  std::optional<JobState> Status(JobId id) const;
  // Accepted jobs of a queue none of whose tasks has begun.
  std::map<std::string, int64_t> QueuedJobs() const;

  // --- The site ---
  void SetConfiguration(std::shared_ptr<const SiteConfiguration> configuration);
  // Nodes that can ask for advice, this one included; `self` may be named.
  void SetAdvisers(const std::vector<std::string>& nodes,
                   const std::string& self);
  // While suspended it starts nothing and extends no lease: this leader may
  // have been replaced without knowing.
  void SetSuspended(bool suspended) { suspended_ = suspended; }
  // How late its driver's loop is: a leader that cannot keep up starts less at
  // a time, so that what is under way is still answered in time.
  void SetLag(absl::Duration lag) { lag_ = lag; }
  // How long the call of `Tick` that has just returned took. After a look for
  // placements the next one waits in proportion, so that looks leave most of
  // the driver's time to what comes in, however dear its time is.
  void OnTickFinished(absl::Duration took, Now now);
  // Earlier leaders were fenced in the store: how long one that cannot be
  // reached may go on giving leases counts from here, not from the claim. What
  // one gave before it counts from here at the earliest, whoever has stopped:
  // the list of those that were asked may not be whole.
  void OnEarlierLeadersFenced(absl::Time now);
  // The leader of `epoch`, an earlier one, was at work at `at`: it had fenced
  // all leaders before itself by then.
  void OnEarlierLeaderSeen(int64_t epoch, absl::Time at);
  // The leaders before this one give no more orders; the last was given by
  // `last_order`.
  void OnEarlierLeadersStopped(absl::Time last_order);
  void OnWorkerRecord(const WorkerRecord& record, Now now);
  // The record under that name is gone; the worker may still run.
  void OnWorkerRemoved(const std::string& name);

  // --- What came of actions ---
  void OnStartReply(const StartAction& action, const OrderReply& reply,
                    Now now);
  void OnStopReply(const StopAction& action, const OrderReply& reply, Now now);
  // `sent`: when the observation left.
  void OnObserveReply(const ObserveAction& action, const ObserveReply& reply,
                      absl::Time sent, Now now);
  void OnAdvice(const AskAdviceAction& action, const AdviceReply& reply,
                Now now);

  // Due work: observations, retries, rounds, placement. Call at least every
  // 50 ms, and after events.
  void Tick(Now now);
  std::vector<Action> TakeActions();

  // A worker has seen a higher fence: another leads.
  bool fenced() const { return fenced_; }

  // Figures for metrics.
  struct Figures {
    int64_t jobs = 0;
    int64_t ready_tasks = 0;
    int64_t running_tasks = 0;
    int64_t workers = 0;
    int64_t workers_reported = 0;
    int64_t cpu_milli_total = 0;
    int64_t cpu_milli_used = 0;
    int64_t starts = 0;
    int64_t starts_refused = 0;
    // Starts without an answer of which the worker told nothing either.
    int64_t starts_unanswered = 0;
    int64_t preemptions = 0;  // Runs stopped for more urgent work.
    int64_t advice_calls = 0;
    int64_t ends_done = 0;
    int64_t ends_failed = 0;
    int64_t ends_other = 0;
    // Tasks of earlier leaders that wait for workers that may still run them.
    int64_t recovered_waiting = 0;
    // Of the processors that no run uses, those kept for blocked steps.
    int64_t cpu_milli_reserved = 0;
    // As of the last look for placements: gangs that could start, had they room
    // and tickets, how many of these keep room, and steps that were not to ask
    // for advice since those before them would fill what is free.
    int64_t gangs_waiting = 0;
    int64_t gangs_reserving = 0;
    int64_t steps_without_advice = 0;
    // Of all looks for placements so far: how many there were, the steps that
    // they passed over, those of them whose job is late already, and how often
    // a worker was tried for a step.
    int64_t placement_passes = 0;
    int64_t steps_examined = 0;
    int64_t late_steps_examined = 0;
    int64_t workers_tried = 0;
    // Listings that were not taken since a later one had been.
    int64_t stale_reports_skipped = 0;
  };
  Figures figures() const;

 private:
  // Added to the length of a lease on the slowest clock, for late timers.
  static constexpr absl::Duration kLeaseExpiryMargin = absl::Milliseconds(100);

  // One run that takes room on a worker.
  struct Allocation {
    Resources need;
    bool unwanted = false;      // Not a run that this leader wants there.
    bool unknown_size = false;  // Its job's description is gone.
    absl::Time start_answered = absl::InfiniteFuture();
    absl::Time placed;
    // When this leader's order to start it left.
    absl::Time ordered = absl::InfinitePast();
    absl::Time stop_sent = absl::InfinitePast();
    absl::Time stop_answered = absl::InfiniteFuture();
    bool should_stop = false;
    bool stop_in_flight = false;
    bool adopted = false;    // Found running: when it began is not known.
    bool reported = false;   // A listing of this life showed it.
    bool uncertain = false;  // The start had no answer.
    absl::Time uncertain_since;
    // When its end is overdue by the estimate: a look is worth its price then.
    absl::Time check_at = absl::InfiniteFuture();
    int32_t percent = 0;
    absl::Time percent_changed;
    // A run that saves its progress yields to steps of a lower number, until
    // its job could no longer be in time. 0: it does not yield.
    int32_t preemptible_below = 0;
    absl::Time preemptible_until = absl::InfinitePast();
  };
  using RunKey = std::pair<TaskId, int32_t>;
  using Allocations = std::map<RunKey, Allocation>;
  struct Worker {
    WorkerRecord record;
    int64_t known_at_batch = 0;  // The batch that tells later leaders of it.
    // The last leader that may have given it work or extended its lease.
    int64_t leased_by_epoch = 0;
    // This leader's record of the worker says that it leaves, runs nothing and
    // gets nothing more.
    bool retired = false;
    // The record that an earlier leader left says so.
    bool retired_by_earlier = false;
    // An earlier leader may have given it work: none does before the worker is
    // on record.
    bool known_to_earlier_leader = false;
    // See KnownWorker. True once this leader has listed it.
    bool persists_placements = true;
    // This leader's record says that it leaves, and that only these may still
    // run there; and the record that an earlier leader left.
    std::vector<TaskId> last_tasks;
    std::vector<TaskId> last_tasks_of_earlier;
    Resources free;
    Allocations allocations;
    Resources stopping;  // What occupants take that are to stop.
    // An occupant may be to stop, or its start had no answer.
    bool unresolved = false;
    absl::Time next_check = absl::InfiniteFuture();  // Of the occupants.
    int runs_of_unknown_size =
        0;                   // Occupants of unknown size: nothing else starts.
    bool reported = false;   // Its lists were taken under this leader's fence.
    bool restarted = false;  // Under the name that it had.
    bool inherited_runs = false;  // Runs of the life before were moved here.
    // Above that of all earlier lives: what was sent to these, and comes late,
    // is refused by a life that has seen this one.
    int64_t fence = 0;
    bool record_removed = false;
    int observations_in_flight = 0;  // Under way.
    bool observe_now = false;  // At once, beside one that waits for an end.
    absl::Time last_observation_sent = absl::InfinitePast();  // The last one.
    // The last listing that was taken: when it was asked for, and the worker's
    // clock on it. Listings may overtake each other.
    absl::Time report_requested_at = absl::InfinitePast();
    int64_t report_clock_ms = -1;
    absl::Time next_observe = absl::InfinitePast();
    absl::Time last_answer = absl::InfinitePast();
    absl::Time unanswered_since = absl::InfiniteFuture();  // Nothing since.
    // The first look that failed since one was answered.
    absl::Time failing_since = absl::InfiniteFuture();
    int failed_observations = 0;
    int64_t ends_acknowledged = 0;  // Told to the worker.
    int64_t ends_processed = 0;
    std::deque<std::pair<int64_t, int64_t>>
        unacknowledged_ends;  // End number, its batch.
    int64_t clock_ms = -1;
    absl::Time clock_at;  // When `clock_ms` arrived.
    absl::Time lease_expires_at =
        absl::InfinitePast();  // All has ended by then.
    absl::Time suspect_until = absl::InfinitePast();
    // A task under suspicion was started here, by itself: nothing else is until
    // the worker has answered after this time.
    absl::Time probation_until = absl::InfinitePast();
    int failures_in_row = 0;
    // What steps that were looked at before in this look for placements keep
    // free here.
    Resources reserved;
    bool check_scheduled = false;  // Stands in `scheduled_checks_`.
    // Processors that steps hope to get here, whose advice is under way.
    int32_t expected_cpu_milli = 0;
  };
  struct Adviser {
    std::string node;
    bool short_only = false;
    absl::Time busy_until = absl::InfinitePast();
    absl::Time avoid_until = absl::InfinitePast();
  };
  // The processors of a pool, in thousandths, as a look for placements finds
  // them.
  struct PoolCapacity {
    double free_milli = 0;
    double total_milli = 0;
    double advice_budget_milli =
        0;                     // For how much work advice may still be asked.
    bool mostly_idle = false;  // Much of it is free.
    int32_t workers = 0;
  };
  // How many steps keep room in a look for placements.
  struct ReservingSteps {
    int gangs = 0;
    int ready_gangs = 0;  // Beyond those, gangs that lack only tickets.
    int others = 0;
  };
  // A step that has tasks to place, with what orders it among the others.
  struct ReadyStep {
    Job* job;
    Round* round;
    StepState* state;
    const StepSpec* spec;
    const Queue* queue;
    int32_t number;
    int32_t waiting;
    // Its tasks that this leader has not seen may still run for an earlier one.
    bool may_run_unobserved;
    // Then on any worker, whatever the placements say.
    bool placements_incomplete;
    bool down;                // It lasts, and tasks of it have stopped running.
    int tier;                 // 0: its objective can still be met.
    absl::Time latest_start;  // To meet the objective.
    // Of the time that the job could spend waiting, the share that is left.
    double slack_left;
    bool may_reserve = false;       // It may keep room free in this look.
    bool pool_mostly_idle = false;  // Much of its pool is free in this look.
    int32_t pool_workers = 0;
    // Its tasks are to be started again soon, and it has no others to place:
    // advice is asked ahead.
    bool asks_ahead = false;
  };

  // Which workers a step may use.
  struct WorkerQuota {
    int32_t most = std::numeric_limits<int32_t>::max();
    std::set<std::string> used;

    bool Allows(const std::string& worker) const {
      return static_cast<int32_t>(used.size()) < most || used.count(worker) > 0;
    }
  };

  // job_scheduler.cc
  void MarkDirty(Job& job);
  void EndJob(Job& job, JobState end, std::string why, Now now);
  void StopRunsOf(Job& job);
  void AddDueRounds(Job& job, Now now);
  void DropEnded(Now now);
  void LogDecision(std::string event, LogFields fields,
                   Severity severity = Severity::kInfo);

  // job_scheduler_workers.cc
  void UpdateClock(Worker& worker, int64_t clock_ms, absl::Time at);
  // A lease as long as the worker grants, in its own clock; 0: clock unknown.
  int64_t GrantLease(Worker& worker, absl::Time now);
  Allocation& Allocate(Worker& worker, const TaskId& task, int32_t run,
                       const Resources& need, Now now);
  void Release(Worker& worker, const RunKey& key);
  // The run is over without a success: its task waits again.
  void Requeue(const TaskId& task, int32_t run, const std::string& worker,
               absl::Time retry_at);
  void AcknowledgeDurableEnds(Worker& worker);
  // The worker is looked at by the next `Tick`, not only by the next sweep.
  void ScheduleCheck(Worker& worker);
  void TickWorkers(Now now);
  // It has left, and nothing that it may still run is waited for.
  bool CanBeForgotten(const Worker& worker, Now now) const;
  void TickWorker(Worker& worker, Now now);
  bool ObservationIsDue(const Worker& worker, Now now) const;
  void SendObservation(Worker& worker, Now now);
  void OnObservationFailed(Worker& worker, const ObserveAction& action,
                           const OrderReply& reply, absl::Time sent, Now now);
  // Something that was sent to the worker got no answer, or an answer.
  void RecordUnanswered(Worker& worker, Now now);
  void RecordAnswered(Worker& worker, Now now);
  // Wants a look where a task should have ended by its estimate.
  void CheckOverdueRuns(Worker& worker, Now now);
  // When to check on a run that begins now.
  absl::Time OverdueCheckTime(const TaskId& task, absl::Time now) const;
  void RequestStop(Worker& worker, const RunKey& key);
  void SendStops(Worker& worker, Now now);
  bool IsReachable(const Worker& worker, Now now) const;
  // Later leaders are told that this one may give the worker work.
  void PersistWorker(Worker& worker);
  // Tells them that it does so no more, and what may still run there, once a
  // worker leaves.
  void RetireDrainingWorker(Worker& worker);

  // job_scheduler_losses.cc
  // Another life of its machine has answered since the worker did.
  bool AnotherIncarnationAnswered(const Worker& worker) const;
  // Since when the worker may be gone: its first failed look or order.
  static absl::Time LostSince(const Worker& worker, Now now);
  // All that runs on the worker is lost with it and waits again, but for what
  // may be on `next`, the worker's life that is there now. Null: none is known.
  void HandleWorkerLoss(Worker& worker, WorkerLoss loss, Worker* next, Now now);
  static absl::Duration RunDurationUntil(const Allocation& allocation,
                                         absl::Time lost);
  struct Suspicion {
    // Those that had been at work for less.
    absl::Duration within = absl::InfiniteDuration();
    bool begun_only = false;  // Those that surely had begun.
  };
  // A worker that crashed.
  struct Crash {
    absl::Time lost;  // The first sign of it.
    int earlier_machine_crashes = 0;
    Suspicion suspicion;
  };
  static bool IsCausedBySuspect(const Worker& worker, absl::Time lost);
  // Runs that were lost with a silent worker are held against their tasks once
  // another life answers at its machine.
  void RecordUnresponsiveLoss(const Worker& worker, const Allocations& runs,
                              const Crash& crash, Now now);
  void AttributeUnresponsiveLosses(const Worker& answering, Now now);
  // Returns how often the worker's machine had crashed lately.
  int RecordCrash(const Worker& worker, const Allocations& runs,
                  absl::Time lost);
  // Other workers that were lost at that time and ran nothing of the step.
  int CountConcurrentLosses(const TaskId& step, const std::string& worker_id,
                            absl::Time lost) const;
  // Which of the runs that were lost with a worker may have crashed it.
  static Suspicion FindSuspicion(const Allocations& runs, absl::Time lost,
                                 Now now);
  static bool IsSuspectRun(const Allocation& allocation, absl::Time lost,
                           const Suspicion& suspicion, Now now);
  // Holds the crash of a worker against a run that was lost with it.
  void AttributeCrash(const Worker& worker, const RunKey& key,
                      const Allocations& runs, const Crash& crash, Now now);
  // A worker was lost: what others that were lost at about the same moment are
  // charged with weighs less.
  void ReviseAttributions(absl::Time lost);
  void AddTaskCrash(Job& job, const TaskId& id, CrashedRun crash,
                    const std::string& worker, Now now);
  // The same for runs that only the record of an earlier leader tells of.
  void AttributeUnobservedCrash(const Worker& worker, Now now);
  void LoadExposedRuns();
  void RecordExposedRun(Job& job, const TaskId& id, ExposedRun run);
  // A recovered task that this leader had not seen is started.
  void RecordUnobservedStart(const ReadyStep& ready, const TaskId& task,
                             const StartAction& action, Now now);
  // The worker answers no more.
  void RecordUnresponsiveness(Worker& worker, Now now);
  // Workers crashed under the task's last runs.
  static bool IsSuspectTask(const ReadyStep& ready, const TaskState& task);
  // So many that its next start must be on record before its order leaves.
  static bool MustBeDurable(const ReadyStep& ready, const TaskState& task);
  // The task is done, or at work for that long on a worker that answers.
  bool HasRunFor(const TaskState& task, const TaskId& id, absl::Duration time,
                 Now now);
  // The worker gave an answer since then; has it asked for one, if not.
  bool AnsweredSince(Worker& worker, absl::Time since, Now now);
  static bool IsOnProbation(const Worker& worker);
  // Tasks of the step that may start now, for all that is held against it.
  int32_t SuspectStartLimit(ReadyStep& ready, Now now);
  // Some workers only, until one of the step's tasks was at work for a while.
  WorkerQuota ComputeWorkerQuota(ReadyStep& ready, Now now);
  // The less, the less is lost should the worker crash.
  double ProbeScore(const Worker& worker, Now now) const;
  // The task was just started there under suspicion: nothing else is for a
  // while.
  void PutOnProbation(ReadyStep& ready, int32_t index, Worker& worker, Now now);
  // The worker answers again.
  void ClearUnresponsiveness(Worker& worker);
  // `beside`: other runs that were lost with it.
  void ExplainLostRun(const Worker& worker, const RunKey& key,
                      const Allocation& allocation, size_t co_located_runs,
                      absl::Time lost, Now now);

  // job_scheduler_lives.cc
  // Those that have the name, at most one of which is there.
  std::vector<Worker*> IncarnationsOf(const std::string& name);
  // Another life answered in its place, which is `next_id` if that is told.
  void OnOtherIncarnation(Worker& worker, const std::string& next_id, Now now);
  // Of the worker that `earlier` was a life of; until the platform lists it, it
  // gets nothing new.
  Worker& FindOrAddNextIncarnation(const Worker& earlier, const std::string& id,
                                   Now now);
  // What earlier leaders may have running on `worker` may be on `next`.
  void TransferUnobservedRuns(const Worker& worker, Worker& next);
  // Of a life that is over: whether the next one may have carried the start
  // out, or may do so yet.
  static bool MayRunOnNextIncarnation(const Worker& worker,
                                      const Allocation& run);
  // From here on the run is one of `next` whose start had no answer.
  void MoveToNextIncarnation(const Worker& worker, Worker& next,
                             const RunKey& key, const Allocation& run, Now now);
  // Above all that this leader has given lives of the worker.
  int64_t NextFence(const std::string& name);
  // A worker refused an order for its fence. True: it has seen a higher one of
  // this leader, for another life of it, and is looked at with one above all.
  // Else another leads.
  bool HasSeenOwnFence(Worker& worker, int64_t fence, Now now);
  // The worker was known by its name alone, and now its life is told.
  void SetIncarnationId(Worker& worker, const std::string& id);

  // job_scheduler_unanswered.cc
  // `next` is the life with which a worker started again under its name.
  void RecordRestart(Worker& next, Now now);
  // Whether workers of this site have done so of late.
  bool WorkersRestartedRecently(Now now) const;
  // What became of the order to start the run is not known.
  static bool IsStartUnanswered(const Allocation& run, Now now);
  // The run is not on its worker, or lost with it: its task waits again.
  void AbandonRun(const Worker& worker, const RunKey& key,
                  const Allocation& run, Now now);
  // The run of `worker` is given up, or about to be, without an answer.
  void RecordUnansweredStart(const Worker& worker, const RunKey& key,
                             const Allocation& run, Now now);
  // Its worker told of the run.
  void ClearUnansweredStart(Job& job, TaskState& task, int32_t run);
  // The task is kept off other workers: an order to start it may be carried
  // out yet.
  bool WaitsForUnansweredStart(const TaskState& task, Now now) const;
  // The one worker that may start such a task: that which has the order. It
  // drops the order once it has heard of the later run. Null: none.
  Worker* WorkerOfUnansweredStart(const ReadyStep& ready, const TaskState& task,
                                  Now now);

  // job_scheduler_recovery.cc
  // Until when the leader of that epoch may have given orders.
  absl::Time LatestEarlierOrder(int64_t epoch) const;
  // By when a lease that starts now has passed on the slowest clock.
  absl::Duration MaxLeaseDuration() const;
  // Until when an earlier leader may have extended the worker's lease.
  absl::Time LatestEarlierLeaseGrant(const Worker& worker) const;
  // The worker may run nothing that is not known of.
  bool IsAccountedFor(const Worker& worker, Now now) const;
  // No worker may run something that is not known of.
  bool AllAccountedFor(Now now) const;
  // Of those that are not accounted for, one was last held by a leader that
  // kept no placements.
  bool PlacementsMayBeMissing(Now now) const;
  // What workers that are not accounted for may run.
  struct Unobserved {
    bool any_task = false;
    std::set<TaskId> tasks;  // Unless anything.

    bool Any() const { return any_task || !tasks.empty(); }
  };
  Unobserved FindUnobserved(Now now) const;
  // A recovered task that this leader has not seen and that a worker which is
  // not accounted for may run.
  bool WaitsForEarlierLease(const ReadyStep& ready, const TaskState& task,
                            Now now) const;
  // Counts the tasks of a step that are held back.
  void CountWaitingForRecovery(const ReadyStep& ready, Now now);
  // Says which recovered tasks wait, for which workers, and how long at most.
  void LogRecoveryWait(Now now);

  // job_scheduler_runs.cc
  void OnRunEnded(Worker& worker, const EndedTask& end, Now now);
  void OnTaskDone(Job& job, const EndedTask& end, Now now);
  void OnTaskFailed(Worker& worker, Job& job, const EndedTask& end, Now now);
  // Ends jobs that have used up their attempts by the configuration as it is
  // now: an end may have been heard before the queue was known.
  void FailExhaustedJobs(Now now);
  const Queue* FindQueue(const Job& job) const;  // Null: not known.
  void OnRunReported(Worker& worker, const RunningTask& running, Now now);
  void GiveUpMissingRuns(Worker& worker, const ObserveReply& reply,
                         absl::Time sent, Now now);

  // job_scheduler_placement.cc
  // By the configuration in force; kept until that changes or the job ends.
  const JobTiming& GetJobTiming(const Job& job, const Queue& queue);
  void PlaceAll(Now now);
  std::vector<ReadyStep> CollectReadySteps(Now now);
  // What the admission of new jobs goes by.
  void ReportBacklog(const std::vector<ReadyStep>& ready, Now now);
  // Counts it, and decides whether late steps are looked at.
  void CountPlacementPass(const std::vector<ReadyStep>& ready, Now now);
  static bool IsLate(const ReadyStep& ready);
  static bool MayDefer(const ReadyStep& ready);
  void PlaceSingleTasks(ReadyStep& ready, Now now);
  // Starts waiting tasks, those under suspicion or the others, `may_start` at
  // most. False: no more of the step start in this look.
  bool PlaceTasks(ReadyStep& ready, bool suspects,
                  const std::vector<Worker*>& usable, WorkerQuota& quota,
                  int32_t* may_start, Now now);
  // Null: none has room. `probe`: where least is lost if it crashes.
  Worker* FindBestWorker(const ReadyStep& ready, const TaskState& task,
                         bool probe, const std::vector<Worker*>& usable,
                         const WorkerQuota& quota, Now now) const;
  // Those that may run the step now, with a ticket where one is needed.
  std::vector<Worker*> FindUsableWorkers(const ReadyStep& ready, Now now);
  // The less, the better the worker suits the task.
  static double PlacementScore(const Worker& worker, const ReadyStep& ready,
                               const TaskState& task);
  void StartTask(ReadyStep& ready, int32_t index, int32_t run, Worker& worker,
                 Now now);
  bool MayRun(const Worker& worker, const ReadyStep& ready, Now now);
  int32_t CountFittingTasks(const Worker& worker, const ReadyStep& ready,
                            const Resources& free_capacity) const;
  int32_t CountPlacedTasks(const Worker& worker, const ReadyStep& ready) const;
  void RecordBlocked(ReadyStep& ready, const char* why);
  // The most that any worker has free, each resource by itself.
  Resources MaxFreeResources() const;
  // Keeps room for a blocked step, if it is among those that may.
  void MaybeReserveCapacity(ReadyStep& step, ReservingSteps& kept, Now now);
  // Asks for advice on a blocked step, if that can bring it anything.
  void MaybeAskAdvice(ReadyStep& step, const PoolCapacity& pool, Now now);
  // By the pool's name.
  std::map<std::string, PoolCapacity> FindPoolCapacity() const;
  static bool FollowsStepEndedHere(const Job& job, const Round& round,
                                   size_t step);
  bool MayStart(const ReadyStep& ready, const TaskState& task, Now now);
  // Whether tasks of a lasting step have stopped running and wait for longer
  // than they should.
  bool IsDown(const ReadyStep& ready, Now now);
  // Tasks of a lasting step that are to start again once the lease of their
  // silent worker has passed, which is soon.
  int32_t CountSoonLost(const StepSpec& spec, const StepState& step,
                        Now now) const;
  // Tasks of a lasting step at work on workers that are about to leave.
  std::vector<int32_t> FindTasksOnLeavingWorkers(const StepSpec& spec,
                                                 const StepState& step) const;
  // Stops one of them for which there is room elsewhere now.
  void MoveTaskFromLeavingWorker(ReadyStep& ready, Now now);

  // job_scheduler_waiting.cc
  // What there is for a step that waits. In tasks of it.
  struct WaitingRoom {
    int64_t fits = 0;           // On all workers of its pool.
    int64_t fits_good = 0;      // On those known to be allowed to run it,
    int64_t fits_unheld = 0;    // of that, what is not kept for others,
    int64_t fits_ticketed = 0;  // and on those that it has a ticket of.
    int32_t workers_good = 0;
    int32_t workers_bad = 0;  // Known not to be allowed to.
  };
  WaitingRoom FindWaitingCapacity(const ReadyStep& ready, Now now) const;
  // Tells of some of the steps that have waited for long, once in a while.
  void ExplainWaiting(const std::vector<ReadyStep>& ready, Now now);

  // job_scheduler_pending_starts.cc
  // Puts the placement on record; the order leaves once that is durable.
  void StartOnceDurable(Job& job, TaskState& task, StartAction action);
  // Sends the orders whose placements are durable.
  void SendPendingStarts(Now now);
  // Nothing runs the task any more, or `worker` was found to run it.
  void RecordPlacement(Job& job, const TaskId& task, const std::string& worker);
  // All placements on `from` are on `to` now; empty: on none.
  void MovePlacements(const std::string& from, const std::string& to);
  // Keeps the placements of recovered jobs whose last leader did not, once
  // nothing of theirs can run unseen.
  void AdoptPlacements();

  // job_scheduler_gangs.cc
  void PlaceGang(ReadyStep& ready, Now now);
  // Of a gang some of whose members are placed: places or stops the rest. False
  // when none is placed.
  bool CompleteGang(ReadyStep& ready, Now now);

  // job_scheduler_room.cc
  struct ReservationOption;
  // Keeps room for a blocked step from all that is ordered behind it, where it
  // gets room soonest, and stops less urgent runs for it.
  void ReserveCapacity(ReadyStep& ready, Now now);
  // Workers that may run the step once they have room.
  std::vector<Worker*> FindWorkersToReserve(const ReadyStep& ready, Now now);
  std::vector<ReservationOption> FindReservationOptions(const ReadyStep& ready,
                                                        Now now);
  void AddPreemptibleRuns(const ReadyStep& ready, ReservationOption& option,
                          Now now);
  // Notes whether and for how long the run may yield.
  void UpdatePreemptibility(Allocation& allocation, const TaskId& task,
                            Now now);
  // What stopping the run for `ready` costs; none: it does not yield.
  std::optional<double> PreemptionCost(const Worker& worker,
                                       const Allocation& allocation,
                                       const ReadyStep& ready, Now now) const;
  void MarkStopping(Worker& worker, Allocation& allocation);
  void Preempt(Worker& worker, const RunKey& key, const ReadyStep& ready);
  void ReserveOnWorker(Worker& worker, int32_t tasks, ReadyStep& ready);
  // For a gang: if all that it needs is free now; false: nothing is held.
  bool ReserveFreeCapacity(ReadyStep& ready, Now now);
  // Holds what is free, ends by request or yields; returns for how many tasks.
  int32_t ReserveUpcomingCapacity(ReadyStep& ready,
                                  std::vector<ReservationOption>& options,
                                  Now now);
  // Holds for so many tasks where room comes without anybody's yielding.
  void ReserveOnLeastUsedWorkers(ReadyStep& ready, int32_t tasks,
                                 std::vector<ReservationOption>& options);
  // Of one that may run the step.
  static double TaskShareOfWorker(
      const ReadyStep& ready, const std::vector<ReservationOption>& options);
  // Keeps what was kept at the last search.
  void RenewReservation(ReadyStep& ready);

  // job_scheduler_advice.cc
  // Whether an order that leaves now arrives while the ticket holds.
  static bool IsTicketValid(const StepAdvice::Ticket& ticket, Now now);
  bool HasTicket(const Worker& worker, const ReadyStep& ready, Now now) const;
  // The same when one that is asked for now may come.
  bool HasTicketBeyondNextCall(const Worker& worker, const ReadyStep& ready,
                               Now now) const;
  // A worker for which a step lacks a ticket.
  struct AdviceCandidate;
  // Workers that a call for advice on the queue names although fewer would do;
  // 0: none.
  size_t CheapNameCount(const Queue& queue) const;
  // Whether the step keeps room at a worker for which its ticket runs out.
  bool ReservedTicketExpires(const ReadyStep& ready, Now now) const;
  // The share of workers that may run a step of the queue, as far as learnt.
  double EligibleShare(const Queue& queue) const;
  // A worker that a call names, and the processors hoped for there.
  struct NamedWorker {
    Worker* worker;
    int32_t expected_cpu_milli;
  };
  // One call. False: no node is free for it.
  bool AskAdvice(ReadyStep& ready, const NamedWorker* named, size_t count,
                 Now now);
  // In so many calls side by side, at most, as naming them takes.
  void AskAdvice(ReadyStep& ready, const std::vector<NamedWorker>& named,
                 size_t most_calls, Now now);
  // Processors of as many tasks of the step as may start at one worker.
  static int32_t ExpectedMilli(const ReadyStep& ready, double tasks);
  void ReleaseExpectedUse(const AskAdviceAction& action);
  // What is free on a worker and not kept for others.
  static Resources UnreservedCapacity(const Worker& worker) {
    return worker.free - worker.reserved;
  }
  // The same, without what is hoped for by others.
  static Resources UnclaimedCapacity(const Worker& worker);
  void EnsureSingleTaskAdvice(ReadyStep& ready, Now now);
  void EnsureGangAdvice(ReadyStep& ready, Now now);
  struct GangCall;
  // Workers that a gang may be asked about, those with most room first.
  struct GangCandidates {
    std::vector<AdviceCandidate> good;  // Known to be allowed to run it.
    std::vector<AdviceCandidate> unknown;
    int32_t good_now = 0;    // Tasks that fit at the good ones now,
    int32_t good_whole = 0;  // and when nothing else runs there.
  };
  GangCandidates FindGangCandidates(const ReadyStep& ready, Now now);
  Adviser* FindFreeAdviser(double cost_ms, Now now);
  // How many calls gangs may make beside the first one of each.
  size_t ExtraGangCallsLeft(const std::vector<ReadyStep>& ready) const;
  absl::Duration AdviceSearchInterval() const;
  // Whether the step may search for whom to ask now; counts the search.
  bool TryTakeAdviceSearch(const ReadyStep& ready, Now now);

  const Options options_;
  const int64_t epoch_;
  JobTable jobs_;
  std::map<JobId, Job*> active_;  // Those that have not ended.
  std::map<std::string, std::unique_ptr<Worker>> workers_;  // By life.
  std::map<std::string, int64_t> fences_;  // The highest, by worker's name.
  // When a worker was last found to have started again under its name.
  absl::Time last_restart_seen_ = absl::InfinitePast();
  std::shared_ptr<const SiteConfiguration> configuration_;
  absl::flat_hash_map<JobId, JobTiming> job_times_;
  std::vector<Adviser> advisers_;
  absl::flat_hash_map<std::string, double> good_share_;  // Queue -> learnt.
  std::vector<Action> actions_;

  int64_t next_batch_ = 1;
  int64_t durable_batch_ = 0;
  bool batch_needed_ = false;
  std::set<std::string> unpersisted_workers_;
  std::set<JobId> undescribed_jobs_;
  std::set<JobId> dirty_jobs_;
  std::vector<std::string> keys_to_drop_;
  // Orders that wait for the batch that keeps their placements.
  struct PendingStart {
    int64_t batch;
    StartAction action;
  };
  std::deque<PendingStart> pending_starts_;
  // A crash that is held against a task.
  struct CrashAttribution {
    TaskId task;
    int32_t run;
    absl::Duration ran;
    CrashContext around;
  };
  // Crashes of the last minute, oldest first.
  struct PastCrash {
    absl::Time lost;
    std::string worker;
    std::string machine;
    bool explained;          // See IsCausedBySuspect.
    std::set<TaskId> steps;  // That ran there; the index is 0.
    std::vector<CrashAttribution> attributions;  // That were made for it.
  };
  std::deque<PastCrash> recent_crashes_;
  struct UnresponsiveLoss {
    std::string worker;
    std::vector<std::pair<TaskId, CrashedRun>> runs;
  };
  std::map<std::string, UnresponsiveLoss> unresponsive_losses_;  // By machine.
  // A worker to which an earlier leader may have given work crashed since.
  bool unobserved_worker_crashed_ = false;
  int unobserved_starts_recorded_ =
      0;  // Starts that were put on record for that.
  // By worker: recovered tasks whose run there may have crashed it.
  std::map<std::string, std::vector<TaskId>> exposed_;
  bool placements_adopted_ = false;

  AnswerTimes answer_times_{AnswerTimes::Options()};
  Admission admission_{Admission::Options()};
  int64_t starts_at_last_pass_ = 0;
  absl::Time earlier_leaders_active_until_;
  absl::Time earlier_leaders_fenced_at_ = absl::InfinitePast();
  bool earlier_leader_stopped_ = false;  // OnEarlierLeadersStopped was called.
  // By epoch: when the leader was first seen at work.
  std::map<int64_t, absl::Time> earlier_leaders_seen_;
  // Recovered tasks that wait for workers, as of the last look for placements.
  struct RecoveryWait {
    int64_t tasks = 0;
    TaskId first;
  };
  RecoveryWait recovery_wait_;
  Unobserved unobserved_;  // As of that look.
  bool recovery_wait_logged_ = false;
  absl::Time next_recovery_log_ = absl::InfinitePast();
  absl::Time next_waiting_log_ = absl::InfinitePast();
  bool fenced_ = false;
  bool suspended_ = false;
  absl::Duration lag_;
  int32_t starts_left_ = 0;           // In this look for placements.
  int32_t advice_searches_left_ = 0;  // The same.
  size_t concurrent_calls_left_ = 0;  // In this look; see ExtraGangCallsLeft.
  bool short_advisers_busy_ = false;  // No node takes a short call now.
  bool long_advisers_busy_ = false;   // Nor a long one.
  size_t ready_steps_ = 0;            // The same.
  bool backlogged_ = false;           // More waits than room is held for.
  std::vector<Worker*> scheduled_checks_;  // Workers to look at before a sweep.
  std::vector<Worker*>
      workers_with_unacknowledged_ends_;  // With ends that wait to be durable.
  absl::Time next_sweep_ = absl::InfinitePast();
  bool placement_wanted_ = false;
  // A queue may have become known, or its limit of attempts another.
  bool attempts_unchecked_ = true;
  absl::Time no_placement_before_ = absl::InfinitePast();
  absl::Time next_late_pass_ = absl::InfinitePast();
  bool late_steps_deferred_ = false;  // Late steps wait for a later look.
  bool tick_had_placement_pass_ =
      false;  // The last tick looked for placements.
  absl::Time next_placement_ = absl::InfinitePast();
  absl::Time next_housekeeping_ = absl::InfinitePast();
  absl::Time next_rounds_ = absl::InfinitePast();
  Figures figures_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_
