// The jobs of a site and how far they are, with the records that make them
// last.
//
// A job has two records: its description, written once, and its progress,
// written again whenever something happened that a later leader must know: an
// end that was taken note of, a cancel, how the job ended. What runs where is
// not recorded, since the workers know it, but for tasks that last: those are
// few, and without a placement a later leader waits for every silent worker's
// lease before it starts one again.
//
//   Job job(id, "restore", spec, accepted_ms);
//   Record record = DescriptionRecord(job);
//   ApplyJobRecord(record, &jobs);  // In a process that starts.

#ifndef KEELBRIDGE_STATE_JOB_TABLE_H_
#define KEELBRIDGE_STATE_JOB_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/record_store.h"

namespace keelbridge {

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
const char* JobStateName(JobState state);

enum class TaskPhase {
  kWaiting,    // Not on any worker.
  kStarting,   // The order is on its way.
  kUncertain,  // The order had no answer: it may run, or may start later.
  kRunning,
  kStopping,  // Still takes its room.
  kDone,
};

// A run whose worker crashed.
struct CrashedRun {
  int32_t run = 0;
  int64_t ran_ms = 0;  // From its start to the first sign of the crash.
  double chance = 0;   // That a sound task meets a crash in that time.
  bool begun = false;  // The worker had told of it.
};

// A run whose worker may be about to crash of it, or has fallen silent soon
// after its start. On record, so that a later leader that finds another life at
// the machine knows what ran there.
struct ExposedRun {
  std::string worker;  // Empty: none.
  int32_t run = 0;
  int64_t since_ms = 0;  // Wall clock: when it was ordered.
  int64_t ran_ms = -1;   // Until its worker fell silent; -1: it did not yet.
  bool begun = false;
};

// A start whose order its worker has not answered. The order may be carried out
// late, by whatever life the worker then has.
struct UnansweredStart {
  std::string worker;  // By its name, whichever life; empty: there is none.
  int32_t run = 0;
  // Of the leader that sent it: until when. A later leader reckons it by when
  // that one had to stop.
  absl::Time may_arrive_until = absl::InfinitePast();
};

struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  int32_t run = 0;  // The last run that was ordered; 0: none yet.
  // The runs that ended failed. Named, not counted: a later leader hears of the
  // same end again, and of ends on several workers in any order. A gang keeps
  // them at its first task.
  std::vector<int32_t> failed_runs;
  // Crashes under its runs, in a row: a run that goes on for long clears them.
  // A gang keeps them at its first task.
  std::vector<CrashedRun> crashes;
  ExposedRun exposed;
  UnansweredStart unanswered;
  bool observed = false;  // This leader started it or found it running.
  std::string worker;     // While it is on one.
  std::string failed_on;  // The worker of the last failure.
  // Of a task whose job keeps placements: the only worker that may run it. Kept
  // for good before the order leaves; empty: none runs it.
  std::string placed_on;
  std::string checkpoint;
  absl::Time retry_at = absl::InfinitePast();
  int32_t preemptions = 0;  // How often it made room for others.
};

// Which workers may run a step, as far as the advice service has told.
struct StepAdvice {
  int32_t calls_in_flight = 0;  // Calls under way.
  absl::Time next_ask_at = absl::InfinitePast();
  int32_t ask_count = 0;  // Times asked, in one or more calls.
  absl::flat_hash_map<std::string, bool> known;  // Worker -> may run it.
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
  // Workers where room is kept for so many tasks of it, and when that is looked
  // into again.
  std::vector<std::pair<std::string, int32_t>> reserved;
  absl::Time next_reservation_at = absl::InfinitePast();
  // A task of it was seen by this leader before it was done: no earlier leader
  // can have started what depends on it.
  bool observed_before_end = false;
  // A worker crashed soon after it was given a task of this step: its tasks
  // start one at a time until one has been at work for a while.
  bool suspected = false;
  bool crashed = false;     // A task of it has crashes on record.
  int32_t probe_task = -1;  // The task that was started to learn of that.
  absl::Time probe_ends_at = absl::InfinitePast();
  // A task of it was at work for a while, or done: its tasks are no danger to
  // all workers that they are given to.
  bool proven = false;
  std::string blocked_reason;  // Why nothing of it started at the last attempt.
};

struct Round {
  int32_t number = 0;
  std::vector<StepState> steps;
};

struct Job {
  Job(JobId id_in, std::string queue_in, JobSpec spec_in, int64_t accepted_in);

  const JobId id;
  std::string queue;
  JobSpec spec;
  int64_t accepted_ms;       // Wall clock.
  absl::Time accepted_at;    // Of this process's steady clock.
  std::deque<Round> rounds;  // Those that have fallen due.
  int32_t rounds_done = 0;   // All before this one are done and dropped.
  bool begun = false;        // A task of it has run.
  bool recovered = false;    // Was accepted under an earlier leader.
  // Its record tells which worker each task that lasts was given to. Not so for
  // a job whose last leader did not keep that.
  bool placements_persisted = false;
  JobState end = JobState::kQueued;  // kQueued: has not ended.
  int64_t ended_ms = 0;              // Wall clock.
  absl::Time ended_at;               // Of this process's steady clock.
  std::string failure;               // Why it failed, for explanations.
  int64_t description_batch = 0;     // The batch that holds the description.
  int64_t end_batch = 0;             // The batch that holds the end.

  bool Ended() const { return end != JobState::kQueued; }
  // Adds the round `number`, with all tasks waiting.
  Round& AddRound(int32_t number);
  Round* FindRound(int32_t number);
  StepState* FindStep(const TaskId& id);
  TaskState* FindTask(const TaskId& id);
  // Whether all tasks of the steps that `step` depends on are done.
  bool StepReady(const Round& round, size_t step) const;
  bool RoundDone(const Round& round) const;
  // Whether a task of it lasts.
  bool HasLongRunningStep() const;
  // Whether the record tells where tasks of `step` were started.
  bool HasPersistedPlacements(size_t step) const;
};

// The jobs by id. Stable addresses.
using JobTable = std::map<JobId, std::unique_ptr<Job>>;

// How much of a job's description and progress is kept in which record.
std::string DescriptionKey(JobId id);
std::string ProgressKey(JobId id);
Record DescriptionRecord(const Job& job);
Record ProgressRecord(const Job& job);
Record DropRecord(std::string key);

// Records in any order, before `BuildJobs`.
class JobRecords {
 public:
  // Takes one record; one that cannot be read is counted, and its job is known
  // by its id only.
  void Add(const Record& record);
  // The jobs that the records describe, but for those in `unreadable_jobs`,
  // which grow by those whose records make no sense.
  JobTable Build();
  int64_t unreadable() const { return unreadable_; }
  const std::set<JobId>& unreadable_jobs() const { return unreadable_jobs_; }

 private:
  void RecordUnreadable(JobId id);

  std::map<JobId, Json::Value> descriptions_;
  std::map<JobId, Json::Value> progress_;
  int64_t unreadable_ = 0;
  std::set<JobId> unreadable_jobs_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_JOB_TABLE_H_
