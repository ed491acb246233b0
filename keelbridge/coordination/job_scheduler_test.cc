// Tests single decisions of the site's scheduler about jobs, their records and
// their ends. Advice and placement are tested in job_scheduler_advice_test.cc,
// changes of leader in job_scheduler_leases_test.cc, and whole sites with
// injected faults in testing/site_simulation_test.cc.

#include "keelbridge/coordination/job_scheduler.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

TEST_CASE("job scheduler: failed runs count once each, reported in any order") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("a", 8000), 1},
                           {SchedulerDriver::RecordOf("b", 8000), 1}});
  site.AddWorker("a");
  site.AddWorker("b");
  // Worker b reports first, and reports the second run; a reports the first.
  site.reports["b"].ended = {{1, kTask, 2, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(100));
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
  site.reports["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.scheduler().Status(kJob) == JobState::kFailed);
  CHECK(site.starts.empty());
}

TEST_CASE("job scheduler: a failed end that is reported again is not counted") {
  SchedulerDriver first(1);
  first.Recover(OneTask());
  first.AddWorker("a");
  first.reports["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  JobRecords records;
  first.scheduler().Tick(first.now());
  for (const Action& action : first.scheduler().TakeActions()) {
    if (const auto* observe_action = std::get_if<ObserveAction>(&action)) {
      ObserveReply reply = first.reports["a"];
      reply.order.result = OrderResult::kDone;
      reply.order.clock_ms = 1000;
      first.scheduler().OnObserveReply(*observe_action, reply, first.now().mono,
                                       first.now());
    }
  }
  JobSpec spec;
  spec.steps.push_back(OneTask());
  records.Add(DescriptionRecord(Job(kJob, "restore", spec, 0)));
  for (const Record& record : first.scheduler().TakeBatch().records)
    records.Add(record);
  // The leader dies before it acknowledges the end to the worker.
  SchedulerDriver second(2);
  second.scheduler().Load(records.Build(), {}, second.now());
  second.AddWorker("a");
  second.reports["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  second.RunUntil(absl::Milliseconds(500));
  CHECK(second.scheduler().Status(kJob) == JobState::kRunning);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].run == FirstRunOfEpoch(2));
}

TEST_CASE("job scheduler: a job starts only once its acceptance is durable") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  const int64_t batch = site.scheduler().Submit(9, "restore", spec, site.now());
  CHECK(batch > 0);
  site.scheduler().Tick(site.now());
  for (const Action& action : site.scheduler().TakeActions())
    CHECK_FALSE(std::holds_alternative<StartAction>(action));
  site.scheduler().TakeBatch();
  site.scheduler().OnDurable(batch);
  CHECK(site.scheduler().Submit(9, "restore", spec, site.now()) == 0);
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.starts.size() == 1);
}

TEST_CASE("job scheduler: an ended job stays known when the wall clock jumps") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
  site.reports["a"].running.clear();
  site.reports["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.wall_clock_offset = absl::Minutes(10);
  site.RunUntil(absl::Seconds(4));
  // It is the same job when it is submitted again seconds after its acceptance.
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(5));
  CHECK(site.starts.size() == 1);
  site.wall_clock_offset = -absl::Minutes(10);
  site.RunUntil(absl::Seconds(140));
  CHECK(!site.scheduler().Status(kJob));
}

TEST_CASE(
    "job scheduler: a later leader whose wall clock is ahead knows ended "
    "jobs") {
  Job ended(kJob, "restore", JobSpec(), 0);
  ended.end = JobState::kCompleted;
  ended.ended_ms = absl::ToUnixMillis(kBegin);
  JobRecords records;
  records.Add(ProgressRecord(ended));
  SchedulerDriver site(2);
  site.wall_clock_offset = absl::Minutes(10);
  site.scheduler().Load(records.Build(), {}, site.now());
  site.RunUntil(absl::Seconds(100));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.wall_clock_offset = -absl::Minutes(10);
  site.RunUntil(absl::Seconds(150));
  CHECK(!site.scheduler().Status(kJob));
}

TEST_CASE(
    "job scheduler: a job that is submitted again as it is forgotten is kept") {
  Job ended(kJob, "restore", JobSpec(), 0);
  ended.end = JobState::kCompleted;
  JobRecords before;
  before.Add(ProgressRecord(ended));
  JobScheduler scheduler(JobScheduler::Options(), 2, kBegin);
  scheduler.Load(before.Build(), {}, {kBegin, kBegin});
  const absl::Time later = kBegin + absl::Minutes(10);
  scheduler.Tick({later, later});
  REQUIRE(!scheduler.Status(kJob));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  scheduler.Submit(kJob, "restore", spec, {later, later});
  // The drop and the new job go into one batch. Build what a later leader loads
  // after that batch.
  JobRecords after;
  after.Add(ProgressRecord(ended));
  for (const Record& record : scheduler.TakeBatch().records) after.Add(record);
  const JobTable jobs = after.Build();
  REQUIRE(jobs.count(kJob) == 1);
  CHECK(!jobs.at(kJob)->Ended());
}

