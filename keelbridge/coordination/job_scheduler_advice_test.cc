// Tests when and about which workers the scheduler asks for advice, and which
// tasks it starts, moves and delays.

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

TEST_CASE(
    "job scheduler: a gang whose eligible workers are full asks about others") {
  SchedulerDriver site(1);
  site.UseAdvice();
  for (const char* id : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "z"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  site.eligible = {"a", "b", "z"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec gang;
  gang.steps.push_back(OneTask(8000));
  gang.steps[0].gang = true;
  JobSpec filler;
  filler.steps.push_back(OneTask(8000));
  // While the answer is in transit, other tasks fill both workers that it will
  // name.
  site.hold_advice = true;
  site.scheduler().Submit(1, "restore", gang, site.now());
  site.RunUntil(absl::Milliseconds(200));
  site.scheduler().Submit(2, "plain", filler, site.now());
  site.scheduler().Submit(3, "plain", filler, site.now());
  site.RunUntil(absl::Milliseconds(400));
  REQUIRE(site.start_workers == std::vector<std::string>{"a", "b"});
  site.hold_advice = false;
  site.AnswerHeldAdvice();
  site.RunUntil(absl::Seconds(4));
  REQUIRE(site.starts.size() == 3);
  CHECK(site.start_workers[2] == "z");
}

TEST_CASE("job scheduler: advice is requested only for work that fits") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (const char* id : {"a", "b", "c", "d"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  // Each worker has capacity for one task at a time, so 4 of 40 jobs can start.
  for (JobId id = 100; id < 140; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.advice_calls.size() >= 1);
  CHECK(site.advice_calls.size() <= 8);
}

TEST_CASE(
    "job scheduler: concurrent requests expect capacity on different workers") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id));
    site.reports[std::string(1, id)];
  }
  for (JobId id = 100; id < 102; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.advice_calls.size() == 2);
  std::set<std::string> expected_workers;
  size_t expected_uses = 0;
  for (size_t ask = 0; ask < 2; ++ask) {
    for (size_t i = 0; i < site.advice_calls[ask].size(); ++i) {
      if (site.expected_uses[ask][i] == 0) continue;
      expected_workers.insert(site.advice_calls[ask][i]);
      ++expected_uses;
    }
  }
  CHECK(expected_uses >= 2);
  CHECK(expected_workers.size() == expected_uses);
}

TEST_CASE("job scheduler: concurrent requests name different workers") {
  // Disables naming additional workers: if each call named all workers, only
  // the expected use would differ.
  SchedulerPolicy few_named;
  few_named.name_extra_workers = false;
  SchedulerDriver site(1, 2, few_named);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id));
    site.reports[std::string(1, id)];
  }
  for (JobId id = 100; id < 102; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.advice_calls.size() == 2);
  std::set<std::string> both(site.advice_calls[0].begin(),
                             site.advice_calls[0].end());
  both.insert(site.advice_calls[1].begin(), site.advice_calls[1].end());
  CHECK(both.size() ==
        site.advice_calls[0].size() + site.advice_calls[1].size());
}

TEST_CASE(
    "job scheduler: a step that no worker may run does not ask repeatedly") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  // No worker may run the step. All are asked about once, not again in each
  // pass.
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  site.scheduler().Submit(100, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(2));
  CHECK(site.advice_calls.size() <= 6);
}

// Guards against downtime beyond the lease: a worker was lost at 37.8 s, its
// lease expired at 47.8 s, and the advice about other workers for its tasks
// arrived at 48.6 s.
TEST_CASE(
    "job scheduler: a long-running task on an unresponsive worker restarts as "
    "soon as its lease expires") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(9);
  site.AddWorker("a");
  site.reports["a"];
  site.eligible = {"a", "b"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  spec.steps[0].long_running = true;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(1));
  REQUIRE(site.start_workers == std::vector<std::string>{"a"});
  site.AddWorker("b");
  site.reports["b"];
  const size_t asked = site.advice_calls.size();
  site.reports.erase("a");
  site.RunUntil(absl::Milliseconds(7050));
  CHECK(site.starts.size() == 1);
  CHECK(site.advice_calls.size() > asked);
  site.hold_advice = true;
  site.RunUntil(absl::Milliseconds(7400));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.start_workers[1] == "b");
}

