// Whom the scheduler asks for advice, and what it starts, moves and holds back.

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
    "job scheduler: a gang whose good workers are full asks about others") {
  SchedulerDriver site(1);
  site.UseAdvice();
  for (const char* id : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "z"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  site.good = {"a", "b", "z"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec gang;
  gang.steps.push_back(OneTask(8000));
  gang.steps[0].gang = true;
  JobSpec filler;
  filler.steps.push_back(OneTask(8000));
  // While the answer is on its way, others take both workers that it will name.
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

TEST_CASE("job scheduler: advice is asked only for work that has room") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (const char* id : {"a", "b", "c", "d"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  // Each worker has room for one task at a time: 4 of 40 jobs.
  for (JobId id = 100; id < 140; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.advice_calls.size() >= 1);
  CHECK(site.advice_calls.size() <= 8);
}

TEST_CASE("job scheduler: steps that ask at once hope for different workers") {
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

TEST_CASE("job scheduler: steps that ask at once ask about different workers") {
  // Where all workers are named by each call, only their hopes differ.
  SchedulerPolicy few_named;
  few_named.name_by_cost = false;
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
    "job scheduler: a step whose workers have no room does not ask on and on") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  // No worker may run it: all are asked about once, and not each turn again.
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  site.scheduler().Submit(100, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(2));
  CHECK(site.advice_calls.size() <= 6);
}

// Seen in a simulated run: a worker was gone at 37.8 s, its lease over at 47.8
// s, and the advice for where its tasks could go came at 48.6 s.
TEST_CASE(
    "job scheduler: a lasting task on a silent worker starts again as soon as "
    "its lease has passed") {
  SchedulerDriver site(1);
  site.UseAdvice();
  site.UseAdvisers(9);
  site.AddWorker("a");
  site.reports["a"];
  site.good = {"a", "b"};
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

TEST_CASE("job scheduler: a leader that is late starts little at a time") {
  SchedulerDriver site(1);
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id), 64000);
    site.reports[std::string(1, id)];
  }
  // In nine jobs: one step may not take all workers at once.
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

TEST_CASE("job scheduler: a lasting task moves before its worker leaves") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(LongRunningTask());
  spec.steps.push_back(OneTask());  // Runs on to its end there.
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.start_workers == std::vector<std::string>{"a", "a"});
  WorkerRecord leaving = SchedulerDriver::RecordOf("a", 8000);
  leaving.draining = true;
  leaving.leaves_in_ms = 9000;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  // Without room elsewhere it stays at work.
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

// Tasks that a late leader starts in a second, with so many jobs of four tasks
// waiting and room for all.
size_t StartsInOneSecond(JobId jobs) {
  SchedulerDriver site(1);
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id), 64000);
    site.reports[std::string(1, id)];
  }
  JobSpec spec;
  spec.steps.push_back(OneTask());
  spec.steps.back().need = {5, 1, 0};
  spec.steps.back().count = 4;
  for (JobId id = 1; id <= jobs; ++id)
    site.scheduler().Submit(id, "restore", spec, site.now());
  site.scheduler().SetLag(absl::Milliseconds(150));
  site.RunUntil(absl::Milliseconds(200));
  const size_t before = site.starts.size();
  site.RunUntil(absl::Milliseconds(1200));
  return site.starts.size() - before;
}

// What a leader carries must not fall with what waits: it would never get rid
// of a backlog.
TEST_CASE("job scheduler: a leader that is behind starts no less for it") {
  const size_t some = StartsInOneSecond(300);
  const size_t many = StartsInOneSecond(2500);
  MESSAGE("started in a second with 10,000 tasks waiting: 40 before, ", many,
          " after; with 1,200: ", some);
  CHECK(many >= 400);
  CHECK(static_cast<double>(many) >= 0.9 * static_cast<double>(some));
}

// Nothing can start: a job that is handed in now would wait for ever.
TEST_CASE("job scheduler: what cannot begin in time is refused, with a time") {
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

// Two services, of which one has far more work than room: the other's workers
// stood idle for 30 s, since advice for all steps was asked as far as the free
// room of the whole site went, and what waits for the busy one came first.
TEST_CASE(
    "job scheduler: a step is asked about though another service is behind") {
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
  site.good = {"w"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec many;
  many.steps = {OneTask()};
  many.steps[0].count = 4;
  for (JobId job = 100; job < 160; ++job)
    site.scheduler().Submit(job, "restore", many, site.now());
  JobSpec wide;
  wide.steps = {OneTask(6000)};
  site.scheduler().Submit(kJob, "render", wide, site.now());
  site.RunUntil(absl::Seconds(3));
  CHECK(site.start_workers == std::vector<std::string>{"w"});
}

}  // namespace
}  // namespace keelbridge::testing
