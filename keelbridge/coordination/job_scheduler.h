// Schedules the jobs of a site: decides which task starts on which worker and
// when, and how to react to a lost answer, an unresponsive worker or a change
// of leader.
//
// The class is a pure state machine: it maps its state, an event and the
// current time to actions. It never reads a clock and does no I/O; its driver
// carries out the actions and reports their results. Only the leader of a site
// has a JobScheduler. It distinguishes three kinds of state: durable state,
// which is written in batches of records (a batch is durable once `OnDurable`
// was called for it), the set of running tasks, which workers report, and
// everything else, which a new leader rebuilds.
//
//   JobScheduler scheduler(options, epoch, started);
//   int64_t batch = scheduler.Submit(id, "restore", spec, now);
//   store.Append(scheduler.TakeBatch());
//   // Later, once the append is durable: the job is accepted now.
//   scheduler.OnDurable(batch);
//   for (const Action& action : scheduler.TakeActions()) CarryOut(action);

#ifndef KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_
#define KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "keelbridge/accounts/account_ledger.h"
#include "keelbridge/accounts/early_cancels.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/log_rate_limiter.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/allocation.h"
#include "keelbridge/coordination/answer_times.h"
#include "keelbridge/coordination/capacity_reservations.h"
#include "keelbridge/coordination/crash_history.h"
#include "keelbridge/coordination/earlier_orders.h"
#include "keelbridge/coordination/job_timings.h"
#include "keelbridge/coordination/open_calls.h"
#include "keelbridge/coordination/pool_capacity.h"
#include "keelbridge/coordination/pool_totals.h"
#include "keelbridge/coordination/ready_step.h"
#include "keelbridge/coordination/recovery_wait.h"
#include "keelbridge/coordination/run_numbers.h"
#include "keelbridge/coordination/scheduled_worker.h"
#include "keelbridge/coordination/scheduler_actions.h"
#include "keelbridge/coordination/scheduler_figures.h"
#include "keelbridge/coordination/scheduler_policy.h"
#include "keelbridge/coordination/task_moves.h"
#include "keelbridge/coordination/worker_loss.h"
#include "keelbridge/coordination/worker_quota.h"
#include "keelbridge/coordination/zone_silence.h"
#include "keelbridge/overload/admission.h"
#include "keelbridge/overload/work_admission.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/leader_handover.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/state/job_table.h"
#include "keelbridge/state/known_workers.h"
#include "keelbridge/state/leader_append.h"

namespace keelbridge {

class JobScheduler {
 public:
  struct Options {
    // The longest lease that a worker grants.
    absl::Duration lease = absl::Seconds(6);
    // By which fraction a worker's clock may run slow.
    double max_clock_drift = 0.02;
    // How long a worker lets a gang member wait for the other members.
    absl::Duration gang_wait = absl::Seconds(3);
    // How long the scheduler remembers an ended job.
    absl::Duration ended_retention = absl::Seconds(130);
    // How long a worker may delay its answer to an observation while it waits
    // for a run to end.
    absl::Duration max_observe_wait = absl::Milliseconds(1000);
    // How long an unreachable earlier leader may go on extending leases after
    // it was fenced in the store.
    absl::Duration earlier_leader_grace = absl::Seconds(6);
    // How late a worker may carry out an order that it has not answered.
    absl::Duration max_order_delay = absl::Seconds(12);
    // How long a worker takes to stop a run, at most.
    absl::Duration stop_timeout = absl::Seconds(1);
    // The largest record that the store takes.
    size_t max_record_bytes = 256 << 10;
    // Bounds the starts in flight to each worker.
    StartWindow::Options start_window;
    SchedulerPolicy policy;
  };

  // `epoch` identifies this leader. It is unique and higher than the epochs of
  // all earlier leaders.
  JobScheduler(Options options, int64_t epoch, absl::Time started);

  // --- Durable state ---
  struct Batch {
    int64_t number = 0;
    std::vector<Record> records;
  };
  // Loads the jobs of earlier leaders, and the workers to which they may have
  // assigned tasks. Must be called at most once, before any other method.
  void Load(JobTable jobs, const std::vector<KnownWorker>& workers, Now now);
  // Returns whether there are changes to persist.
  bool HasBatch() const;
  // Returns the number of the batch that `TakeBatch` returns next.
  int64_t NextBatch() const { return next_batch_; }
  // Returns the changes since the previous batch as records to append.
  Batch TakeBatch();
  // Reports that the batch and all batches before it are durable.
  void OnDurable(int64_t batch);
  // Reports that the store has confirmed an append that was begun at `begun`,
  // or the fence. Before the first report leases are not limited by it.
  void OnConfirmed(absl::Time begun) { confirmed_at_ = begun; }
  // Returns by when all leases have expired that this leader may grant while an
  // append begun at `append_begun` is the last confirmed one, and all leases of
  // earlier leaders.
  absl::Time LeasesOver(absl::Time append_begun) const;

  // --- Clients ---
  // Decides whether to accept a new job of a client account, "" for none.
  // Returns nullopt when the queue is unknown. A job that it accepts must be
  // submitted before the next batch is taken. With `admit_by_work`, records the
  // decision: accepted work waits, and a refused client is expected back.
  std::optional<Admission::Verdict> Admit(const std::string& queue,
                                          const JobSpec& spec,
                                          const std::string& account = "",
                                          JobId id = 0, Now now = Now());
  // Submits a job on behalf of a client account, "" for none, by the terms of
  // its admission. Returns the number of the batch that must be durable before
  // the job counts as accepted, or 0 if the job is accepted already.
  int64_t Submit(JobId id, const std::string& queue, JobSpec spec, Now now,
                 const std::string& account = "",
                 const Admission::Verdict& terms = Admission::Verdict());
  // Cancels a job. Returns the number of the batch that must be durable before
  // the job counts as cancelled, 0 if its end is durable already, or nullopt if
  // there is no such job.
  std::optional<int64_t> Cancel(JobId id, Now now);
  // The cancels of jobs that had not arrived. `Submit` does not ask for them. A
  // change is written with the next batch, and brings about none.
  EarlyCancels& early_cancels() { return early_cancels_; }
  // Returns nullopt if there is no such job.
  std::optional<JobState> Status(JobId id) const;
  // The end of a job that is decided but not durable yet.
  struct PendingEnd {
    JobState end;
    int64_t batch;  // The end counts once this batch is durable.
  };
  std::optional<PendingEnd> FindPendingEnd(JobId id) const;
  // Returns the client account that submitted the job, or nullopt if there is
  // no such job.
  std::optional<std::string> AccountOf(JobId id) const;
  // Returns, by queue, the number of accepted jobs none of whose tasks has
  // begun.
  std::map<std::string, int64_t> QueuedJobs() const;

