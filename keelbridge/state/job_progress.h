// The encoding of the progress of a job's rounds in records.
//
// The progress of a round is one JSON object, or, where that would be larger
// than the store takes, one object for each range of its tasks. See
// `ProgressRecords` in `job_table.h`.
//
//   value["rounds"].append(RoundToJson(job, round));
//   if (!ReadRound(value["rounds"][0], &recovered)) ...

#ifndef KEELBRIDGE_STATE_JOB_PROGRESS_H_
#define KEELBRIDGE_STATE_JOB_PROGRESS_H_

#include <json/json.h>

#include <cstddef>
#include <cstdint>

#include "keelbridge/state/job_table.h"

namespace keelbridge {

// The tasks from `begin` up to but not including `end` of a step.
struct TaskRange {
  size_t step = 0;
  size_t begin = 0;
  size_t end = 0;
};

Json::Value RoundToJson(const Job& job, const Round& round);
// Adds the round that `in` describes to `job`. Returns false if it cannot be
// read: if it were taken for a round without progress, its tasks would run
// again.
bool ReadRound(const Json::Value& in, Job* job);

// Returns the progress of the tasks `range`: an empty object if there is none.
// Adds to `checkpoints_left_out` how many checkpoints are longer than
// `max_checkpoint_bytes` and were left out.
Json::Value TasksToJson(const Job& job, const Round& round,
                        const TaskRange& range, size_t max_checkpoint_bytes,
                        int64_t* checkpoints_left_out);
// Replaces the progress of the tasks `range` by what `in` describes. Returns
// false if it cannot be read.
bool ReadTasksOf(const TaskRange& range, const Json::Value& in, Job* job,
                 Round& round);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_JOB_PROGRESS_H_
