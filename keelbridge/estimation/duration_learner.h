// Learns the durations of runs and steps from the ends of runs.
//
// A step is as long as its longest successful run, because the next step waits
// for all of its tasks. A gang counts as one run.
//
// The class is pure. The scheduler decides which ends are measured well enough;
// a step with one that is not yields no sample of its length.
//
//   DurationLearner learner;
//   learner.OnTaskDone("restore", spec, task, took, /*completes_step=*/true);
//   JobTiming timing = ComputeJobTiming(job.spec, queue, learner);

#ifndef KEELBRIDGE_ESTIMATION_DURATION_LEARNER_H_
#define KEELBRIDGE_ESTIMATION_DURATION_LEARNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/estimation/run_durations.h"
#include "keelbridge/estimation/step_durations.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/queue_durations.h"

namespace keelbridge {

class DurationLearner : public StepDurations {
 public:
  // Records that the task is done. `took` is the duration of its run, or of the
  // run of its gang; nullopt if it is not known well.
  void OnTaskDone(const std::string& queue, const StepSpec& step,
                  const TaskId& task, std::optional<absl::Duration> took,
                  bool completes_step);
  // Forgets the unfinished steps of a job that has ended.
  void OnJobEnded(JobId job);

  absl::Duration ExpectedStep(const std::string& queue,
                              const StepSpec& step) const override;
  // Returns the expected duration of one run of a task of the step.
  absl::Duration ExpectedRun(const std::string& queue,
                             const StepSpec& step) const;
  // Returns the duration that a run of a task of the step does not exceed with
  // probability `q`.
  absl::Duration RunBound(const std::string& queue, const StepSpec& step,
                          double q) const;

  // Returns what the next leader should know: at most `max_queues` queues, most
  // recently used first.
  std::vector<QueueDurations> Learned(size_t max_queues) const;
  // Continues from what the leader of `epoch` had learned. What leaders before
  // the latest one so far had learned is ignored. Returns how many queues are
  // used.
  size_t Adopt(int64_t epoch, const std::vector<QueueDurations>& learned);

  // Figures of the lengths of a queue's steps.
  struct Figures {
    std::string queue;
    double slope = 0;
    absl::Duration typical;
    double spread = 0;  // See `DurationModel::spread`.
  };
  // Returns figures of at most `max_queues` queues, most recently used first.
  std::vector<Figures> RecentQueues(size_t max_queues) const;
  // Returns whether no duration has been learned.
  bool empty() const { return runs_.size() == 0; }
  size_t open_steps() const { return open_steps_.size(); }

 private:
  struct OpenStep {
    int32_t measured_tasks = 0;
    absl::Duration longest;
  };

  RunDurations runs_{RunDurations::Options()};
  RunDurations steps_{RunDurations::Options()};
  // Steps with some tasks done, by their first task.
  std::map<TaskId, OpenStep> open_steps_;
  int64_t adopted_epoch_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ESTIMATION_DURATION_LEARNER_H_
