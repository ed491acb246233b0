// A fake of one platform worker: fencing tokens, one lease on its own clock,
// reports of running and ended runs, gangs, checkpoints, and a journal of the
// actual runs, from which tests verify the scheduler's guarantees.
//
//   SiteWorker worker(options, plan, journal, now);
//   OrderReply reply = worker.Start(order, now);

#ifndef KEELBRIDGE_TESTING_FAKES_SITE_WORKER_H_
#define KEELBRIDGE_TESTING_FAKES_SITE_WORKER_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge::testing {

// One run that a worker started, and how it ended.
struct SiteRun {
  TaskId task;
  int32_t run = 0;
  std::string worker;
  Resources need;
  absl::Time began;
  absl::Time ended = absl::InfiniteFuture();
  RunEnd end = RunEnd::kFailed;  // Valid once the run has ended.
  bool acknowledged = false;     // The scheduler acknowledged the end.
  bool late = false;             // The start order was executed late.
};

// Resources, duration and outcome of a run, as defined by the test.
struct SiteRunPlan {
  Resources need;
  absl::Duration work;          // Total duration, including `restore_time`.
  absl::Duration restore_time;  // Initial part without progress.
  absl::Duration done;          // Work of earlier runs.
  // The next run can continue from this run's checkpoint; see
  // `CheckpointedWork`.
  bool writes_checkpoints = false;
  bool fails = false;
  int32_t gang = 0;  // Number of members of the gang; 0 if not part of a gang.
};

// Returns the completed work that a checkpoint of this fake records.
absl::Duration CheckpointedWork(const std::string& checkpoint);

class SiteWorker {
 public:
  struct Options {
    WorkerRecord record;
    absl::Duration max_lease = absl::Seconds(6);
    absl::Duration stop_time = absl::Milliseconds(50);
    double clock_rate = 1.0;  // Relative to real time; at least 0.98.
    int64_t clock_start_ms = 1000;
  };
  using Plan = std::function<SiteRunPlan(const StartOrder&)>;
  // Called for each run that starts or ends.
  using Journal = std::function<void(const SiteRun&, bool begins)>;

  SiteWorker(Options options, Plan plan, Journal journal, absl::Time now);

  OrderReply Start(const StartOrder& order, absl::Time now, bool late = false);
  OrderReply Stop(const StopOrder& order, absl::Time now);
  ObserveReply Observe(const ObserveOrder& order, absl::Time now);

  // Ends all runs that are due. Call before reading the state and at least
  // every few milliseconds.
  void Advance(absl::Time now);
  // Ends the members of a gang's run on this worker as done.
  void CompleteGang(const TaskId& step, int32_t run, absl::Time now);
  // Ends the members of a gang's run on this worker as broken, because another
  // member is missing or ended otherwise.
  void BreakGang(const TaskId& step, int32_t run, absl::Time now);
  // Ends all runs, discards all unacknowledged ends and stops the worker
  // permanently.
  void Crash(absl::Time now);

  const WorkerRecord& record() const { return options_.record; }
  WorkerRecord& record() { return options_.record; }
  bool alive() const { return alive_; }
  const std::map<std::pair<TaskId, int32_t>, SiteRun>& running() const {
    return running_;
  }
  // Ended runs that the scheduler has not acknowledged.
  const std::vector<EndedTask>& unacknowledged_ends() const { return ended_; }
  bool LeaseLapsed(absl::Time now) const {
    return ClockMs(now) > lease_until_ms_;
  }
  int64_t ClockMs(absl::Time now) const;

 private:
  struct Timing {
    absl::Time done_at;
    SiteRunPlan plan;
    absl::Time stop_at = absl::InfiniteFuture();
    bool fails = false;
    int32_t gang = 0;
  };
  using RunKey = std::pair<TaskId, int32_t>;
  void End(const RunKey& key, RunEnd end, absl::Time now);
  bool AcceptFence(int64_t fence);
  void ExtendLease(int64_t until_ms, absl::Time now);
  // Returns the work done until `now`, including that of earlier runs.
  absl::Duration WorkDone(const Timing& timing, absl::Time now) const;
  std::string Checkpoint(const Timing& timing, absl::Time now) const;
  int32_t ProgressPercent(const Timing& timing, absl::Time now) const;

  Options options_;
  const Plan plan_;
  const Journal journal_;
  const absl::Time start_time_;
  bool alive_ = true;
  int64_t fence_ = 0;
  int64_t lease_until_ms_ = 0;
  int64_t next_end_ = 1;
  std::map<RunKey, SiteRun> running_;
  std::map<RunKey, Timing> timing_;
  std::vector<EndedTask> ended_;
  // By task: the highest number of a run that was stopped or ended on this
  // worker.
  std::map<TaskId, int32_t> highest_run_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_WORKER_H_