TEST_CASE(
    "job scheduler: a job whose queue is removed stays known, and runs once "
    "the queue is back") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  auto without = std::make_shared<SiteConfiguration>();
  without->version = 2;
  auto with = std::make_shared<SiteConfiguration>();
  with->version = 3;
  Queue queue;
  queue.name = "restore";
  queue.pool = "pool";
  with->queues.push_back(queue);
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.scheduler().SetConfiguration(without);
  site.RunUntil(absl::Seconds(300));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().Status(kJob) == JobState::kQueued);
  site.scheduler().SetConfiguration(with);
  site.RunUntil(absl::Seconds(301));
  CHECK(site.starts.size() == 1);
}

TEST_CASE("job scheduler: a suspended leader starts nothing") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.scheduler().SetSuspended(true);
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(9, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.starts.empty());
  site.scheduler().SetSuspended(false);
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.size() == 1);
}

// A batch that is split into several appends might leave behind the description
// of an ended job. Without the record of its end, the job would run again.
TEST_CASE("job scheduler: no record of a forgotten job stays") {
  JobSpec spec;
  spec.steps.push_back(OneTask());
  Job ended(kJob, "restore", spec, absl::ToUnixMillis(kBegin));
  ended.end = JobState::kCompleted;
  ended.ended_ms = absl::ToUnixMillis(kBegin);
  JobRecords records;
  records.Add(DescriptionRecord(ended));
  records.Add(ProgressRecord(ended));
  JobScheduler scheduler(JobScheduler::Options(), 1, kBegin);
  scheduler.Load(records.Build(), {}, {kBegin, kBegin});
  REQUIRE(scheduler.Status(kJob) == JobState::kCompleted);
  const absl::Time later = kBegin + absl::Minutes(5);
  scheduler.Tick({later, later});
  REQUIRE(!scheduler.Status(kJob));
  for (const Record& record : scheduler.TakeBatch().records)
    records.Add(record);
  CHECK(records.Build().empty());
}

// The limit of attempts comes from the configuration. A leader may receive
// reports of ends before it has a configuration that contains the queue.
TEST_CASE(
    "job scheduler: a job whose attempts are used up does not start when its "
    "queue becomes known") {
  SchedulerDriver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  auto without = std::make_shared<SiteConfiguration>();
  without->version = 0;
  site.scheduler().SetConfiguration(without);
  site.reports["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  site.reports["b"].ended = {{1, kTask, 2, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
  site.SetQueue(/*max_attempts=*/2);
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().Status(kJob) == JobState::kFailed);
}

// Guards against a site that stands still for good: the store never takes the
// record, and no later one is appended before it.
TEST_CASE(
    "job scheduler: a large job whose tasks all wait with a checkpoint is "
    "written in records that the store takes") {
  constexpr int32_t kSteps = 6;
  constexpr int32_t kTasksPerStep = 2000;
  const std::string checkpoint = "00000bb87a21d94b00000bb87a21d94b";
  constexpr size_t kMaxRecordBytes = 256 << 10;
  SchedulerDriver first(2);
  StepSpec step = OneTask();
  step.count = kTasksPerStep;
  JobSpec spec;
  spec.steps.resize(kSteps, step);
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.AddWorker("a", /*cpu_milli=*/0);  // Nothing starts again.
  // All tasks run, and one of them is then done; the others lapse.
  ObserveReply& report = first.reports["a"];
  for (int32_t s = 0; s < kSteps; ++s) {
    for (int32_t i = 0; i < kTasksPerStep; ++i)
      report.running.push_back({{kJob, 0, s, i}, 1, checkpoint, 0});
  }
  first.RunUntil(absl::Milliseconds(300));
  for (const RunningTask& run : report.running) {
    const auto number = static_cast<int64_t>(report.ended.size()) + 1;
    const RunEnd end = number == 1 ? RunEnd::kDone : RunEnd::kLapsed;
    report.ended.push_back({number, run.task, run.run, end, checkpoint});
  }
  report.running.clear();
  first.RunUntil(absl::Milliseconds(600));
  for (const auto& stored : first.stored_records) {
    CAPTURE(stored.first);
    CHECK(EncodedSize(stored.second) <= kMaxRecordBytes);
  }
  SchedulerDriver second(3);
  second.TakeOver(first);
  second.AddWorker("a");
  second.reports["a"];
  second.RunUntil(absl::Milliseconds(600));
  REQUIRE_FALSE(second.starts.empty());
  for (const StartOrder& start : second.starts) {
    CHECK_FALSE(start.task == kTask);
    CHECK(start.checkpoint == checkpoint);
  }
}

}  // namespace
}  // namespace keelbridge::testing