  // --- The site ---
  void SetConfiguration(std::shared_ptr<const SiteConfiguration> configuration);
  // Sets the nodes that can ask for advice. `nodes` may contain this node,
  // `self`, which is then the first to be reserved for short calls.
  void SetAdvisers(const std::vector<AdviserNode>& nodes,
                   const std::string& self);
  // While suspended, the scheduler starts nothing and extends no lease, because
  // this leader may have been replaced without having learned of it.
  void SetSuspended(bool suspended) { suspended_ = suspended; }
  // Sets how late the driver's loop runs. A leader that cannot keep up starts
  // fewer tasks at a time, so that calls in flight are still answered in time.
  void SetLag(absl::Duration lag) { lag_ = lag; }
  // Reports how long the most recent call of `Tick` took. After a placement
  // pass, the next pass is delayed in proportion, so that placement passes
  // leave most of the driver's time to incoming events, however expensive a
  // pass is.
  void OnTickFinished(absl::Duration took, Now now);
  // Reports what is learned of the orders of earlier leaders. See
  // `EarlierOrders`. Clocks must be reported before `Load`.
  void OnEarlierLeadersFenced(absl::Time now) { earlier_orders_.OnFenced(now); }
  void OnEarlierLeaderSeen(int64_t epoch, absl::Time at) {
    earlier_orders_.OnLeaderSeen(epoch, at);
  }
  void OnEarlierLeaderClock(int64_t epoch, const LeaderClock& clock) {
    earlier_orders_.OnLeaderClock(epoch, clock);
  }
  void OnEarlierLeaderAppend(const LeaderAppend& append);
  void OnEarlierLeadersStopped(absl::Time last_order);
  // Returns what the next leader cannot learn from the store. To be called once
  // this leader sends no more orders.
  LeaderHandover Handover(absl::Time now) const;
  // Applies the handover of an earlier leader to the workers that this leader
  // has not reached.
  void OnHandover(const LeaderHandover& handover, Now now);
  // Reports a worker's entry in the platform's list of workers.
  void OnWorkerRecord(const WorkerRecord& record, Now now);
  // Reports that the platform no longer lists a worker of that name. The worker
  // may still run.
  void OnWorkerRemoved(const std::string& name);

  // --- Results of actions ---
  void OnStartReply(const StartAction& action, const OrderReply& reply,
                    Now now);
  void OnStopReply(const StopAction& action, const OrderReply& reply, Now now);
  // `sent` is the time at which the observation was sent.
  void OnObserveReply(const ObserveAction& action, const ObserveReply& reply,
                      absl::Time sent, Now now);
  void OnAdvice(const AskAdviceAction& action, const AdviceReply& reply,
                Now now);

  // Does the work that is due: observations, retries, rounds and placement.
  // Must be called at least every 50 ms, and after events.
  void Tick(Now now);
  // Returns the actions that were decided since the previous call.
  std::vector<Action> TakeActions();

  // Returns whether a worker has seen a higher fence, so that another node
  // leads.
  bool fenced() const { return fenced_; }

  using Figures = SchedulerFigures;
  Figures figures() const;
  const DurationLearner& durations() const { return job_timings_.learner(); }
  // See `AccountLedger::LargestAccounts`.
  std::vector<AccountLedger::Figures> LargestAccounts(
      size_t max_accounts) const {
    return accounts_.LargestAccounts(max_accounts);
  }

 private:
  // Added to the length of a lease on the slowest clock, since a worker's
  // timers may fire late.
  static constexpr absl::Duration kLeaseExpiryMargin = absl::Milliseconds(100);
  // A worker that has answered nothing for this long gets no new tasks.
  static constexpr absl::Duration kUnresponsiveAfter = absl::Milliseconds(2500);
  // A site of at most this many workers is searched as a whole.
  static constexpr size_t kMaxFullSearch = 400;

  using Worker = ScheduledWorker;
  // job_scheduler.cc
  // Adds the records that make the progress of the job durable.
  void AddProgress(Job& job, Batch& batch);
  void MarkDirty(Job& job);
  // Calls `visit` if the job has not ended and the task is there, and returns
  // whether it is.
  bool VisitOpenTask(const TaskId& id,
                     absl::FunctionRef<void(const FoundTask&)> visit);
  void EndJob(Job& job, JobState end, std::string why, Now now);
  void StopRunsOf(Job& job);
  void AddDueRounds(Job& job, Now now);
  // Adds the round of a reported run, and those before it, if they are missing.
  void AddRoundsOfRun(Job& job, const TaskId& task, Now now);
  void DropEnded(Now now);
  void LogDecision(std::string event, LogFields fields,
                   Severity severity = Severity::kInfo);

  // job_scheduler_calls.cc
  // Returns the number of a new call, and adds it to `calls`.
  int64_t OpenCall(OpenCalls& calls);
  // Sends the order to start a run.
  void SendStart(Worker& worker, StartAction action, Now now);
  // Lets the worker's start window follow what became of a start.
  void UpdateStartWindow(Worker& worker, const StartAction& action,
                         OrderResult result, Now now);
  // Returns the worker to which the answer of a call applies. Returns null if
  // the worker was forgotten, even if it was found again since, or has got
  // another id.
  Worker* CloseCall(const std::string& worker_id, OpenCalls Worker::*calls,
                    int64_t call, Now now);
  // Returns whether the platform lists the worker, but this leader has sent it
  // no observation for much longer than the interval between two.
  static bool IsUnobserved(const Worker& worker, Now now);
  // Updates whether the worker is unobserved, and logs that it is from now on.
  void CheckUnobserved(Worker& worker, Now now);

