#include "keelbridge/coordination/job_objective.h"

#include <algorithm>
#include <vector>

namespace keelbridge {
namespace {

// The number of workers that one advice call is assumed to name when the
// objective is computed.
constexpr double kAssumedNamedWorkers = 30;

absl::Duration AdviceTime(const AdviceTerms& advice) {
  if (!advice.needed) return absl::ZeroDuration();
  return absl::Milliseconds(advice.base_ms +
                            kAssumedNamedWorkers * advice.per_worker_ms);
}

// Returns the duration of the longest chain from each step on. Steps depend on
// earlier steps only.
std::vector<absl::Duration> ChainsFrom(const JobSpec& spec, const Queue& queue,
                                       const StepDurations& durations) {
  std::vector<absl::Duration> chains(spec.steps.size());
  std::vector<absl::Duration> after(spec.steps.size());
  for (size_t s = spec.steps.size(); s-- > 0;) {
    chains[s] = durations.ExpectedStep(queue.name, spec.steps[s]) +
                AdviceTime(queue.advice) + after[s];
    for (const int32_t earlier : spec.steps[s].after) {
      absl::Duration& longest = after[static_cast<size_t>(earlier)];
      longest = std::max(longest, chains[s]);
    }
  }
  return chains;
}

}  // namespace

JobTiming ComputeJobTiming(const JobSpec& spec, const Queue& queue,
                           const StepDurations& durations) {
  JobTiming timing;
  timing.work_from = ChainsFrom(spec, queue, durations);
  timing.objective = queue.stretch * LongestChain(timing) +
                     absl::Milliseconds(queue.target_latency_ms);
  return timing;
}

absl::Duration LongestChain(const JobTiming& timing) {
  absl::Duration longest;
  for (const absl::Duration chain : timing.work_from)
    longest = std::max(longest, chain);
  return longest;
}

}  // namespace keelbridge
