// Tests that long-running tasks start again however their runs end.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

// A task may be away for this long after its run has ended, and has then 3 s to
// start, by the users' rule.
constexpr absl::Duration kMaxDowntime = absl::Seconds(6);

// A site of the workers "a" and "b" that runs the job.
SchedulerDriver& StartJob(SchedulerDriver& site, const JobSpec& spec) {
  for (const char* worker : {"a", "b"}) {
    site.reports[worker];
    site.AddWorker(worker);
  }
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  return site;
}

JobSpec JobOf(const StepSpec& step) {
  JobSpec spec;
  spec.steps = {step};
  return spec;
}

// Ends all that runs on the worker.
void EndAll(SchedulerDriver& site, const std::string& worker, RunEnd how) {
  int64_t number = 0;
  for (const EndedTask& end : site.reports[worker].ended)
    number = std::max(number, end.number);
  const auto running = site.reports[worker].running;
  for (const RunningTask& run : running)
    site.End(worker, {++number, run.task, run.run, how, ""});
}

// Guards against: a long-running task that ended as done was never started
// again, and its job was shown as completed (LOST).
TEST_CASE(
    "job scheduler: a long-running task that ends as done starts again, and "
    "its job goes on") {
  SchedulerDriver site(1);
  StartJob(site, JobOf(LongRunningTask()));
  REQUIRE(site.starts.size() == 1);
  EndAll(site, site.start_workers[0], RunEnd::kDone);
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.starts[1].run > site.starts[0].run);
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against: the leader that hears of the end is another one than the one
// that started the task.
TEST_CASE(
    "job scheduler: a long-running task that ended as done while nobody led "
    "starts again") {
  SchedulerDriver first(1);
  StartJob(first, JobOf(LongRunningTask()));
  REQUIRE(first.starts.size() == 1);
  EndAll(first, first.start_workers[0], RunEnd::kDone);

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.reports = first.reports;
  for (const char* worker : {"a", "b"}) second.AddWorker(worker);
  second.RunUntil(absl::Seconds(2));
  REQUIRE(second.starts.size() == 1);
  CHECK(second.scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against: the next leader hears of the end in a handover, and again
// from the worker.
TEST_CASE(
    "job scheduler: a long-running task whose end as done was handed over "
    "starts again once") {
  SchedulerDriver first(1);
  StartJob(first, JobOf(LongRunningTask()));
  REQUIRE(first.starts.size() == 1);
  const std::string worker = first.start_workers[0];
  WorkerRecord leaving = SchedulerDriver::RecordOf(worker, 8000);
  leaving.draining = true;
  first.scheduler().OnWorkerRecord(leaving, first.now());
  first.hold_batches = true;
  EndAll(first, worker, RunEnd::kDone);
  first.RunUntil(absl::Seconds(1));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.reports[worker].ended = first.reports[worker].ended;
  second.reports["a"];
  second.reports["b"];
  for (const char* one : {"a", "b"}) second.AddWorker(one);
  second.RunUntil(absl::Seconds(2));
  CHECK(second.starts.size() == 1);
  CHECK(second.scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against: one end as done stands for all members of a gang, which were
// never started again.
TEST_CASE("job scheduler: a long-running gang that ends as done starts again") {
  StepSpec gang = LongRunningTask();
  gang.gang = true;
  gang.count = 4;
  SchedulerDriver site(1);
  StartJob(site, JobOf(gang));
  REQUIRE(site.starts.size() == 4);
  EndAll(site, "a", RunEnd::kDone);
  EndAll(site, "b", RunEnd::kDone);
  site.RunUntil(absl::Seconds(3));
  REQUIRE(site.starts.size() == 8);
  CHECK(site.starts[7].run == site.starts[4].run);
  CHECK(site.starts[4].run > site.starts[0].run);
}

// Guards against: tasks that end as soon as they start are started without
// pause, or after a while no longer in time.
TEST_CASE(
    "job scheduler: a long-running task that ends again and again starts again "
    "each time, after growing pauses") {
  for (const RunEnd how : {RunEnd::kDone, RunEnd::kFailed}) {
    CAPTURE(RunEndName(how));
    SchedulerDriver site(1);
    StartJob(site, JobOf(LongRunningTask()));
    size_t seen = 0;
    absl::Time last = site.now().mono;
    absl::Duration longest;
    for (int ms = 320; ms <= 60000; ms += 20) {
      site.RunUntil(absl::Milliseconds(ms));
      if (site.starts.size() == seen) continue;
      longest = std::max(longest, site.now().mono - last);
      last = site.now().mono;
      seen = site.starts.size();
      EndAll(site, site.start_workers.back(), how);
    }
    CHECK(longest < kMaxDowntime);
    CHECK(site.now().mono - last < kMaxDowntime);
    CHECK(site.starts.size() > 10);
    CHECK(site.starts.size() < 60);  // Less than one each second.
  }
}

// Guards against: one short run makes a task wait that has otherwise run well.
TEST_CASE(
    "job scheduler: a long-running task that has run for long starts again at "
    "once") {
  SchedulerDriver site(1);
  StartJob(site, JobOf(LongRunningTask()));
  for (int i = 1; i <= 4; ++i) {
    site.RunUntil(absl::Seconds(20 * i));
    EndAll(site, site.start_workers.back(), RunEnd::kDone);
    site.RunUntil(absl::Seconds(20 * i) + absl::Milliseconds(1500));
    CHECK(site.starts.size() == static_cast<size_t>(i + 1));
  }
}

// Guards against: an earlier version recorded long-running tasks as done.
TEST_CASE(
    "job scheduler: a long-running task that is recorded as done starts "
    "again") {
  StepSpec step = LongRunningTask();
  step.count = 2;
  SchedulerDriver first(1);
  StartJob(first, JobOf(step));
  REQUIRE(first.starts.size() == 2);

  SchedulerDriver second(2);
  Record progress = first.stored_records.at(ProgressKey(kJob));
  // The first of the two tasks, as earlier versions wrote it.
  progress.value = R"({"begun":true,"placements_kept":true,)"
                   R"("rounds":[{"round":0,"done":["1"]}]})";
  first.stored_records[ProgressKey(kJob)] = progress;
  second.TakeOver(first);
  for (const char* worker : {"a", "b"}) {
    second.reports[worker];
    second.AddWorker(worker);
  }
  second.RunUntil(absl::Seconds(2));
  CHECK(second.starts.size() == 2);
  CHECK(second.scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against: a step that depends on a long-running one starts because a
// run of that one has ended, though its tasks are at work until the cancel.
TEST_CASE(
    "job scheduler: a step that depends on a long-running one does not start "
    "as a run of that one ends") {
  JobSpec spec = JobOf(LongRunningTask());
  spec.steps.push_back(OneTask());
  spec.steps[1].after = {0};
  SchedulerDriver site(1);
  StartJob(site, spec);
  EndAll(site, site.start_workers[0], RunEnd::kDone);
  site.RunUntil(absl::Seconds(3));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.starts[1].task == kTask);
}

// Guards against: a time of a scheduled job counts as done as its long-running
// task ends.
TEST_CASE(
    "job scheduler: each time of a scheduled job whose step is long-running "
    "starts again") {
  JobSpec spec = JobOf(LongRunningTask());
  spec.rounds = 2;
  spec.first_round_ms = absl::ToUnixMillis(kBegin);
  spec.round_interval_ms = 100;
  SchedulerDriver site(1);
  StartJob(site, spec);
  REQUIRE(site.starts.size() == 2);
  EndAll(site, "a", RunEnd::kDone);
  EndAll(site, "b", RunEnd::kDone);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 4);
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
}

// Guards against: the end of one copy ends the others, or starts a further one.
TEST_CASE(
    "job scheduler: a long-running task with copies starts again once all its "
    "runs have ended") {
  StepSpec step = LongRunningTask();
  step.duplicates = true;
  SchedulerDriver site(1);
  StartJob(site, JobOf(step));
  REQUIRE(site.starts.size() == 1);
  EndAll(site, site.start_workers[0], RunEnd::kDone);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 2);
  CHECK(site.stops.empty());
}

}  // namespace
}  // namespace keelbridge::testing