  // job_scheduler_workers.cc
  void UpdateClock(Worker& worker, int64_t clock_ms, absl::Time at);
  // Returns the end of a lease of the maximum length, in milliseconds of the
  // worker's clock, and records when it expires. Returns 0 if the worker's
  // clock is unknown.
  int64_t GrantLease(Worker& worker, absl::Time now);
  // Counts a run that the worker has, or may have, by what its step occupies.
  Allocation& Allocate(Worker& worker, const TaskId& task, int32_t run,
                       Now now);
  void Release(Worker& worker, const RunKey& key);
  // Returns the task of a run that ended without success to the waiting tasks.
  void Requeue(const TaskId& task, int32_t run, const std::string& worker,
               absl::Time retry_at);
  // Acknowledges the ends that have become durable to the worker.
  void AcknowledgeDurableEnds(Worker& worker);
  // Has the next `Tick` check the worker, instead of only the next sweep.
  void ScheduleCheck(Worker& worker);
  void TickWorkers(Now now);
  // Returns whether the worker has left and no task waits for a run that it may
  // still have.
  bool CanBeForgotten(const Worker& worker, Now now) const;
  void TickWorker(Worker& worker, Now now);
  bool HasRunsWhileAnswersAreLossy(const Worker& worker, Now now) const;
  bool ObservationIsDue(const Worker& worker, Now now) const;
  void SendObservation(Worker& worker, Now now);
  void OnObservationFailed(Worker& worker, const ObserveAction& action,
                           const OrderReply& reply, absl::Time sent, Now now);
  // Records that a call to the worker got no answer, or got one.
  void RecordUnanswered(Worker& worker, Now now);
  void RecordAnswered(Worker& worker, Now now);
  // Requests an observation if a run should have ended by its estimate.
  void CheckOverdueRuns(Worker& worker, Now now);
  // Returns when a run that begins now is overdue.
  absl::Time OverdueCheckTime(const TaskId& task, absl::Time now) const;
  void RequestStop(Worker& worker, const RunKey& key);
  void SendStops(Worker& worker, Now now);
  bool IsReachable(const Worker& worker, Now now) const;
  // Records for later leaders that this one may assign tasks to the worker.
  void PersistWorker(Worker& worker);

  // job_scheduler_lease_ends.cc
  // Returns by when the last lease of the worker, by this or an earlier leader,
  // has expired. The infinite future if it is not known.
  absl::Time LastLeaseEnd(const Worker& worker) const;
  // Returns until when a lease may last if the last confirmed append was begun
  // at `confirmed`.
  absl::Time LatestLeaseEnd(absl::Time confirmed) const;
  // Records when the last lease of a worker that does not answer has expired.
  void RecordLeaseEnd(Worker& worker, Now now);
  // Takes such a record back, because the worker answers.
  void TakeBackLeaseEnd(Worker& worker);

  // job_scheduler_departures.cc
  // Takes over when the worker leaves from its new record, which must not have
  // replaced `worker.record` yet.
  static void UpdateDeparture(Worker& worker, const WorkerRecord& record,
                              Now now);
  // Stops the runs that are not expected to end before the worker leaves, as
  // late as their ends can still be reported. Gangs are stopped as a whole.
  void StopRunsBeforeDeparture(Worker& worker, Now now);
  // Stops the run, or the gang that it belongs to, if it is not expected to end
  // before the worker leaves.
  void StopRunBeforeDeparture(Worker& worker, const FoundTask& found,
                              int32_t number, const Allocation& run, Now now);
  // Records for later leaders that a draining worker gets no more tasks, and
  // which tasks may still run there.
  void RetireDrainingWorker(Worker& worker);
  // Returns the indices of the running tasks of a long-running step whose
  // workers are about to leave.
  std::vector<int32_t> FindTasksOnLeavingWorkers(const StepSpec& spec,
                                                 const StepState& step) const;
  // Stops one task on a leaving worker if another worker has capacity for it
  // now, so that the task starts there.
  void MoveTaskFromLeavingWorker(ReadyStep& ready, Now now);
  // Sets capacity aside for a task that is being moved. Returns false if the
  // move is over.
  bool HoldCapacityForMove(const TaskId& id, const TaskMove& move, Now now);

  // job_scheduler_handover.cc
  // Returns the tasks that may run on the worker, in ascending order.
  static std::vector<TaskId> TasksOn(const Worker& worker);
  // Returns, by the name of the worker, the tasks with a start that was given
  // up without an answer.
  std::map<std::string, std::set<TaskId>> UnansweredStartTasks() const;
  // Applies an end that the leader of `epoch` has handed over. Returns false if
  // it was processed before.
  bool ApplyHandedOverEnd(Worker& worker, EndedTask end, int64_t epoch,
                          Now now);

