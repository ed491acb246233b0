// Tests changes of leader where the record of the earlier leader contains a
// worker that has left since.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kOtherJob = 9;
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);

JobSpec TwoStepJob() {
  JobSpec spec;
  spec.steps = {OneTask(), OneTask()};
  spec.steps[1].after = {0};
  return spec;
}

// Runs a first leader under which step 0 of the job runs on "a", and "left"
// runs a task of another job when it reports that it leaves.
void RunFirstLeader(SchedulerDriver& first) {
  first.AddWorker("a", 2000);
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", TwoStepJob(), first.now());
  first.RunUntil(absl::Milliseconds(300));
  first.AddWorker("left");
  first.reports["left"];
  first.RunUntil(absl::Milliseconds(500));
  JobSpec other;
  other.steps = {OneTask()};
  first.scheduler().Submit(kOtherJob, "restore", other, first.now());
  first.RunUntil(absl::Milliseconds(700));
  REQUIRE(first.start_workers == std::vector<std::string>{"a", "left"});
  WorkerRecord leaves = SchedulerDriver::RecordOf("left", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = 500;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(absl::Seconds(1));
}

// Starts the second leader. "left" does not answer it, and "b" has capacity for
// all tasks.
void TakeOver(SchedulerDriver& second, SchedulerDriver& first) {
  second.TakeOver(first);
  second.AddWorker("b");
  second.AddWorker("a", 2000);
  second.reports["b"];
  second.reports["a"] = first.reports["a"];
}

TEST_CASE(
    "job scheduler: a step that becomes ready under a new leader does not wait "
    "for a worker that left with runs of other jobs") {
  SchedulerDriver first(1);
  RunFirstLeader(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.RunUntil(absl::Seconds(1));
  second.End("a", {1, kTask, first.starts[0].run, RunEnd::kDone, ""});
  second.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == TaskId{kJob, 0, 1, 0});
}

TEST_CASE(
    "job scheduler: a step that follows an end from before the new leader does "
    "not wait for a worker that left with runs of other jobs") {
  SchedulerDriver first(1);
  RunFirstLeader(first);
  // The end of step 0 does not become durable because the leader is cut off.
  first.hold_batches = true;
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.End("a", {1, kTask, first.starts[0].run, RunEnd::kDone, ""});
  second.RunUntil(kMaxRestartDelay);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == TaskId{kJob, 0, 1, 0});
}

// The worker reports that it leaves long before the run could end there. Once
// it has left, the run's job waits until the worker's lease expires.
TEST_CASE(
    "job scheduler: a run that its leaving worker cannot finish is back soon") {
  constexpr absl::Duration kLeavesAt = absl::Seconds(9);
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  spec.steps[0].estimated_ms = 17000;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(500));
  REQUIRE(site.start_workers == std::vector<std::string>{"a"});
  site.AddWorker("b");
  site.reports["b"];
  WorkerRecord leaves = SchedulerDriver::RecordOf("a", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = absl::ToInt64Milliseconds(kLeavesAt);
  site.scheduler().OnWorkerRecord(leaves, site.now());
  site.RunUntil(kLeavesAt);
  site.reports.erase("a");
  site.scheduler().OnWorkerRemoved("a");
  site.RunUntil(kLeavesAt + kMaxRestartDelay);
  CHECK(site.starts.size() == 2);
}

}  // namespace
}  // namespace keelbridge::testing
