// What a job is measured by: how long its steps take one after the other, and
// by when it should have ended.
//
//   JobTiming times = ComputeJobTiming(job.spec, queue);
//   absl::Duration slack = times.objective - age - times.work_from[step];

#ifndef KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_
#define KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_

#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/site_configuration.h"

namespace keelbridge {

// A job that takes up to this many objectives still earns a little.
constexpr int kMaxObjectiveFactor = 3;

struct JobTiming {
  // From the job's acceptance, within which it should end.
  absl::Duration objective;
  // The estimate of the longest chain of steps that begins with each step, with
  // a call for advice before each where that is needed.
  std::vector<absl::Duration> work_from;
};

JobTiming ComputeJobTiming(const JobSpec& spec, const Queue& queue);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_JOB_OBJECTIVE_H_
