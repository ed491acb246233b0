// Tests workers whose capacity shrinks and grows while they run.

#include <doctest/doctest.h>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

void SetCapacity(SchedulerDriver& site, const std::string& worker,
                 int32_t cpu_milli) {
  site.scheduler().OnWorkerRecord(SchedulerDriver::RecordOf(worker, cpu_milli),
                                  site.now());
}

void Submit(SchedulerDriver& site, JobId id, const StepSpec& step) {
  JobSpec spec;
  spec.steps.push_back(step);
  site.scheduler().Submit(id, "restore", spec, site.now());
}

void EndFirstRun(SchedulerDriver& site, int64_t number, RunEnd end) {
  const RunningTask run = site.reports["a"].running.front();
  site.End("a", {number, run.task, run.run, end, ""});
}

TEST_CASE("job scheduler: a worker that has shrunk gets nothing over it") {
  SchedulerDriver site(1);
  site.AddWorker("a", 8000);
  site.reports["a"];
  StepSpec four_tasks = OneTask(2000);
  four_tasks.count = 4;
  Submit(site, kJob, four_tasks);
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.starts.size() == 4);
  SetCapacity(site, "a", 4000);
  Submit(site, 8, OneTask(1000));
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.size() == 4);
  EndFirstRun(site, 1, RunEnd::kDone);
  site.RunUntil(absl::Seconds(2));
  EndFirstRun(site, 2, RunEnd::kDone);
  site.RunUntil(absl::Seconds(3));
  // The running tasks use all of the remaining capacity.
  CHECK(site.starts.size() == 4);
  SetCapacity(site, "a", 8000);
  site.RunUntil(absl::Seconds(4));
  CHECK(site.starts.size() == 5);
}

TEST_CASE(
    "job scheduler: runs that should stop use capacity of a shrunk worker") {
  SchedulerDriver site(1);
  site.carry_out_stops = false;
  site.AddWorker("a", 8000);
  site.reports["a"];
  StepSpec four_tasks = OneTask(2000);
  four_tasks.count = 4;
  Submit(site, kJob, four_tasks);
  site.RunUntil(absl::Milliseconds(200));
  SetCapacity(site, "a", 6000);
  site.scheduler().Cancel(kJob, site.now());
  Submit(site, 8, OneTask(1000));
  site.RunUntil(absl::Seconds(1));
  REQUIRE(site.stops.size() >= 4);
  EndFirstRun(site, 1, RunEnd::kStopped);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 4);
  EndFirstRun(site, 2, RunEnd::kStopped);
  site.RunUntil(absl::Seconds(3));
  CHECK(site.starts.size() == 5);
}

// The order to start a long-running task is sent once its placement is durable,
// which takes as long as the store is unavailable.
TEST_CASE(
    "job scheduler: an order that waits for the store is not sent to a worker "
    "that has shrunk since") {
  SchedulerDriver site(1);
  site.AddWorker("a", 8000);
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(200));
  Submit(site, kJob, LongRunningTask());
  Submit(site, 8, OneTask(4000));
  site.RunUntil(absl::Milliseconds(220));
  site.hold_batches = true;
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
  SetCapacity(site, "a", 4000);
  site.RunUntil(absl::Seconds(5));
  site.hold_batches = false;
  site.RunUntil(absl::Seconds(6));
  CHECK(site.starts.size() == 1);
  SetCapacity(site, "a", 8000);
  site.RunUntil(absl::Seconds(7));
  CHECK(site.starts.size() == 2);
}

TEST_CASE(
    "job scheduler: capacity that is reserved for a gang shrinks with its "
    "worker") {
  SchedulerDriver site(1);
  site.AddWorker("a", 8000);
  site.AddWorker("b", 8000);
  site.reports["a"];
  site.reports["b"];
  Submit(site, 8, OneTask(6000));
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.starts.size() == 1);
  StepSpec gang = OneTask(8000);
  gang.gang = true;
  gang.count = 2;
  Submit(site, kJob, gang);
  site.RunUntil(absl::Milliseconds(400));
  SetCapacity(site, "a", 7000);
  SetCapacity(site, "b", 7000);
  const std::string busy = site.start_workers.front();
  site.End(busy, {1, site.starts.front().task, site.starts.front().run,
                  RunEnd::kDone, ""});
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 1);
  SetCapacity(site, "a", 8000);
  SetCapacity(site, "b", 8000);
  site.RunUntil(absl::Seconds(3));
  CHECK(site.starts.size() == 3);
}

TEST_CASE("job scheduler: a worker may shrink to nothing and grow again") {
  SchedulerDriver site(1);
  site.AddWorker("a", 8000);
  site.reports["a"];
  Submit(site, kJob, OneTask(2000));
  site.RunUntil(absl::Milliseconds(200));
  SetCapacity(site, "a", 0);
  Submit(site, 8, OneTask(1000));
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.size() == 1);
  SetCapacity(site, "a", 8000);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 2);
}

}  // namespace
}  // namespace keelbridge::testing
