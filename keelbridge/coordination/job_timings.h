// Keeps the timing of each job, by the durations that were learned so far.
//
// While no task of a job has run, its timing follows what is learned, renewed
// at most once a second, so that work that waits for long is not ordered by an
// estimate that is known to be wrong. Once a task has run, the timing stays:
// the job's objective, by which its runs may be preempted and its later steps
// are ordered, must not jump back and forth.
//
//   JobTimings timings;
//   timings.learner().OnTaskDone(...);
//   const JobTiming& timing = timings.Get(job, queue, now.mono);

#ifndef KEELBRIDGE_COORDINATION_JOB_TIMINGS_H_
#define KEELBRIDGE_COORDINATION_JOB_TIMINGS_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/job_objective.h"
#include "keelbridge/estimation/duration_learner.h"
#include "keelbridge/protocol/leader_handover.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

class JobTimings {
 public:
  DurationLearner& learner() { return learner_; }
  const DurationLearner& learner() const { return learner_; }

  // Returns the timing of the job by `queue`, which must be its queue. The
  // reference is valid until the next call of a method that is not const.
  const JobTiming& Get(const Job& job, const Queue& queue, absl::Time now);
  // Drops what is kept of a job that has ended.
  void Forget(JobId job);
  // Computes all timings anew, by another configuration.
  void Renew() { timings_.clear(); }
  // Continues from what an earlier leader has learned. Returns how many queues
  // are used.
  size_t Adopt(const LeaderHandover& handover);
  // Adds the estimated and the expected length of the job's longest chain, and
  // its objective.
  void AddFields(const Job& job, const Queue& queue, absl::Time now,
                 LogFields* fields);

 private:
  struct Entry {
    JobTiming timing;
    absl::Time computed;
  };

  DurationLearner learner_;
  absl::flat_hash_map<JobId, Entry> timings_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_JOB_TIMINGS_H_
