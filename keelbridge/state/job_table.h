// The jobs of a site, their progress, and the records that persist them.
//
// Each job has two records: a description, written once, and a progress record,
// rewritten whenever something happens that a later leader must know: a run's
// end was acknowledged, the job was cancelled, or the job ended. The store
// takes only records up to some size, so the progress of a large job is kept in
// further records, its parts. Placements are
// not recorded, because the workers report what they run. The exception is
// long-running tasks: there are few of them, and without a recorded placement a
// later leader would have to wait for the lease of every unresponsive worker to
// expire before it could start such a task again.
//
//   Job job(id, "restore", spec, accepted_ms);
//   Record record = DescriptionRecord(job);
//
//   // In a process that starts:
//   JobRecords records;
//   records.Add(record);
//   JobTable jobs = records.Build();

#ifndef KEELBRIDGE_STATE_JOB_TABLE_H_
#define KEELBRIDGE_STATE_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/state/earlier_knowledge.h"
#include "keelbridge/state/leader_time.h"

namespace keelbridge {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* JobStateName(JobState state);

enum class TaskPhase {
  kWaiting,   // Assigned to no worker.
  kStarting,  // The start order was sent and is not answered yet.
  // The start order was not answered: the task may run, or may start later.
  kUncertain,
  kRunning,
  kStopping,  // Still occupies its capacity.
  kDone,
};

// A run whose worker crashed.
struct CrashedRun {
  int32_t run = 0;
  // From the run's start to the first sign of the crash.
  int64_t ran_ms = 0;
  // Probability that a sound task loses its worker within `ran_ms` by chance.
  double chance = 0;
  // The worker had confirmed that the run started.
  bool begun = false;
  std::string machine;  // The machine of the worker; empty if it is unknown.
};

// A run that may be about to crash its worker, or whose worker stopped
// responding soon after the run started. It is persisted, so that a later
// leader that finds another incarnation of the worker on the machine knows what
// ran there.
struct CrashSuspect {
  std::string worker;  // Empty if there is no such run.
  int32_t run = 0;
  int64_t since_ms = 0;  // Wall clock time at which the start was ordered.
  // How long the run lasted before its worker stopped responding; -1 if the
  // worker still responds.
  int64_t ran_ms = -1;
  // The worker had confirmed that the run started.
  bool begun = false;
};

// A start order that its worker has not answered. The worker may still execute
// it late, in whatever incarnation it then has.
struct UnansweredStart {
  // Name of the worker, without an incarnation. Empty if there is no such
  // order.
  std::string worker;
  int32_t run = 0;
  // Latest time at which the order may arrive, on the clock of the leader that
  // sent it. Absent in records of earlier versions: a later leader then derives
  // it from the time by which that leader must have stopped.
  std::optional<LeaderTime> may_arrive_until{};
};

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  int32_t run = 0;  // The latest run that was ordered; 0 if there is none.
  // The runs that failed. They are listed rather than counted, because a later
  // leader receives reports of the same end again, and of ends on several
  // workers in any order. A gang keeps them at its first task.
  std::vector<int32_t> failed_runs;
  // Consecutive crashes of workers during runs of this task. A run that lasts
  // long enough clears them. A gang keeps them at its first task.
  std::vector<CrashedRun> crashes;
  CrashSuspect crash_suspect;
  UnansweredStart unanswered;
  // This leader started the task or found it running.
  bool observed = false;
  // The latest run of an earlier leader that this leader found running; 0 if
  // there is none. A gang keeps it at its first task.
  int32_t adopted_run = 0;
  std::string worker;     // The worker that the task is assigned to, if any.
  std::string failed_on;  // The worker of the latest failure.
  // For a task of a job with persisted placements: the only worker that may run
  // the task, or empty if none does. Made durable before the start order is
  // sent.
  std::string placed_on;
  std::string checkpoint;
  absl::Time retry_at = absl::InfinitePast();
  int32_t preemptions = 0;  // How often the task was preempted.
  // The latest runs of a long-running task that ended by themselves soon after
  // their start, without a longer one in between.
  int32_t short_runs = 0;
};