TEST_CASE("job scheduler: a lagging leader starts few tasks at a time") {
  SchedulerDriver site(1);
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id), 64000);
    site.reports[std::string(1, id)];
  }
  // Uses nine jobs, since one step may not use all workers at once.
  JobSpec spec;
  spec.steps.push_back(OneTask(1000));
  spec.steps.back().count = 10;
  site.scheduler().SetLag(absl::Milliseconds(300));
  for (JobId job = 100; job < 109; ++job)
    site.scheduler().Submit(job, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(100));
  CHECK(site.starts.size() > 0);
  CHECK(site.starts.size() <= 20);
  site.scheduler().SetLag(absl::ZeroDuration());
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.starts.size() == 90);
}

TEST_CASE("job scheduler: a long-running task moves before its worker leaves") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(LongRunningTask());
  spec.steps.push_back(OneTask());  // Continues there until its end.
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.start_workers == std::vector<std::string>{"a", "a"});
  WorkerRecord leaving = SchedulerDriver::RecordOf("a", 8000);
  leaving.draining = true;
  leaving.leaves_in_ms = 9000;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  // The task keeps running while no other worker has capacity.
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.stops.empty());
  site.AddWorker("b");
  site.reports["b"];
  site.RunUntil(absl::Milliseconds(600));
  REQUIRE(site.stops.size() == 1);
  CHECK(site.stops[0].task == kTask);
  CHECK(site.starts.size() == 2);
  site.End("a", {1, kTask, site.stops[0].run, RunEnd::kStopped, ""});
  site.RunUntil(absl::Milliseconds(900));
  REQUIRE(site.starts.size() == 3);
  CHECK(site.starts[2].task == kTask);
  CHECK(site.start_workers[2] == "b");
}

// Returns the number of tasks that a lagging leader starts in one second while
// `jobs` jobs of four tasks wait and there is capacity for all.
size_t StartsInOneSecond(JobId jobs) {
  SchedulerDriver site(1);
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id), 64000);
    site.reports[std::string(1, id)];
  }
  JobSpec spec;
  spec.steps.push_back(OneTask());
  spec.steps.back().requested = {5, 1, 0};
  spec.steps.back().count = 4;
  for (JobId id = 1; id <= jobs; ++id)
    site.scheduler().Submit(id, "restore", spec, site.now());
  site.scheduler().SetLag(absl::Milliseconds(150));
  site.RunUntil(absl::Milliseconds(200));
  const size_t before = site.starts.size();
  site.RunUntil(absl::Milliseconds(1200));
  return site.starts.size() - before;
}

// The start rate of a leader must not fall with the size of the backlog, since
// it could then never reduce the backlog.
TEST_CASE(
    "job scheduler: the start rate does not fall with the size of the "
    "backlog") {
  const size_t some = StartsInOneSecond(300);
  const size_t many = StartsInOneSecond(2500);
  MESSAGE("tasks started in a second with 10,000 waiting (40 with the fault): ",
          many, "; with 1,200 waiting: ", some);
  CHECK(many >= 400);
  CHECK(static_cast<double>(many) >= 0.9 * static_cast<double>(some));
}

