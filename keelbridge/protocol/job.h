// The specification of a job, which consists of steps of tasks, and the ids of
// jobs and tasks.
//
//   JobSpec spec;
//   spec.steps.push_back(StepSpec{});
//   Json::Value json = ToJson(spec);  // For the record store and for peers.

#ifndef KEELBRIDGE_PROTOCOL_JOB_H_
#define KEELBRIDGE_PROTOCOL_JOB_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "keelbridge/base/result.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// Limits on one job. A job that exceeds them is refused with a 4xx status.
constexpr size_t kMaxSteps = 64;
constexpr int32_t kMaxTasksPerStep = 2000;
constexpr int32_t kMaxRounds = 10000;
constexpr size_t kMaxPayloadBytes = 4000;

// The id of a job: 64 bits chosen by its client.
using JobId = uint64_t;

// Returns 16 lower-case hex digits, for example "5c0e7a21d94b36f8".
std::string JobIdText(JobId id);
// Returns false if `text` is not 16 hex digits.
bool ParseJobId(const std::string& text, JobId* id);

// One task of one round of a job.
struct TaskId {
  JobId job = 0;
  int32_t round = 0;  // 0 for a job that runs once.
  int32_t step = 0;
  int32_t index = 0;

  friend bool operator==(const TaskId& a, const TaskId& b) {
    return a.job == b.job && a.round == b.round && a.step == b.step &&
           a.index == b.index;
  }
  friend bool operator!=(const TaskId& a, const TaskId& b) { return !(a == b); }
  friend bool operator<(const TaskId& a, const TaskId& b) {
    return std::tie(a.job, a.round, a.step, a.index) <
           std::tie(b.job, b.round, b.step, b.index);
  }
  template <typename H>
  friend H AbslHashValue(H h, const TaskId& t) {
    return H::combine(std::move(h), t.job, t.round, t.step, t.index);
  }
};

// Returns "ID.ROUND.STEP.INDEX", which logs and workers use to name a task.
std::string TaskIdText(const TaskId& id);
bool ParseTaskId(const std::string& text, TaskId* id);

struct StepSpec {
  int32_t count = 1;  // Number of tasks, which are all alike.
  // What the client asks for each task. `CapacityNeeded` says what of it a run
  // occupies, and `AccountCharge` what counts for its client account.
  Resources requested;
  int64_t estimated_ms = 0;    // The client's rough estimate of a task's time.
  std::vector<int32_t> after;  // Earlier steps whose tasks must be done first.
  bool checkpoints = false;    // A later run can continue from saved progress.
  bool gang = false;           // All tasks must run at the same time.
  bool same_rack = false;      // Slower if the tasks run in several racks.
  bool duplicates = false;     // Copies of a task may run concurrently.
  bool long_running = false;   // Runs until the job is cancelled.
  bool best_effort = false;    // Uses only processor time that others leave.
  std::string label;           // Required label of a worker; "": none.
  std::string rack;            // The rack that holds the data; "": any.
  int32_t max_per_worker = 0;  // 0: no limit.
  int32_t max_down_tasks = 0;  // Tasks of a long-running step that may be down.
  int64_t target_ms = 0;       // Latency target of a long-running service.
  std::string image;           // Tasks with the same image behave alike.
};

// Returns the capacity that one task of `step` occupies on a worker. A
// best-effort task occupies no processor time.
inline Resources CapacityNeeded(const StepSpec& step) {
  Resources need = step.requested;
  if (step.best_effort) need.cpu_milli = 0;
  return need;
}

// Returns what one running task of `step` counts for in the use, the maximum
// and the share of its client account. The processor time that a best-effort
// task may use counts too: the account may have it running.
inline const Resources& AccountCharge(const StepSpec& step) {
  return step.requested;
}

struct JobSpec {
  std::string payload;  // Passed to every task unchanged.
  std::vector<StepSpec> steps;
  int32_t rounds = 0;          // 0: runs once, immediately.
  int64_t first_round_ms = 0;  // Wall clock, since 1970 (Unix time).
  int64_t round_interval_ms = 0;
};

// Returns an error that names the step and field if `spec` is not acceptable.
Result<void> CheckJobSpec(const JobSpec& spec);

// The encoding for the record store and between nodes.
Json::Value ToJson(const JobSpec& spec);
JobSpec JobSpecFromJson(const Json::Value& json);
// Reads a specification that may be corrupt. Returns false if a member has the
// wrong type or an invalid value.
bool ReadJobSpec(const Json::Value& json, JobSpec* spec);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_JOB_H_