  // job_scheduler_losses.cc
  // Returns whether another incarnation of the worker's machine has answered
  // more recently than the worker.
  bool AnotherIncarnationAnswered(const Worker& worker) const;
  // Handles the loss of a worker. Its tasks wait again, except those whose runs
  // may be carried out by `next`, the worker's current incarnation. `next` is
  // null if no other incarnation is known.
  void HandleWorkerLoss(Worker& worker, WorkerLoss loss, Worker* next, Now now);
  // Returns to how many workers the run was assigned: 1 unless it is the run of
  // a gang.
  int CountWorkersOfRun(const RunKey& key);
  // Returns whether a suspect task had been started on the worker shortly
  // before it was lost.
  static bool IsCausedBySuspect(const Worker& worker, absl::Time lost);
  // Remembers the suspect runs of an unresponsive worker whose lease has
  // expired. `AttributeUnresponsiveLosses` attributes the crash to them if
  // another incarnation answers at the worker's machine.
  void RecordUnresponsiveLoss(const Worker& worker, const Allocations& runs,
                              const WorkerCrash& crash, Now now);
  // Called when `answering` answers. Attributes the earlier loss of an
  // unresponsive worker at the same machine, if that worker was another
  // incarnation.
  void AttributeUnresponsiveLosses(const Worker& answering, Now now);
  // Records the crash of a worker. Returns how many recent earlier crashes of
  // its machine are recorded that no suspect task explains.
  int RecordCrash(const Worker& worker, const Allocations& runs,
                  absl::Time lost);
  // Returns the number of other workers that were lost at about the same time
  // and ran no task of the step.
  int CountConcurrentLosses(const TaskId& step, const std::string& worker_id,
                            absl::Time lost);
  // Returns the criteria for the runs that may have crashed the worker.
  static SuspectCriteria FindSuspectCriteria(const Allocations& runs,
                                             absl::Time lost, Now now);
  static bool IsSuspectRun(const Allocation& allocation, absl::Time lost,
                           const SuspectCriteria& criteria, Now now);
  // Attributes the crash of a worker to a run that was lost with it, if the run
  // is a suspect.
  void AttributeCrash(const FoundTask& found, const Worker& worker, int32_t run,
                      const Allocations& runs, const WorkerCrash& crash,
                      Now now);
  // Recomputes the probability of the crashes attributed at about the times of
  // `unrevised_losses_`. The loss of another worker at such a time weakens the
  // evidence against each task.
  void ReviseAttributions();
  void ReviseAttribution(const FoundTask& found,
                         const CrashAttribution& attribution,
                         const PastCrash& past);
  // Adds a crash to the record of the task, and ends the job if the task is
  // given up.
  void AddTaskCrash(const FoundTask& found, CrashedRun crash,
                    const std::string& worker, Now now);
  // Whether other tasks of the task's long-running step are at work.
  bool HasSoundSibling(const FoundTask& found, Now now);
  // Attributes the crash of a worker to runs that are known only from the
  // durable record of an earlier leader.
  void AttributeUnobservedCrash(const Worker& worker, Now now);
  void AttributeCrashToSuspect(const FoundTask& found, const Worker& worker,
                               Now now);
  // Loads the recorded suspects of crashes from the jobs of earlier leaders.
  void LoadCrashSuspects();
  // Records on the task that the run may crash, or have crashed, its worker.
  void RecordCrashSuspect(const FoundTask& found, CrashSuspect run);
  // Records the start of a recovered task that this leader had not observed.
  void RecordUnobservedStart(const FoundTask& found, const StartAction& action,
                             Now now);
  // Records the runs that may have crashed a worker that stops responding.
  void RecordUnresponsiveness(Worker& worker, Now now);
  // Returns whether workers crashed during the task's most recent runs.
  static bool IsSuspectTask(const ReadyStep& ready, const TaskState& task);
  // Returns whether the task has so many crashes that its next start must be
  // durable before the order is sent.
  static bool MustBeDurable(const ReadyStep& ready, const TaskState& task);
  // Returns whether the task is done, or has run for `time` on a worker that
  // still answers.
  bool HasRunFor(const TaskState& task, const TaskId& id, absl::Duration time,
                 Now now);
  // Returns whether the worker has answered at or after `since`. If not,
  // requests an observation once `since` has passed.
  bool AnsweredSince(Worker& worker, absl::Time since, Now now);
  static bool IsOnProbation(const Worker& worker);
  // Returns how many tasks of the step may start now, given the crashes
  // attributed to them.
  int32_t SuspectStartLimit(ReadyStep& ready, Now now);
  // Limits the step to some of the workers until one of its tasks has run for
  // some time.
  WorkerQuota ComputeWorkerQuota(ReadyStep& ready, Now now);
  // Returns a score for starting a suspect task on the worker. A lower score
  // means that less is lost if the worker crashes.
  double ProbeScore(const Worker& worker, Now now) const;
  // Puts a worker on which a suspect task was just started on probation:
  // nothing else starts there for a while.
  void PutOnProbation(ReadyStep& ready, int32_t index, Worker& worker, Now now);
  // Clears the unresponsive state of a worker that answers again.
  void ClearUnresponsiveness(Worker& worker);
  // Logs the loss of a run. `co_located_runs` is the number of other runs that
  // were lost with the worker.
  void ExplainLostRun(const Worker& worker, const RunKey& key,
                      const Allocation& allocation, size_t co_located_runs,
                      absl::Time lost, Now now);

  // job_scheduler_incarnations.cc
  // Returns the known incarnations of the worker `name`. At most one of them
  // still runs.
  std::vector<Worker*> IncarnationsOf(const std::string& name);
  // Handles the answer of another incarnation in place of `worker`. `next_id`
  // identifies that incarnation, or is empty if the answer does not name it.
  void OnOtherIncarnation(Worker& worker, const std::string& next_id, Now now);
  // Returns the incarnation `id` of the worker of which `earlier` was an
  // incarnation, and adds it if it is new. A new incarnation gets no tasks
  // until the platform lists it.
  Worker& FindOrAddNextIncarnation(const Worker& earlier, const std::string& id,
                                   Now now);
  // Records that the runs which earlier leaders may have on `worker` may be on
  // `next`.
  void TransferUnobservedRuns(const Worker& worker, Worker& next);
  // Returns whether the successor of `worker`, whose incarnation has ended, may
  // have carried out the order to start the run, or may still do so.
  static bool MayRunOnNextIncarnation(const Worker& worker,
                                      const Allocation& run);
  // Moves the run to `next`, where it counts as a start without an answer.
  void MoveToNextIncarnation(const Worker& worker, Worker& next,
                             const RunKey& key, const Allocation& run, Now now);
  // Returns a fence above all that this leader has given to incarnations of the
  // worker.
  int64_t NextFence(const std::string& name);
  // Handles a worker's refusal of an order because of its fence. Returns true
  // if the worker has seen a higher fence of this leader, which was given to
  // another incarnation; the worker is then observed with a still higher one.
  // Otherwise returns false: another node leads.
  bool HasSeenOwnFence(Worker& worker, int64_t fence, Now now);
  // Sets the incarnation of a worker that was known by its name alone.
  void SetIncarnationId(Worker& worker, const std::string& id);