// No task can start, so a newly submitted job would wait indefinitely.
TEST_CASE(
    "job scheduler: a job that cannot begin in time is refused with a retry "
    "time") {
  SchedulerDriver site(1);
  JobSpec spec;
  spec.steps.push_back(OneTask());
  spec.steps.back().count = 10;
  for (JobId id = 1; id <= 200; ++id)
    site.scheduler().Submit(id, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Admit("restore", spec)->accept);
  site.RunUntil(absl::Seconds(3));
  const auto verdict = site.scheduler().Admit("restore", spec);
  REQUIRE(verdict.has_value());
  CHECK_FALSE(verdict->accept);
  CHECK(verdict->backlog == 2000);
  CHECK(verdict->retry_after >= absl::Seconds(1));
  CHECK_FALSE(site.scheduler().Admit("no such queue", spec).has_value());
}

// One of two services has far more work than capacity. Guards against a fault
// that left the workers of the other service idle for 30 s: the limit on advice
// requests was derived from the free capacity of the whole site, and the steps
// of the busy service came first.
TEST_CASE(
    "job scheduler: a step gets advice although another service has a "
    "backlog") {
  SchedulerDriver site(1);
  site.UseAdvice();
  auto configuration = std::make_shared<SiteConfiguration>();
  configuration->version = 3;
  Queue queue;
  queue.name = "restore";
  queue.pool = "pool";
  queue.max_attempts = 2;
  queue.advice = {true, 500, 8, 1500};
  configuration->queues.push_back(queue);
  queue.name = "render";
  queue.pool = "other";
  queue.priority = 1;
  configuration->queues.push_back(queue);
  site.scheduler().SetConfiguration(configuration);
  site.UseAdvisers(8);
  site.AddWorker("a");
  WorkerRecord other = SchedulerDriver::RecordOf("w", 8000);
  other.pool = "other";
  site.scheduler().OnWorkerRecord(other, site.now());
  for (const char* worker : {"a", "w"}) site.reports[worker];
  site.eligible = {"w"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec many;
  many.steps = {OneTask()};
  many.steps[0].count = 4;
  for (JobId job = 100; job < 160; ++job)
    site.scheduler().Submit(job, "restore", many, site.now());
  JobSpec large_task_job;
  large_task_job.steps = {OneTask(6000)};
  site.scheduler().Submit(kJob, "render", large_task_job, site.now());
  site.RunUntil(absl::Seconds(3));
  CHECK(site.start_workers == std::vector<std::string>{"w"});
}

// Steps ask only about workers on which they fit.
SchedulerPolicy NoExtraNames() {
  SchedulerPolicy policy;
  policy.name_extra_workers = false;
  return policy;
}

JobSpec WholeWorkerJob() {
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  return spec;
}

// Guards against a worker that seems larger than it is after an answer of
// before it was forgotten: more steps ask about it than fit.
TEST_CASE(
    "job scheduler: advice of before a worker was forgotten frees no capacity "
    "of the worker that was found again") {
  SchedulerDriver site(1, 2, NoExtraNames());
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(1, "restore", WholeWorkerJob(), site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.advice_calls.size() == 1);
  site.scheduler().OnWorkerRemoved("a");
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.forgotten_workers.size() == 1);
  site.AddWorker("a");
  site.AnswerHeldAdvice();
  // The first job may not run here, and does not ask again.
  for (JobId id = 2; id < 6; ++id)
    site.scheduler().Submit(id, "restore", WholeWorkerJob(), site.now());
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.advice_calls.size() == 2);
}

// Guards against a worker that seems full for good, because the answer names it
// by an id that it has no more.
TEST_CASE(
    "job scheduler: advice about a worker's name frees the capacity of its "
    "incarnation") {
  SchedulerDriver site(1, 2, NoExtraNames());
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(1, "restore", WholeWorkerJob(), site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.advice_calls.size() == 1);
  site.AddWorker("a@1000");
  site.reports["a@1000"];
  site.AnswerHeldAdvice();
  site.hold_advice = false;
  site.eligible = {"a@1000"};
  site.RunUntil(absl::Seconds(3));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.start_workers[0] == "a@1000");
}

}  // namespace
}  // namespace keelbridge::testing
