// What a client hands in: a job of steps of tasks, and how it is named.
//
//   JobSpec spec;
//   spec.steps.push_back(StepSpec{});
//   Json::Value text = ToJson(spec);  // The product's own form: store, peers.

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

// Limits on what one job may hold; a job over them is refused with a 4xx.
constexpr size_t kMaxSteps = 64;
constexpr int32_t kMaxTasksPerStep = 2000;
constexpr int32_t kMaxRounds = 10000;
constexpr size_t kMaxPayloadBytes = 4000;

// A job's id: 64 bits that its client chose.
using JobId = uint64_t;

// "5c0e7a21d94b36f8": 16 lower-case hex digits.
std::string JobIdText(JobId id);
// False when `text` is not 16 hex digits.
bool ParseJobId(const std::string& text, JobId* id);

// One task of one round of a job.
struct TaskId {
  JobId job = 0;
  int32_t round = 0;  // 0 for jobs that run once.
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

// "ID.ROUND.STEP.INDEX", as logs and workers name a task.
std::string TaskIdText(const TaskId& id);
bool ParseTaskId(const std::string& text, TaskId* id);

struct StepSpec {
  int32_t count = 1;           // Tasks, all alike.
  Resources need;              // Of each task.
  int64_t estimated_ms = 0;    // A client's rough guess of a task's time.
  std::vector<int32_t> after;  // Earlier steps whose tasks must be done.
  bool checkpoints = false;    // Its progress can be carried to a later run.
  bool gang = false;           // The tasks work only all together.
  bool same_rack = false;      // Slower when spread over racks.
  bool duplicates = false;     // Copies may run side by side.
  bool long_running = false;   // Runs until the job is cancelled.
  bool best_effort = false;    // Takes only what others leave unused.
  std::string label;           // Of the workers that may run it; "": all.
  std::string rack;            // Where the data lies; "": anywhere.
  int32_t max_per_worker = 0;  // 0: no bound.
  int32_t max_down_tasks = 0;  // Of a lasting step, tasks that may be away.
  int64_t target_ms = 0;       // Of a lasting step that serves users.
  std::string image;           // Tasks of one image behave alike.
};

// What one task takes of a worker's room: of one that fills, no processors.
inline Resources CapacityNeeded(const StepSpec& step) {
  Resources need = step.need;
  if (step.best_effort) need.cpu_milli = 0;
  return need;
}

struct JobSpec {
  std::string payload;  // Handed to every task as it is.
  std::vector<StepSpec> steps;
  int32_t rounds = 0;          // 0: runs once, at once.
  int64_t first_round_ms = 0;  // Wall clock, since 1970.
  int64_t round_interval_ms = 0;
};

// Why `spec` cannot be taken, naming step and field; success otherwise.
Result<void> CheckJobSpec(const JobSpec& spec);

// The product's own form, for the record store and between nodes.
Json::Value ToJson(const JobSpec& spec);
JobSpec JobSpecFromJson(const Json::Value& json);
// The same of a record that may have been spoilt: false when a member has
// another type or makes no sense.
bool ReadJobSpec(const Json::Value& json, JobSpec* spec);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_JOB_H_
