// A stand-in for one worker of a site: fences, one lease on its own clock,
// lists of what runs and what ended, gangs, checkpoints, and a journal of what
// really ran, from which promises are judged.
//
//   SiteWorker worker({"i-1", ...}, site_time);
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

// One run that a worker began, and how it ended.
struct SiteRun {
  TaskId task;
  int32_t run = 0;
  std::string worker;
  Resources need;
  absl::Time began;
  absl::Time ended = absl::InfiniteFuture();
  RunEnd end = RunEnd::kFailed;  // Once it has ended.
  bool acknowledged = false;     // The system took note of the end.
  bool late = false;             // The order was carried out late.
};

// What a run needs, how long it takes and whether it fails. Set by the test,
// which knows the jobs.
struct SiteRunPlan {
  Resources need;
  absl::Duration work;  // Until it ends, with what comes before the work.
  absl::Duration restore_time;  // Of that, what is no work: a restore.
  absl::Duration done;          // Work that earlier runs did.
  bool writes_checkpoints =
      false;  // Its progress can be carried on; see CheckpointedWork.
  bool fails = false;
  int32_t gang = 0;  // Members that must be present; 0: none.
};

// The work that a checkpoint of the stand-in tells to be done.
absl::Duration CheckpointedWork(const std::string& checkpoint);

class SiteWorker {
 public:
  struct Options {
    WorkerRecord record;
    absl::Duration max_lease = absl::Seconds(6);
    absl::Duration stop_time = absl::Milliseconds(50);
    double clock_rate = 1.0;  // Down to 0.98.
    int64_t clock_start_ms = 1000;
  };
  using Plan = std::function<SiteRunPlan(const StartOrder&)>;
  // Called for each run that begins or ends, for the judge.
  using Journal = std::function<void(const SiteRun&, bool begins)>;

  SiteWorker(Options options, Plan plan, Journal journal, absl::Time now);

  OrderReply Start(const StartOrder& order, absl::Time now, bool late = false);
  OrderReply Stop(const StopOrder& order, absl::Time now);
  ObserveReply Observe(const ObserveOrder& order, absl::Time now);

  // Ends what is due. Call before looking and at least every few milliseconds.
  void Advance(absl::Time now);
  // All members of gang runs that are present, for the whole site to see.
  void CompleteGang(const TaskId& step, int32_t run, absl::Time now);
  // The gang's run is broken: a member ended otherwise.
  void BreakGang(const TaskId& step, int32_t run, absl::Time now);
  // Dies: nothing runs any more.
  void Crash(absl::Time now);

  const WorkerRecord& record() const { return options_.record; }
  WorkerRecord& record() { return options_.record; }
  bool alive() const { return alive_; }
  const std::map<std::pair<TaskId, int32_t>, SiteRun>& running() const {
    return running_;
  }
  // Ends that the system has not taken note of.
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
  // Work done by then, earlier runs included.
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
  std::map<TaskId, int32_t> highest_run_;  // Stopped or ended here.
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_WORKER_H_
