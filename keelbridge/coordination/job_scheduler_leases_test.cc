// Tests when a leader may consider runs of an earlier leader as ended.

#include <doctest/doctest.h>

#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

TEST_CASE(
    "job scheduler: a run adopted from an earlier leader is not abandoned "
    "before that leader's lease has expired") {
  SchedulerDriver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  site.reports["a"].running = {{kTask, 1, "", 10}};
  site.reports["b"];
  // Each worker answers one observation, then "a" stops responding.
  site.scheduler().Tick(site.now());
  for (const Action& action : site.scheduler().TakeActions()) {
    if (const auto* observe_action = std::get_if<ObserveAction>(&action)) {
      ObserveReply reply = site.reports[observe_action->worker.id];
      reply.order.result = OrderResult::kDone;
      reply.order.clock_ms = 1000;
      site.scheduler().OnObserveReply(*observe_action, reply, site.now().mono,
                                      site.now());
    }
  }
  site.reports.erase("a");
  site.RunUntil(absl::Milliseconds(5900));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(14));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.start_workers[0] == "b");
}

TEST_CASE(
    "job scheduler: runs of unknown size reserve all capacity until the last "
    "has ended") {
  SchedulerDriver site(2);
  JobTable jobs;
  auto ended = std::make_unique<Job>(5, "restore", JobSpec(), 0);
  ended->end = JobState::kCancelled;
  jobs.emplace(5, std::move(ended));
  site.scheduler().Load(std::move(jobs), {}, site.now());
  site.AddWorker("a");
  site.reports["a"].running = {{{5, 0, 0, 0}, 1, "", 0},
                               {{5, 0, 0, 1}, 1, "", 0}};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask(6000));
  site.scheduler().Submit(9, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  site.reports["a"].running.erase(site.reports["a"].running.begin());
  site.reports["a"].ended = {{1, {5, 0, 0, 0}, 1, RunEnd::kStopped, ""}};
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.starts.empty());
  site.reports["a"].running.clear();
  site.reports["a"].ended.push_back({2, {5, 0, 0, 1}, 1, RunEnd::kStopped, ""});
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a task that an earlier leader cannot have started does not "
    "wait for workers that are gone") {
  SchedulerDriver site(2);
  JobSpec two;
  two.steps = {OneTask(), OneTask()};
  two.steps[1].after = {0};
  JobSpec one;
  one.steps = {OneTask()};
  JobTable jobs;
  for (const auto& [id, spec] :
       std::map<JobId, JobSpec>{{kJob, two}, {8, one}}) {
    auto job = std::make_unique<Job>(id, "restore", spec, 0);
    job->AddRound(0);
    job->recovered = true;
    jobs.emplace(id, std::move(job));
  }
  WorkerRecord gone;
  gone.id = "gone";
  gone.machine = "m-gone";
  gone.pool = "pool";
  gone.capacity = {8000, 8192, 0};
  site.scheduler().Load(std::move(jobs), {{gone, 1}}, site.now());
  site.AddWorker("a");
  site.reports["a"].running = {{kTask, 1, "", 50}};
  site.RunUntil(absl::Milliseconds(300));
  CHECK(site.starts.empty());
  // The first step ends under this leader, so no earlier leader can have
  // started the second step.
  site.reports["a"].running.clear();
  site.reports["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.starts[0].task == TaskId{kJob, 0, 1, 0});
  // The other job may run on the worker that is gone until its lease expires.
  site.RunUntil(absl::Seconds(9));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.starts[1].task.job == 8);
}

TEST_CASE(
    "job scheduler: a lingering record of an earlier incarnation does not end "
    "the current incarnation") {
  SchedulerDriver site(2);
  JobSpec spec;
  spec.steps = {OneTask()};
  JobTable jobs;
  auto job = std::make_unique<Job>(kJob, "restore", spec, 0);
  job->AddRound(0);
  job->recovered = true;
  jobs.emplace(kJob, std::move(job));
  WorkerRecord current;
  current.id = "new-life";
  current.machine = "m";
  current.address = "10.0.0.1:1";
  current.pool = "pool";
  current.capacity = {8000, 8192, 0};
  site.scheduler().Load(std::move(jobs), {{current, 1}}, site.now());
  site.AddWorker("other");
  site.reports["other"];
  // The platform still lists the previous incarnation, and only that one.
  WorkerRecord gone = current;
  gone.id = "old-life";
  site.scheduler().OnWorkerRecord(gone, site.now());
  site.other_incarnations.insert("old-life");
  site.RunUntil(absl::Seconds(1));
  // The current incarnation answers late, and runs the task.
  CHECK(site.starts.empty());
  site.reports["new-life"].running = {{kTask, 1, "", 50}};
  site.RunUntil(absl::Seconds(5));
  CHECK(site.starts.empty());
}

TEST_CASE(
    "job scheduler: a run whose end does not fit into a report is not "
    "missing") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
  // The run has ended, and its end comes after those that the report contains.
  site.reports["a"].running.clear();
  site.reports["a"].more_ends = true;
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.size() == 1);
  site.reports["a"].more_ends = false;
  site.reports["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a worker with more ends than it reported is not accounted "
    "for") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("a", 8000), 1},
                           {SchedulerDriver::RecordOf("b", 8000), 1}});
  site.AddWorker("a");
  site.AddWorker("b");
  site.reports["b"];
  // The end of the recovered task comes after those that were reported.
  site.reports["a"].ended = {{1, {99, 0, 0, 0}, 1, RunEnd::kDone, ""}};
  site.reports["a"].more_ends = true;
  site.RunUntil(absl::Milliseconds(300));
  CHECK(site.starts.empty());
  site.reports["a"].ended = {{2, kTask, 1, RunEnd::kDone, ""}};
  site.reports["a"].more_ends = false;
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.starts.empty());
}

