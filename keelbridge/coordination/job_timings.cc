#include "keelbridge/coordination/job_timings.h"

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kRenewalPeriod = absl::Seconds(1);

}  // namespace

const JobTiming& JobTimings::Get(const Job& job, const Queue& queue,
                                 absl::Time now) {
  const auto [found, inserted] = timings_.try_emplace(job.id);
  Entry& entry = found->second;
  const bool due =
      !job.begun && !learner_.empty() && now >= entry.computed + kRenewalPeriod;
  if (inserted || due) {
    entry.timing = ComputeJobTiming(job.spec, queue, learner_);
    entry.computed = now;
  }
  return entry.timing;
}

void JobTimings::Forget(JobId job) {
  timings_.erase(job);
  learner_.OnJobEnded(job);
}

size_t JobTimings::Adopt(const LeaderHandover& handover) {
  const size_t queues = learner_.Adopt(handover.epoch, handover.durations);
  if (queues > 0) Renew();
  return queues;
}

void JobTimings::AddFields(const Job& job, const Queue& queue, absl::Time now,
                           LogFields* fields) {
  const auto add = [fields](const char* name, absl::Duration duration) {
    fields->emplace_back(name,
                         absl::StrCat(absl::ToInt64Milliseconds(duration)));
  };
  const JobTiming& timing = Get(job, queue, now);
  const JobTiming estimated =
      ComputeJobTiming(job.spec, queue, ClientEstimates());
  add("estimated_chain_ms", LongestChain(estimated));
  add("expected_chain_ms", LongestChain(timing));
  add("objective_ms", timing.objective);
}

}  // namespace keelbridge