// What the advice service has answered so far on which workers may run a step.
struct StepAdvice {
  int32_t calls_in_flight = 0;
  absl::Time next_ask_at = absl::InfinitePast();
  int32_t ask_count = 0;  // Searches for advice, each of one or more calls.
  // Workers that the service was asked about -> whether they may run the step.
  absl::flat_hash_map<std::string, bool> known;
  struct Ticket {
    std::string ticket;
    absl::Time expires;
  };
  absl::flat_hash_map<std::string, Ticket> tickets;
};

struct StepState {
  std::vector<TaskState> tasks;
  int32_t done = 0;
  StepAdvice advice;
  absl::Time ready_since = absl::InfiniteFuture();
  absl::Time gang_started = absl::InfinitePast();
  // The latest run of a gang under this leader, and the workers that it was
  // assigned to. They count after its members have ended, too.
  int32_t gang_run = 0;
  std::set<std::string> gang_workers;
  // Workers on which capacity is reserved, each with the number of tasks of
  // this step that the reservation is for.
  std::vector<std::pair<std::string, int32_t>> reserved;
  // When the reservations are next reconsidered.
  absl::Time next_reservation_at = absl::InfinitePast();
  EarlierKnowledge earlier_knowledge;
  // A worker crashed soon after it was assigned a task of this step. The step's
  // tasks then start one at a time until one of them has run for a while.
  bool suspected = false;
  // At least one task of the step has recorded crashes.
  bool crashed = false;
  // Nothing of the step starts before this time. Set for a long-running step
  // with a task that seems to crash its workers while others are at work.
  absl::Time paused_until = absl::InfinitePast();
  // Index of the task that was started to find out whether the step's tasks
  // crash workers; -1 if there is none.
  int32_t probe_task = -1;
  absl::Time probe_ends_at = absl::InfinitePast();
  // A task of the step has run for a while or is done, so the step's tasks do
  // not crash every worker that they are assigned to.
  bool proven = false;
  // Why no task of the step started at the latest attempt.
  std::string blocked_reason;
};

struct Round {
  int32_t number = 0;
  // False if it is not due yet by the clock of this leader, but a run of it was
  // reported, which an earlier leader has started.
  bool due = true;
  std::vector<StepState> steps;
};

struct FoundTask;

struct Job {
  Job(JobId id_in, std::string queue_in, JobSpec spec_in, int64_t accepted_in);

  const JobId id;
  std::string queue;
  // The client account that submitted the job; empty if there is none.
  std::string account;
  JobSpec spec;
  int64_t accepted_ms;  // Wall clock.
  // Epoch of the leader that accepted the job; 0 if it is unknown.
  int64_t accepted_epoch = 0;
  absl::Time accepted_at;    // Steady clock of this process.
  std::deque<Round> rounds;  // The rounds that are due and not done.
  int32_t rounds_done = 0;   // All lower-numbered rounds are done and dropped.
  bool begun = false;        // A task of the job has run.
  // Beyond what its client account was entitled to send when it arrived.
  bool excess = false;
  // As of the latest placement pass that examined all late steps: how many
  // tasks and steps of the job wait, if passes that defer late steps may skip
  // the whole job. `deferred_steps` is 0 if they may not.
  int32_t deferred_tasks = 0;
  int32_t deferred_steps = 0;
  bool recovered = false;  // Accepted under an earlier leader.
  // Accepted although it cannot be in time: it gives way to all work that was
  // accepted in time. A later leader goes by its age alone.
  bool admitted_late = false;
  // The progress record names the worker that each long-running task was
  // assigned to. False if the job's latest leader did not record placements.
  bool placements_persisted = false;
  JobState end = JobState::kQueued;  // kQueued: the job has not ended.
  int64_t ended_ms = 0;              // Wall clock.
  absl::Time ended_at;               // Steady clock of this process.
  std::string end_reason;            // Why the job ended, for the log.
  int64_t description_batch = 0;     // The batch that holds the description.
  int64_t end_batch = 0;             // The batch that holds the end.
  // By key: a hash of each part of the progress that the store holds. Empty
  // while one record holds all progress; see `ProgressRecords`.
  std::map<std::string, uint64_t> stored_parts;