  // job_scheduler_unanswered.cc
  // Records that a worker restarted under its name as the incarnation `next`.
  void RecordRestart(Worker& next, Now now);
  // Returns whether workers of this site restarted under their names recently.
  bool WorkersRestartedRecently(Now now) const;
  // Returns whether the outcome of the order to start the run is unknown.
  static bool IsStartUnanswered(const Allocation& run, Now now);
  // Requeues the task of a run that is not on its worker or was lost with it.
  void AbandonRun(const Worker& worker, const RunKey& key,
                  const Allocation& run, Now now);
  // Records that the run is abandoned, or about to be, while its start is
  // unanswered.
  void RecordUnansweredStart(const Worker& worker, const RunKey& key,
                             const Allocation& run, Now now);
  // Clears the unanswered start because the worker has reported the run.
  void ClearUnansweredStart(Job& job, TaskState& task, int32_t run);
  // Returns whether the task may not start on other workers because an earlier
  // order to start it may still be carried out.
  bool WaitsForUnansweredStart(const TaskState& task, Now now) const;
  // Returns until when the order may be carried out.
  absl::Time LatestArrival(const UnansweredStart& start) const;
  // Finds the unanswered starts that earlier leaders recorded.
  void LoadUnansweredStarts();
  // Drops the records of orders that are too old to be carried out and whose
  // tasks have later runs, so that no later leader waits for them.
  void DropPastUnansweredStarts(Now now);
  // Returns whether the order was carried out late and that run of the task
  // `id` still has to end.
  bool HasRunOfUnansweredStart(const TaskId& id, const TaskState& task);
  // Returns the only worker that may start a task with an unanswered start: the
  // one that the order was sent to, since it drops the order once it has
  // received a later run. Returns null if there is none.
  Worker* WorkerOfUnansweredStart(const ReadyStep& ready, const TaskState& task,
                                  Now now);

  // job_scheduler_recovery.cc
  // Returns after how long a lease that starts now has expired, even on the
  // slowest clock.
  absl::Duration MaxLeaseDuration() const;
  // Returns by when the last lease that an earlier leader may have granted to
  // the worker has expired.
  absl::Time EarlierLeaseEnd(const Worker& worker) const;
  // Returns whether the worker can have no run that this leader does not know
  // of.
  bool IsAccountedFor(const Worker& worker, Now now) const;
  // Returns whether all workers are accounted for.
  bool AllAccountedFor(Now now) const;
  // Returns whether a worker that is not accounted for was last used by a
  // leader that recorded no placements.
  bool PlacementsMayBeMissing(Now now) const;
  UnobservedTasks FindUnobserved(Now now) const;
  // Returns whether this leader has not observed the recovered task and a
  // worker that is not accounted for may run it, or may have failed it for the
  // last time.
  bool WaitsForEarlierLease(const ReadyStep& ready, const TaskState& task,
                            Now now) const;
  // Counts the tasks of a step that wait for leases of earlier leaders.
  void CountWaitingForRecovery(const ReadyStep& ready, Now now);
  // Logs which recovered tasks wait, for which workers, and how long at most.
  void LogRecoveryWait(Now now);

  // job_scheduler_runs.cc
  // Processes an end of a run on the worker and remembers it until it is
  // durable. Returns false if it was processed before.
  bool ProcessEnd(Worker& worker, const EndedTask& end, EndSource source,
                  Now now);
  void OnRunEnded(Worker& worker, const EndedTask& end, EndSource source,
                  Now now);
  // Returns when a long-running task may start again, and counts short runs.
  absl::Time RestartTime(const Worker& worker, TaskState& task,
                         const EndedTask& end, Now now);
  // May drop the round of the task.
  void OnTaskDone(const FoundTask& found, const LearnedEnd& learned, Now now);
  void OnTaskFailed(Worker& worker, const FoundTask& found,
                    const EndedTask& end, Now now);
  // Ends jobs with a task that has used all its attempts. The configuration
  // that is in force now decides, because a failure may have been reported
  // before the queue was known.
  void FailExhaustedJobs(Now now);
  const Queue* FindQueue(const Job& job) const;  // Null if unknown.
  void OnRunReported(Worker& worker, const RunningTask& running, Now now);
  // Assigns a run that this leader did not start to its task. Returns false if
  // the task does not need it.
  bool AdoptRun(const Worker& worker, const FoundTask& found,
                const RunningTask& running, Now now);
  // Gives up the runs that a worker's report does not contain although it would
  // if they were there.
  void GiveUpMissingRuns(Worker& worker, const ObserveReply& reply,
                         absl::Time sent, Now now);

  // job_scheduler_durations.cc
  // Returns whether ends in the report requested at `sent` may be old.
  bool MayReportEndsLate(const Worker& worker, absl::Time sent) const;
  // Learns from the end of a run that makes a task done for the first time.
  void LearnDuration(const Worker& worker, const FoundTask& found,
                     const EndedTask& end, Now now);
  // Returns how long the run took, or of a gang that of all its members, or
  // nullopt if that is not known well.
  std::optional<absl::Duration> MeasureRun(const Worker& worker,
                                           const FoundTask& found,
                                           const EndedTask& end, Now now) const;

