// Computes the timing of a job: how long its chains of steps take, and by when
// the job should end.
//
//   JobTiming timing = ComputeJobTiming(job.spec, queue, ClientEstimates());
//   absl::Duration slack = timing.objective - age - timing.work_from[step];

#ifndef KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_
#define KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_

#include <vector>

#include "absl/time/time.h"
#include "keelbridge/estimation/step_durations.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/site_configuration.h"

namespace keelbridge {

// A job that ends within this multiple of its objective still earns a part of
// its value.
constexpr int kMaxObjectiveFactor = 3;

struct JobTiming {
  // The time from the job's acceptance within which it should end.
  absl::Duration objective;
  // The expected duration of the longest chain of steps that begins with each
  // step, including an advice call before each step where one is needed.
  std::vector<absl::Duration> work_from;
};

// `durations` tells how long each step is expected to take.
JobTiming ComputeJobTiming(const JobSpec& spec, const Queue& queue,
                           const StepDurations& durations);

// Returns the expected duration of the longest chain of steps.
absl::Duration LongestChain(const JobTiming& timing);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_