  bool Ended() const { return end != JobState::kQueued; }
  // Adds round `number`, with all its tasks waiting.
  Round& AddRound(int32_t number);
  Round* FindRound(int32_t number);
  // The number of the round after the last one in `rounds`.
  int32_t NextRound() const;
  // When the round is due, in milliseconds of the wall clock.
  int64_t DueTime(int32_t round) const;
  // Returns null if the task is not there: its round may be done and dropped,
  // or an earlier job of the same id may have had more steps.
  TaskState* FindTask(const TaskId& id);
  // Calls `visit` if the task is there, and returns whether it is.
  bool VisitTask(const TaskId& id,
                 absl::FunctionRef<void(const FoundTask&)> visit);
  // Whether all tasks of the steps that `step` depends on are done.
  bool StepReady(const Round& round, size_t step) const;
  bool RoundDone(const Round& round) const;
  // Whether any step of the job is long-running.
  bool HasLongRunningStep() const;
  // Whether the task is of a long-running step. Such a task is never done: it
  // starts again however its runs end, until the job is cancelled.
  bool IsLongRunning(const TaskId& id) const;
  // Whether the progress record names the workers on which tasks of `step` were
  // started.
  bool HasPersistedPlacements(size_t step) const;

 private:
  StepState* FindStep(const TaskId& id);
};

// A task that is there, with what it belongs to. Code that works on a task for
// which only an id was kept takes a FoundTask, so that the task was looked up.
// Not to be kept: it is valid until a round of the job is dropped.
struct FoundTask {
  TaskId id;
  Job& job;
  StepState& step;
  TaskState& task;
  const StepSpec& spec;

  // The task that keeps the failures and crashes of this one.
  TaskState& history() const { return spec.gang ? step.tasks.front() : task; }
};

// The jobs by id. The address of a job does not change.
using JobTable = std::map<JobId, std::unique_ptr<Job>>;

// Keys and values of the two records of a job.
std::string DescriptionKey(JobId id);
std::string ProgressKey(JobId id);
Record DescriptionRecord(const Job& job);
// The encoded size in bytes of the description of a job that is submitted.
size_t DescriptionSize(JobId id, const std::string& queue, const JobSpec& spec,
                       const std::string& account);
// The whole progress in one record, however large.
Record ProgressRecord(const Job& job);
// What has to be written for the progress of a job to be durable.
struct ProgressUpdate {
  std::vector<Record> records;  // To be written in this order.
  // Checkpoints that are too long to be kept.
  int64_t checkpoints_left_out = 0;
};
// Returns the progress as records of at most `max_record_bytes` each. Progress
// that takes more than half of that is kept in parts from then on, of which
// only those that have changed are written again. Counts the records as
// written.
ProgressUpdate ProgressRecords(Job& job, size_t max_record_bytes);
// The record that drops `key` from the store.
Record DropRecord(std::string key);

// Collects job records, in any order, and builds the jobs from them.
class JobRecords {
 public:
  // Adds one record. A record that cannot be read is counted, and only the id
  // of its job is kept.
  void Add(const Record& record);
  // Returns the jobs that the records describe, except those in
  // `unreadable_jobs()`, to which jobs with invalid records are added.
  JobTable Build();
  int64_t unreadable() const { return unreadable_; }
  const std::set<JobId>& unreadable_jobs() const { return unreadable_jobs_; }

 private:
  void RecordUnreadable(JobId id);
  void AddPart(const Record& record);
  // Adds the parts of its progress to the job. Returns false if one cannot be
  // read.
  bool ReadParts(Job* job) const;

  std::map<JobId, Json::Value> descriptions_;
  std::map<JobId, Json::Value> progress_;
  // By job and key: the encoded parts of the progress.
  std::map<JobId, std::map<std::string, std::string>> parts_;
  int64_t unreadable_ = 0;
  std::set<JobId> unreadable_jobs_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_JOB_TABLE_H_