  // job_scheduler_placement.cc
  void PlaceAll(Now now);
  std::vector<ReadyStep> CollectReadySteps(Now now);
  // Reports the backlog and the starts since the last pass to the admission
  // control.
  void ReportBacklog(const std::vector<ReadyStep>& ready, Now now);
  void ReportWaitingWork(const std::vector<ReadyStep>& ready, int64_t started,
                         Now now);
  // Returns whether the placement pass that begins leaves late steps to a later
  // one.
  bool DefersLateSteps(Now now) const;
  // Counts the placement pass, and schedules the next one that examines late
  // steps.
  void CountPlacementPass(const std::vector<ReadyStep>& ready, Now now);
  // Counts what the pass had too little of.
  void CountWhatRanOut();
  // Records for the passes that defer late steps which jobs they may skip.
  void RecordDeferredJobs(const std::vector<ReadyStep>& ready);
  // Returns how many tasks the pass may start.
  int32_t StartLimit(Now now) const;
  // Returns how many searches for advice candidates the pass may make.
  int32_t AdviceSearchLimit(Now now) const;
  void PlaceSingleTasks(ReadyStep& ready, Now now);
  // Starts at most `may_start` waiting tasks: the suspects if `suspects`, else
  // the others. Returns false if no more tasks of the step can start in this
  // pass.
  bool PlaceTasks(ReadyStep& ready, bool suspects,
                  const std::vector<Worker*>& usable, WorkerQuota& quota,
                  int32_t* may_start, Now now);
  // Returns whether one of the workers has capacity for a task of the step and
  // only lacks a slot in its start window. Such workers cause a placement pass
  // once they have one.
  bool WaitsForStartSlot(ReadyStep& ready, const std::vector<Worker*>& usable,
                         const WorkerQuota& quota, Now now);
  // Returns the best worker with capacity for the task, or null if there is
  // none. With `probe`, prefers the worker where a crash would lose the least.
  Worker* FindBestWorker(const ReadyStep& ready, const TaskState& task,
                         bool probe, const std::vector<Worker*>& usable,
                         const WorkerQuota& quota, Now now) const;
  // Returns the workers that may run the step now, with a ticket where one is
  // needed.
  std::vector<Worker*> FindUsableWorkers(const ReadyStep& ready, Now now);
  void StartTask(ReadyStep& ready, int32_t index, int32_t run, Worker& worker,
                 Now now);
  // Returns whether the worker may be assigned tasks of the step now, apart
  // from tickets and free capacity.
  bool MayRun(const Worker& worker, const ReadyStep& ready, Now now);
  int32_t CountFittingTasks(const Worker& worker, const ReadyStep& ready,
                            const Resources& free_capacity) const;
  int32_t CountPlacedTasks(const Worker& worker, const ReadyStep& ready) const;
  // Records and logs why the step cannot start.
  void RecordBlocked(ReadyStep& ready, const char* why);
  // Reserves capacity for a blocked step if the limits on reserving steps allow
  // it.
  void MaybeReserveCapacity(ReadyStep& step, ReservingSteps& kept, Now now);
  // Requests advice for a blocked step unless other requests already cover the
  // free capacity of the pool.
  void MaybeAskAdvice(ReadyStep& step, const PoolCapacity& pool, Now now);

  // job_scheduler_search.cc
  // Calls `visit` for workers until it returns false. On a large site only a
  // part of the workers is visited, zone by zone, beginning after those of the
  // last call.
  void VisitWorkers(absl::FunctionRef<bool(Worker&)> visit);
  // Like VisitWorkers(), but visits the workers that are known to be eligible
  // in any case.
  void VisitAdviceCandidates(const StepAdvice& advice,
                             absl::FunctionRef<bool(Worker&)> visit);
  // Returns the workers that may run the step now, tickets aside: all of them,
  // or on a large site a part that has enough free capacity.
  std::vector<Worker*> FindAllUsableWorkers(const ReadyStep& ready, Now now);
  std::vector<Worker*> SampleUsableWorkers(const ReadyStep& ready, Now now);
  // Replaces the worker's record and indexes the worker by it.
  void SetRecord(Worker& worker, const WorkerRecord& record);
  void RemoveFromMachine(Worker& worker);
  // Observes the other workers that are recorded at the machine of `found`.
  void ObserveOthersAtMachine(const Worker& found, Now now);
  // Returns the workers that are known to be eligible, ordered by id.
  std::vector<Worker*> FindKnownWorkers(const StepAdvice& advice);
  // Call this whenever the worker's pool, capacity or free capacity changed.
  void CountCapacity(Worker& worker);
  // Returns the capacity of each pool, by pool name.
  std::map<std::string, PoolCapacity> FindPoolCapacity() const;

  // job_scheduler_placement.cc
  // Returns whether the task waits and no retry delay, earlier lease or
  // unanswered order forbids starting it now.
  bool MayStart(const ReadyStep& ready, const TaskState& task, Now now);
  // Returns whether tasks of a long-running step have been down for longer than
  // is tolerated, or have stopped to be moved.
  bool IsDown(const ReadyStep& ready, Now now);
  // Returns the number of tasks of a long-running step that will start again
  // soon, when the lease of their unresponsive worker expires.
  int32_t CountTasksOnExpiringLeases(const StepSpec& spec,
                                     const StepState& step, Now now) const;

  // job_scheduler_accounts.cc
  // Counts a new allocation against the maximum of its job's client account,
  // and in the service rate of the site.
  void CountForAccount(const Worker& worker, const TaskId& task,
                       Allocation& allocation);
  // Recomputes what accounts may have running unknown to this leader: runs of
  // earlier leaders on workers that are not accounted for, and starts without
  // an answer.
  void CountPossibleRuns(Now now);
  void CountPossibleRunsOf(const Job& job, Now now);
  // Counts the waiting tasks of each account, for metrics.
  void CountWaitingOfAccounts(const std::vector<ReadyStep>& ready);
  ResourceTotals SiteCapacity() const;
  // Finds the accounts that exceed their share, and marks their steps.
  void MarkStepsOverShare(std::vector<ReadyStep>& ready, Now now);
  // Limits the tasks of the step that may start to what its client account may
  // have running. Returns false, and records why, if none may start.
  bool LimitToAccount(ReadyStep& ready);

  // job_scheduler_waiting.cc
  struct WaitingCapacity;
  WaitingCapacity FindWaitingCapacity(const ReadyStep& ready, Now now) const;
  // Logs some of the steps that have waited for long, at most once per
  // interval.
  void ExplainWaiting(const std::vector<ReadyStep>& ready, Now now);

  // job_scheduler_pending_starts.cc
  // Records the placement and sends the order once the placement is durable.
  void StartOnceDurable(Job& job, TaskState& task, StartAction action);
  // Sends the orders whose placements are durable.
  void SendPendingStarts(Now now);
  // Records that `worker` was found to run the task, or, if `worker` is empty,
  // that nothing runs it any more.
  void RecordPlacement(Job& job, const TaskId& task, const std::string& worker);
  // Moves all placements on the worker `from` to `to`, or clears them if `to`
  // is empty.
  void MovePlacements(const std::string& from, const std::string& to);
  // Starts to record placements of recovered jobs whose last leader did not,
  // once no unobserved run of these jobs can exist.
  void AdoptPlacements();

