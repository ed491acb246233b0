// Tests how the times of a scheduled job come and go while workers report.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

JobSpec ScheduledJob(const StepSpec& step, int32_t times, int64_t interval_ms) {
  JobSpec spec;
  spec.steps = {step};
  spec.rounds = times;
  spec.first_round_ms = absl::ToUnixMillis(kBegin);
  spec.round_interval_ms = interval_ms;
  return spec;
}

// A site of one worker, which runs the job.
void StartJob(SchedulerDriver& site, const JobSpec& spec) {
  site.reports["a"];
  site.AddWorker("a");
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
}

// Guards against: the end of the last task of a time was read on after the time
// had been dropped, a use after free. Shows with the address sanitizer.
TEST_CASE(
    "job scheduler: the end of the last task of a scheduled job's time is "
    "processed without its time") {
  SchedulerDriver site(1);
  StartJob(site, ScheduledJob(OneTask(), 3, 1000));
  for (int64_t time = 1; time <= 3; ++time) {
    REQUIRE(site.starts.size() == static_cast<size_t>(time));
    site.End("a", {time, site.starts.back().task, site.starts.back().run,
                   RunEnd::kDone, "a saved text that takes memory of its own"});
    site.RunUntil(absl::Seconds(time) + absl::Milliseconds(600));
  }
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
}

// Guards against: an end that an earlier leader handed over was dropped and
// acknowledged, because the new leader had not added the job's times yet, and
// the task ran again after it was done (TWICE).
TEST_CASE(
    "job scheduler: a handed-over end counts for a scheduled job of which "
    "nothing is recorded yet") {
  SchedulerDriver first(1);
  StartJob(first, ScheduledJob(OneTask(), 1, 0));
  REQUIRE(first.starts.size() == 1);
  WorkerRecord leaving = SchedulerDriver::RecordOf("a", 8000);
  leaving.draining = true;
  first.scheduler().OnWorkerRecord(leaving, first.now());
  first.hold_batches = true;
  first.End("a", {1, kTask, first.starts[0].run, RunEnd::kDone, ""});
  first.RunUntil(absl::Seconds(1));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.reports["b"];
  second.AddWorker("b");
  second.RunUntil(absl::Seconds(20));
  CHECK(second.starts.empty());
  CHECK(second.scheduler().Status(kJob) == JobState::kCompleted);
}

// Guards against: a run of a time that is not due yet by the clock of the new
// leader was stopped as unwanted.
TEST_CASE(
    "job scheduler: a run of a time that is due only by an earlier leader's "
    "clock goes on, and nothing else of that time starts before it is due") {
  StepSpec step = OneTask(8000);
  step.count = 2;  // One of them fits.
  SchedulerDriver first(1);
  StartJob(first, ScheduledJob(step, 1, 0));
  REQUIRE(first.starts.size() == 1);

  SchedulerDriver second(2);
  second.wall_clock_offset = -absl::Seconds(4);
  second.TakeOver(first);
  second.reports = first.reports;
  second.reports["b"];
  for (const char* worker : {"a", "b"}) second.AddWorker(worker);
  second.RunUntil(absl::Seconds(3));
  CHECK(second.stops.empty());
  CHECK(second.starts.empty());
  CHECK(second.scheduler().figures().running_tasks == 1);
  second.RunUntil(absl::Seconds(5));
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task != first.starts[0].task);
}

// Guards against: a report names a time far ahead, for which all times before
// it would be added.
TEST_CASE(
    "job scheduler: a run of a time that cannot be due yet is not wanted") {
  SchedulerDriver site(1);
  StartJob(site, ScheduledJob(OneTask(), 1 << 30, 60'000));
  const TaskId far{kJob, 1 << 29, 0, 0};
  site.reports["a"].running.push_back({far, 1, "", 0});
  site.RunUntil(absl::Seconds(3));
  REQUIRE(site.stops.size() >= 1);
  CHECK(site.stops[0].task == far);
}

// A scheduled job has lost a run of `step` with the worker "a". At that moment
// "b" fell silent. The run was repeated, the job's first time is over and
// dropped, and the next one is not due.
class DroppedTimeSite {
 public:
  explicit DroppedTimeSite(const StepSpec& step) : driver_(1) {
    AddWorkers({"a"});
    driver_.RunUntil(absl::Milliseconds(100));
    driver_.scheduler().Submit(kJob, "restore", ScheduledJob(step, 2, 60'000),
                               driver_.now());
    driver_.RunUntil(absl::Milliseconds(300));
    REQUIRE(driver_.starts.size() == static_cast<size_t>(step.count));
    AddWorkers({"b", "c"});
    driver_.RunUntil(absl::Milliseconds(500));
    driver_.other_incarnations.insert("a");
    driver_.cut_off.insert("b");
    driver_.RunUntil(absl::Seconds(3));
    EndAllOn("c");
    driver_.RunUntil(absl::Seconds(6));
    REQUIRE(driver_.scheduler().figures().running_tasks == 0);
  }

  SchedulerDriver& driver() { return driver_; }
  void AddWorkers(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      driver_.reports[name];
      driver_.AddWorker(name);
    }
  }

 private:
  void EndAllOn(const std::string& worker) {
    int64_t number = 0;
    const std::vector<RunningTask> running = driver_.reports[worker].running;
    REQUIRE(!running.empty());
    for (const RunningTask& run : running)
      driver_.End(worker, {++number, run.task, run.run, RunEnd::kDone, ""});
  }

  SchedulerDriver driver_;
};

// Guards against a leader that ends by itself (Fault): the evidence of the
// first crash is computed again, against a task that is not there any more.
TEST_CASE(
    "job scheduler: a worker that crashed at the same moment as one with a "
    "task whose time is over since does not end the leader") {
  DroppedTimeSite site(OneTask());
  site.driver().cut_off.erase("b");
  site.driver().other_incarnations.insert("b");
  site.driver().RunUntil(absl::Seconds(7));
  CHECK(site.driver().scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against the same where the crash is held against a gang.
TEST_CASE(
    "job scheduler: a worker that crashed at the same moment as one with a "
    "gang whose time is over since does not end the leader") {
  StepSpec gang = OneTask();
  gang.gang = true;
  gang.count = 3;
  DroppedTimeSite site(gang);
  site.driver().cut_off.erase("b");
  site.driver().other_incarnations.insert("b");
  site.driver().RunUntil(absl::Seconds(7));
  CHECK(site.driver().scheduler().Status(kJob) == JobState::kRunning);
}

}  // namespace
}  // namespace keelbridge::testing
