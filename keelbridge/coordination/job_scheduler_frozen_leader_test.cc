// Tests changes of leader where the earlier leader is frozen: it sends no
// orders, keeps what it knows, and says much later that it has stopped.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "keelbridge/coordination/earlier_leaders.h"
#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kOtherJob = 9;
const TaskId kOtherTask{kOtherJob, 0, 0, 0};
constexpr char kFrozenNode[] = "10.0.0.1:7580";
constexpr absl::Duration kFrozen = absl::Milliseconds(4400);
// When the frozen leader runs again and answers. It was fenced 0.8 s after it
// had frozen.
constexpr absl::Duration kAnswersAt = absl::Milliseconds(3600);
constexpr absl::Duration kMaxLease = absl::Milliseconds(6300);
// Covers the first report of the task's worker and the new start.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(1);

// What became of worker "x", which never ran the long-running task.
enum class OtherWorker { kSilent, kSilentAndUnlisted, kLeft };

// A site under its first leader, which freezes. The long-running task runs on
// "w", and a task of another job on "x". "y" is idle.
class FrozenLeaderFixture {
 public:
  explicit FrozenLeaderFixture(OtherWorker other_worker) : first_(1) {
    AddWorker("x");
    Submit(kOtherJob, OneTask(8000));
    AddWorker("w");
    Submit(kJob, LongRunningTask());
    REQUIRE(first_.start_workers == std::vector<std::string>{"x", "w"});
    AddWorker("y");
    if (other_worker == OtherWorker::kLeft) {
      WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
      leaving.draining = true;
      first_.scheduler().OnWorkerRecord(leaving, first_.now());
    }
    if (other_worker == OtherWorker::kSilentAndUnlisted)
      first_.scheduler().OnWorkerRemoved("x");
    Run();
  }

  SchedulerDriver& first() { return first_; }

  // Lets the next leader take over. "x" does not answer it.
  void TakeOver(SchedulerDriver& second) {
    second.TakeOver(first_);
    for (const char* worker : {"w", "y"}) {
      second.AddWorker(worker);
      second.reports[worker] = first_.reports[worker];
    }
  }

  // The frozen leader runs again. It hands over what it knows, and says when it
  // sent its last order.
  void Thaw(SchedulerDriver& second) {
    EarlierLeaders earlier({kFrozenNode}, absl::InfinitePast());
    earlier.OnStopped(kFrozenNode, kFrozen, second.now().mono);
    second.scheduler().OnHandover(
        first_.scheduler().Handover(first_.now().mono), second.now());
    REQUIRE(earlier.AllStopped());
    second.scheduler().OnEarlierLeadersStopped(earlier.LastOrderTime());
  }

 private:
  void Run() {
    ran_ += absl::Milliseconds(200);
    first_.RunUntil(ran_);
  }
  void AddWorker(const std::string& id) {
    first_.reports[id];
    first_.AddWorker(id);
    Run();
  }
  void Submit(JobId id, const StepSpec& step) {
    JobSpec spec;
    spec.steps = {step};
    first_.scheduler().Submit(id, "restore", spec, first_.now());
    Run();
  }

  SchedulerDriver first_;
  absl::Duration ran_;
};

int CountStarts(const SchedulerDriver& site, const TaskId& task) {
  return static_cast<int>(
      std::count_if(site.starts.begin(), site.starts.end(),
                    [&](const StartOrder& one) { return one.task == task; }));
}

TEST_CASE(
    "job scheduler: a long-running task that failed while its leader was "
    "frozen waits neither for that leader nor for another worker") {
  for (const OtherWorker other :
       {OtherWorker::kSilent, OtherWorker::kSilentAndUnlisted,
        OtherWorker::kLeft}) {
    CAPTURE(static_cast<int>(other));
    FrozenLeaderFixture site(other);
    SchedulerDriver second(2, 2, SchedulerPolicy(),
                           EarlierLeadersAre::kUnconfirmed);
    site.TakeOver(second);
    second.End("w",
               {1, kTask, site.first().starts[1].run, RunEnd::kFailed, ""});
    second.RunUntil(kMaxRestartDelay);
    CHECK(CountStarts(second, kTask) == 1);
    second.RunUntil(kAnswersAt);
    site.Thaw(second);
    second.RunUntil(absl::Seconds(15));
    CHECK(CountStarts(second, kTask) == 1);
    CHECK(second.stops.empty());
  }
}

TEST_CASE(
    "job scheduler: a long-running task whose leader froze before its order "
    "was sent waits neither for that leader nor for another worker") {
  FrozenLeaderFixture site(OtherWorker::kSilent);
  SchedulerDriver& first = site.first();
  constexpr JobId kUnsentJob = 11;
  const TaskId unsent{kUnsentJob, 0, 0, 0};
  const auto placed_on = [&] {
    JobRecords records;
    for (const auto& [key, record] : first.stored_records) {
      if (!ParseKnownWorker(record)) records.Add(record);
    }
    const JobTable jobs = records.Build();
    const auto job = jobs.find(kUnsentJob);
    if (job == jobs.end()) return std::string();
    const TaskState* task = job->second->FindTask(unsent);
    return task == nullptr ? std::string() : task->placed_on;
  };
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kUnsentJob, "restore", spec, first.now());
  while (placed_on().empty() && first.now().mono < kBegin + absl::Seconds(5))
    first.RunUntil(first.now().mono + first.tick_interval - kBegin);
  REQUIRE_FALSE(placed_on().empty());
  REQUIRE(CountStarts(first, unsent) == 0);

  SchedulerDriver second(2, 2, SchedulerPolicy(),
                         EarlierLeadersAre::kUnconfirmed);
  site.TakeOver(second);
  second.RunUntil(kMaxRestartDelay);
  CHECK(CountStarts(second, unsent) == 1);
  second.RunUntil(kAnswersAt);
  site.Thaw(second);
  second.RunUntil(absl::Seconds(15));
  CHECK(CountStarts(second, unsent) == 1);
  CHECK(CountStarts(second, kTask) == 0);  // It runs on "w" throughout.
  CHECK(second.stops.empty());
}

TEST_CASE(
    "job scheduler: what may run on a silent worker waits for the lease from "
    "the frozen leader's last order, not from its answer") {
  for (const OtherWorker other :
       {OtherWorker::kSilent, OtherWorker::kSilentAndUnlisted,
        OtherWorker::kLeft}) {
    CAPTURE(static_cast<int>(other));
    FrozenLeaderFixture site(other);
    SchedulerDriver second(2, 2, SchedulerPolicy(),
                           EarlierLeadersAre::kUnconfirmed);
    site.TakeOver(second);
    second.RunUntil(kAnswersAt);
    site.Thaw(second);
    second.RunUntil(kMaxLease - absl::Milliseconds(300));
    CHECK(CountStarts(second, kOtherTask) == 0);
    second.RunUntil(kMaxLease + kMaxRestartDelay);
    CHECK(CountStarts(second, kOtherTask) == 1);
  }
}

}  // namespace
}  // namespace keelbridge::testing