// The earlier leaders that were asked whether they have stopped may not be all
// earlier leaders.
TEST_CASE(
    "job scheduler: leases from before the fence count from the fence, even if "
    "earlier leaders have stopped") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("gone", 8000), 1}});
  site.AddWorker("a");
  site.AddWorker("gone");  // Never answers.
  site.reports["a"];
  site.scheduler().OnEarlierLeadersFenced(kBegin + absl::Seconds(4));
  site.RunUntil(absl::Milliseconds(9900));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(12));
  CHECK(site.starts.size() == 1);
}

// A leader that was suspended gave its last order long before it answered
// again.
TEST_CASE(
    "job scheduler: leases of an earlier leader count from its last order") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("gone", 8000), 1}});
  site.AddWorker("a");
  site.reports["a"];
  JobScheduler& scheduler = site.scheduler();
  scheduler.OnEarlierLeadersFenced(kBegin + absl::Milliseconds(800));
  site.RunUntil(absl::Seconds(4));
  scheduler.OnEarlierLeadersStopped(kBegin);
  site.RunUntil(absl::Milliseconds(7000));
  CHECK(site.starts.empty());
  // 0.8 s until the fence, and 6.2 s for a lease on a slow clock.
  site.RunUntil(absl::Milliseconds(7300));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

// The worker answered leader 1 last and then ended. It never answered leaders 2
// and 3, so they extended no lease there. Leader 4 waits only for the lease
// from leader 1, which leader 2 fenced 5 s earlier.
TEST_CASE(
    "job scheduler: the lease of an unresponsive worker does not start again "
    "with each leader") {
  SchedulerDriver site(4);
  site.Recover(LongRunningTask(),
               {{SchedulerDriver::RecordOf("ended", 8000), 1}});
  site.scheduler().OnEarlierLeaderSeen(2, kBegin - absl::Seconds(5));
  site.scheduler().OnEarlierLeaderSeen(3, kBegin - absl::Seconds(1));
  site.scheduler().OnEarlierLeadersFenced(kBegin + absl::Seconds(6));
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(7100));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Milliseconds(7500));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

// The worker answered leader 3, which may have extended the lease until that
// leader was fenced.
TEST_CASE(
    "job scheduler: a lease that the last leader may have extended is waited "
    "for") {
  SchedulerDriver site(4);
  site.Recover(LongRunningTask(),
               {{SchedulerDriver::RecordOf("ended", 8000), 3}});
  site.scheduler().OnEarlierLeaderSeen(2, kBegin - absl::Seconds(5));
  site.scheduler().OnEarlierLeaderSeen(3, kBegin - absl::Seconds(1));
  site.scheduler().OnEarlierLeadersFenced(kBegin + absl::Seconds(6));
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Seconds(12));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(13));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

TEST_CASE(
    "job scheduler: a lease is extended only once the worker's record is "
    "durable") {
  JobScheduler scheduler(JobScheduler::Options(), 2, kBegin);
  scheduler.Load({}, {{SchedulerDriver::RecordOf("a", 8000), 1}},
                 {kBegin, kBegin});
  scheduler.OnWorkerRecord(SchedulerDriver::RecordOf("a", 8000),
                           {kBegin, kBegin});
  ObserveReply reply;
  reply.order.result = OrderResult::kDone;
  const auto extends = [&](absl::Duration after) {
    const Now now{kBegin + after, kBegin + after};
    scheduler.Tick(now);
    for (const Action& action : scheduler.TakeActions()) {
      const auto* observe_action = std::get_if<ObserveAction>(&action);
      if (observe_action == nullptr) continue;
      reply.order.clock_ms = absl::ToInt64Milliseconds(after);
      scheduler.OnObserveReply(*observe_action, reply, now.mono, now);
      return observe_action->order.lease_until_ms > 0;
    }
    return false;
  };
  CHECK_FALSE(extends(absl::Milliseconds(10)));  // The clock is unknown.
  CHECK_FALSE(extends(absl::Milliseconds(400)));
  const JobScheduler::Batch batch = scheduler.TakeBatch();
  REQUIRE(batch.records.size() == 1);
  CHECK(ParseKnownWorker(batch.records[0])->epoch == 2);
  scheduler.OnDurable(batch.number);
  CHECK(extends(absl::Milliseconds(800)));
}

TEST_CASE("known workers: a record without an epoch may be of any leader") {
  const KnownWorker known{SchedulerDriver::RecordOf("a", 8000), 7};
  CHECK(ParseKnownWorker(KnownWorkerRecord(known))->epoch == 7);
  const auto old = ParseKnownWorker(Record{KnownWorkerKey("a"), "{}", -1});
  REQUIRE(old.has_value());
  CHECK(old->epoch == std::numeric_limits<int64_t>::max());
}

// The next leader waits for each worker that is recorded when a leader ends.
TEST_CASE(
    "job scheduler: the record of a worker that left with nothing running is "
    "dropped at once") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.AddWorker("b");
  site.reports["a"];
  site.reports["b"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.start_workers.size() == 1);
  const std::string busy = site.start_workers[0];
  const std::string idle = busy == "a" ? "b" : "a";
  for (const std::string& worker : {busy, idle}) {
    site.scheduler().OnWorkerRemoved(worker);
    site.reports.erase(worker);
  }
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.forgotten_workers == std::vector<std::string>{idle});
  // The run on the busy worker may go on until the lease expires.
  site.RunUntil(absl::Seconds(6));
  CHECK(site.forgotten_workers.size() == 1);
  site.RunUntil(absl::Seconds(8));
  CHECK(site.forgotten_workers == std::vector<std::string>{idle, busy});
}

}  // namespace
}  // namespace keelbridge::testing
