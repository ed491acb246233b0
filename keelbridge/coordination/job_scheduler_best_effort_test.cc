// Tests what best-effort tasks occupy on their workers, whichever way a leader
// learns of their runs.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kFilling = 70;
constexpr int32_t kWorkerCpu = 8000;
constexpr char kWorkerName[] = "a";

// A long-running task that fills all processors of a worker.
StepSpec FillingTask() {
  StepSpec step = LongRunningTask();
  step.requested.cpu_milli = kWorkerCpu;
  step.best_effort = true;
  return step;
}

JobSpec JobOf(const StepSpec& step) {
  JobSpec spec;
  spec.steps = {step};
  return spec;
}

// A leader whose only worker runs the filling task.
void StartFilling(SchedulerDriver& site) {
  site.reports[kWorkerName];
  site.AddWorker(kWorkerName, kWorkerCpu);
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(kFilling, "restore", JobOf(FillingTask()),
                          site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
}

// Guards against: a new leader counted the processors of best-effort runs that
// it found running, and started nothing beside them (LOST).
TEST_CASE(
    "job scheduler: a new leader starts work beside best-effort runs that it "
    "found running") {
  SchedulerDriver first(1);
  StartFilling(first);

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.reports = first.reports;
  second.AddWorker(kWorkerName, kWorkerCpu);
  second.RunUntil(absl::Milliseconds(300));
  REQUIRE(second.scheduler().figures().running_tasks == 1);
  CHECK(second.scheduler().figures().cpu_milli_used == 0);
  second.scheduler().Submit(kJob, "restore", JobOf(OneTask(kWorkerCpu)),
                            second.now());
  second.RunUntil(absl::Milliseconds(600));
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == kTask);
}

// Guards against: the end of a best-effort run gave back processors that it had
// never occupied, or the other way round, so that workers were overfilled.
TEST_CASE(
    "job scheduler: what a best-effort run occupies is given back as it was "
    "taken") {
  SchedulerDriver first(1);
  StartFilling(first);

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.reports = first.reports;
  second.AddWorker(kWorkerName, kWorkerCpu);
  second.RunUntil(absl::Milliseconds(300));
  second.scheduler().Cancel(kFilling, second.now());
  second.RunUntil(absl::Seconds(3));
  REQUIRE(second.scheduler().figures().running_tasks == 0);
  CHECK(second.scheduler().figures().cpu_milli_used == 0);
  StepSpec pair = OneTask(kWorkerCpu);
  pair.count = 2;
  second.scheduler().Submit(kJob, "restore", JobOf(pair), second.now());
  second.RunUntil(absl::Seconds(4));
  CHECK(second.starts.size() == 1);
}

}  // namespace
}  // namespace keelbridge::testing