  // job_scheduler_gangs.cc
  void PlaceGang(ReadyStep& ready, Now now);
  // Places the remaining members of a partly placed gang, or stops the placed
  // ones. Returns false if no member is placed.
  bool CompleteGang(ReadyStep& ready, Now now);
  // Stops the runs of all members of the gang that `member` belongs to.
  void StopGang(const TaskId& member, const StepState& gang);

  // job_scheduler_reservations.cc
  struct ReservationOption;
  // Reserves capacity for a blocked step ahead of all steps ordered after it,
  // where capacity becomes free soonest, and preempts less urgent runs for it.
  void ReserveCapacity(ReadyStep& ready, Now now);
  // Returns the workers that may run the step once they have capacity.
  std::vector<Worker*> FindWorkersToReserve(const ReadyStep& ready, Now now);
  std::vector<ReservationOption> FindReservationOptions(const ReadyStep& ready,
                                                        Now now);
  void AddPreemptibleRuns(const ReadyStep& ready, ReservationOption& option,
                          Now now);
  // Records whether and until when the run may be preempted.
  void UpdatePreemptibility(Allocation& allocation, const TaskId& task,
                            Now now);
  // Returns the cost of preempting the run for `ready`, or nullopt if the run
  // may not be preempted.
  std::optional<double> PreemptionCost(const Worker& worker,
                                       const Allocation& allocation,
                                       const ReadyStep& ready, Now now) const;
  void MarkStopping(Worker& worker, Allocation& allocation);
  void Preempt(Worker& worker, const RunKey& key, const ReadyStep& ready);
  void ReserveOnWorker(Worker& worker, int32_t tasks, ReadyStep& ready);
  // Reserves free capacity for a whole gang. Returns false, and reserves
  // nothing, if the gang does not fit.
  bool ReserveFreeCapacity(ReadyStep& ready, Now now);
  // Reserves capacity that is free, is being freed by stops in progress, or is
  // made by preemption. Returns the number of tasks covered.
  int32_t ReserveUpcomingCapacity(ReadyStep& ready,
                                  std::vector<ReservationOption>& options,
                                  Now now);
  // Reserves capacity for `tasks` tasks, without preemption, on the workers
  // with the most free capacity.
  void ReserveOnLeastUsedWorkers(ReadyStep& ready, int32_t tasks,
                                 std::vector<ReservationOption>& options);
  // Returns the share of a worker that one task of the step needs.
  static double TaskShareOfWorker(
      const ReadyStep& ready, const std::vector<ReservationOption>& options);
  // Renews the reservations of the last search.
  void RenewReservation(ReadyStep& ready);

  // job_scheduler_advice.cc
  // Returns whether the ticket is still valid when an order that is sent now
  // arrives.
  static bool IsTicketValid(const StepAdvice::Ticket& ticket, Now now);
  bool HasTicket(const Worker& worker, const ReadyStep& ready, Now now) const;
  // Returns whether the step has a ticket of the worker that will still be
  // valid when the answer to an advice request sent now arrives.
  bool HasTicketBeyondNextCall(const Worker& worker, const ReadyStep& ready,
                               Now now) const;
  // A worker that an advice call for a step may name.
  struct AdviceCandidate;
  // Returns how many workers an advice call for the queue names even if fewer
  // would suffice, because naming them costs little. 0: the call names no more
  // than needed.
  size_t CheapNameCount(const Queue& queue) const;
  // Returns whether the step has reserved capacity on a worker for which its
  // ticket expires soon.
  bool ReservedTicketExpires(const ReadyStep& ready, Now now) const;
  // Returns how many workers with free capacity a search for advice looks for.
  // `margin` is how many times the waiting tasks the call should cover.
  size_t EnoughCandidates(const ReadyStep& ready, double margin,
                          size_t cheap_count) const;
  // Returns the learned share of workers that may run a step of the queue.
  double EligibleShare(const Queue& queue) const;
  // A worker that an advice call names.
  struct NamedWorker {
    Worker* worker;
    // CPU, in thousandths of a processor, that the step expects to use there.
    int32_t expected_cpu_milli;
  };
  // Makes one advice call. Returns false if no adviser is free.
  bool AskAdvice(ReadyStep& ready, const NamedWorker* named, size_t count,
                 Now now);
  // Makes as many concurrent advice calls as are needed to name all of `named`,
  // at most `max_calls`.
  void AskAdvice(ReadyStep& ready, const std::vector<NamedWorker>& named,
                 size_t max_calls, Now now);
  // Undoes the expected use of workers that an answered call had named.
  void ReleaseExpectedUse(const AskAdviceAction& action);
  // Returns the free capacity of a worker that is not reserved.
  static Resources UnreservedCapacity(const Worker& worker) {
    return worker.free - worker.reserved.amount();
  }
  // Returns the free capacity of a worker that is neither reserved nor expected
  // to be used by pending advice calls.
  static Resources UnclaimedCapacity(const Worker& worker);
  void EnsureSingleTaskAdvice(ReadyStep& ready, Now now);
  void EnsureGangAdvice(ReadyStep& ready, Now now);
  struct GangAdviceWorkers;
  // Workers that advice calls for a gang may name. Of the workers on which a
  // task fits now, those with capacity reserved for the gang come first, then
  // those with the most free capacity.
  struct GangCandidates {
    std::vector<AdviceCandidate> eligible;  // Known to be eligible.
    std::vector<AdviceCandidate> unknown;
    // Tasks that fit on the eligible workers now, and when nothing else runs
    // there.
    int32_t eligible_fits = 0;
    int32_t eligible_fits_when_empty = 0;
  };
  GangCandidates FindGangCandidates(const ReadyStep& ready, Now now);
  Adviser* FindFreeAdviser(double cost_ms, Now now);
  // Returns how many further advice calls gangs may have in progress in
  // addition to the first call of each gang.
  size_t ExtraGangCallsLeft(const std::vector<ReadyStep>& ready) const;
  // Returns the interval between two candidate searches of a step.
  absl::Duration AdviceSearchInterval() const;
  void OnAdviceFor(const FoundTask& found, const AskAdviceAction& action,
                   const AdviceReply& reply, Now now);
  // Returns whether the step may search for advice candidates now, and counts
  // the search.
  bool TryTakeAdviceSearch(const ReadyStep& ready, Now now);

  const Options options_;
  const int64_t epoch_;
  JobTable jobs_;
  std::map<JobId, Job*> active_;  // The jobs that have not ended.
  // By the id of the incarnation.
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  // The highest fence, by the name of the worker.
  std::map<std::string, int64_t> fences_;
  // When this leader last learned that a worker restarted under its name.
  absl::Time last_restart_seen_ = absl::InfinitePast();
  // The tasks with a start that may be unanswered. Contains all such tasks.
  std::set<TaskId> unanswered_starts_;
  std::shared_ptr<const SiteConfiguration> configuration_;
  AccountLedger accounts_;
  EarlyCancels early_cancels_;
  JobTimings job_timings_;
  std::vector<Adviser> advisers_;
  // By queue: the learned share of workers that may run its steps.
  absl::flat_hash_map<std::string, double> eligible_share_;
  std::vector<Action> actions_;
  int64_t last_call_ = 0;  // See OpenCall().

  int64_t next_batch_ = 1;
  int64_t durable_batch_ = 0;
  absl::Time confirmed_at_ = absl::InfiniteFuture();  // See OnConfirmed().
  bool batch_needed_ = false;
  std::set<std::string> unpersisted_workers_;
  std::set<JobId> undescribed_jobs_;
  std::set<JobId> dirty_jobs_;
  std::vector<std::string> keys_to_drop_;
  // An order that waits until the batch with its placement is durable.
  struct PendingStart {
    int64_t batch;
    StartAction action;
  };
  std::deque<PendingStart> pending_starts_;
  // The crashes of the last minute, oldest first.
  std::deque<PastCrash> recent_crashes_;
  // The losses since the last call of ReviseAttributions().
  std::vector<absl::Time> unrevised_losses_;
  // The workers with a `failing_since`.
  absl::flat_hash_set<Worker*> failing_workers_;
  std::map<std::string, UnresponsiveLoss> unresponsive_losses_;  // By machine.
  // A worker to which an earlier leader may have assigned tasks has crashed
  // under this leader.
  bool unobserved_worker_crashed_ = false;
  // Number of starts that were recorded because of such a crash.
  int unobserved_starts_recorded_ = 0;
  // By worker: recovered tasks whose run there may have crashed the worker.
  std::map<std::string, std::vector<TaskId>> crash_suspects_;
  bool placements_adopted_ = false;

  AnswerTimes answer_times_{AnswerTimes::Options()};
  Admission admission_{Admission::Options()};
  WorkAdmission work_admission_{WorkAdmission::Options()};
  int64_t starts_at_last_pass_ = 0;
  EarlierOrders earlier_orders_;
  // As of the last placement pass.
  RecoveryWait recovery_wait_;
  UnobservedTasks unobserved_;
  bool recovery_wait_logged_ = false;
  absl::Time next_recovery_log_ = absl::InfinitePast();
  absl::Time next_waiting_log_ = absl::InfinitePast();
  bool fenced_ = false;
  bool suspended_ = false;
  absl::Duration lag_;
  // What the current placement pass may still do.
  int32_t starts_left_ = 0;
  int32_t advice_searches_left_ = 0;
  int32_t gang_searches_left_ = 0;    // Part of `advice_searches_left_`.
  size_t concurrent_calls_left_ = 0;  // See ExtraGangCallsLeft.
  // In the current placement pass, no adviser can take another short call, or
  // another long one.
  bool short_advisers_busy_ = false;
  bool long_advisers_busy_ = false;
  size_t ready_steps_ = 0;  // Steps in the current placement pass.
  // The site has a backlog (see `kBacklogMinSteps`): no run is preempted, and
  // of the steps of single tasks only those that are down reserve capacity.
  bool backlogged_ = false;
  // Workers to check before the next sweep.
  std::vector<Worker*> scheduled_checks_;
  CapacityReservations reservations_;
  TaskMoves moves_;
  // The workers by availability zone and id, and the key of the one that the
  // next search begins with; see VisitWorkers().
  using SearchKey = std::pair<std::string, std::string>;
  absl::btree_map<SearchKey, Worker*> search_order_;
  SearchKey search_cursor_;
  PoolTotals pool_totals_;
  // Zones whose workers, or whose advisers, leave calls unanswered.
  ZoneSilence worker_silence_{ZoneSilence::Options()};
  ZoneSilence adviser_silence_{ZoneSilence::Options()};
  // By the machine in its record: the workers that were found there.
  absl::flat_hash_map<std::string, std::vector<Worker*>> by_machine_;
  // Workers with ends that are not durable yet.
  std::vector<Worker*> workers_with_unacknowledged_ends_;
  absl::Time next_sweep_ = absl::InfinitePast();
  LogRateLimiter unobserved_log_limiter_;
  LogRateLimiter ignored_answer_log_limiter_;
  bool placement_wanted_ = false;
  // A queue may have become known, or its limit of attempts may have changed.
  bool attempts_unchecked_ = true;
  absl::Time no_placement_before_ = absl::InfinitePast();
  absl::Time next_late_pass_ = absl::InfinitePast();
  absl::Time last_late_pass_ = absl::InfinitePast();
  absl::Time last_pass_ = absl::InfinitePast();
  int64_t late_steps_ = 0;  // As of the last pass that examined late steps.
  // Steps that the current pass has skipped with their jobs, and the accounts
  // of these jobs.
  size_t skipped_steps_ = 0;
  absl::flat_hash_set<AccountId> skipped_accounts_;
  // The current placement pass leaves late steps to a later one.
  bool late_steps_deferred_ = false;
  // The last tick made a placement pass.
  bool tick_had_placement_pass_ = false;
  absl::Time next_placement_ = absl::InfinitePast();
  absl::Time next_housekeeping_ = absl::InfinitePast();
  absl::Time next_rounds_ = absl::InfinitePast();
  Figures figures_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_JOB_SCHEDULER_H_
