// Tests starts that got no answer.

#include <doctest/doctest.h>

#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kMaxOrderDelay = absl::Seconds(12);
constexpr absl::Duration kMaxLease = absl::Milliseconds(6300);
constexpr absl::Duration kSubmittedAt = absl::Milliseconds(500);

// What the leader knows of restarts under the same name.
enum class Restarts {
  kImpossible,  // Each incarnation has a name of its own.
  kNoneSeen,
  kSeen,  // Worker "c" has restarted under its name.
};

// A site with the workers "a" and "b". The start of the only task is lost on
// its way to "a".
class UnansweredStartFixture {
 public:
  UnansweredStartFixture(SchedulerDriver& site, const StepSpec& step,
                         Restarts restarts)
      : site_(site),
        a_(restarts == Restarts::kImpossible ? "a" : "a@1000"),
        b_(restarts == Restarts::kImpossible ? "b" : "b@1000") {
    if (restarts == Restarts::kSeen) {
      site.AddWorker("c@1000", 100);
      site.AddWorker("c@2000", 100);
    }
    site.AddWorker(a_, 4000);
    site.reports[a_];
    site.drops_starts.insert(a_);
    site.RunUntil(kSubmittedAt);
    JobSpec spec;
    spec.steps = {step};
    site.scheduler().Submit(kJob, "restore", spec, site.now());
    site.RunUntil(kSubmittedAt + absl::Milliseconds(100));
    REQUIRE(site.lost_starts.size() == 1);
    site.AddWorker(b_);
    site.reports[b_];
  }

  // From now on starts reach the worker.
  void AcceptStarts() { site_.drops_starts.clear(); }
  // Worker "a" answers nothing from now on.
  void Silence() { site_.reports.erase(a_); }

 private:
  SchedulerDriver& site_;
  const std::string a_;
  const std::string b_;
};

// Checks that the task starts nowhere until the order can no longer be carried
// out, and then does.
void CheckWaitsForOrder(SchedulerDriver& site,
                        UnansweredStartFixture& workers) {
  workers.AcceptStarts();
  site.RunUntil(kSubmittedAt + kMaxOrderDelay - absl::Milliseconds(100));
  CHECK(site.starts.empty());
  site.RunUntil(kSubmittedAt + kMaxOrderDelay + absl::Seconds(1));
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a start without an answer keeps its task off other workers "
    "where workers restart") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, OneTask(), Restarts::kSeen);
  CheckWaitsForOrder(site, workers);
}

// The first restart may follow the order, and the next incarnation may carry
// out the order before the leader learns of it.
TEST_CASE(
    "job scheduler: a start without an answer keeps its task off other workers "
    "before any worker was seen to restart") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, OneTask(), Restarts::kNoneSeen);
  CheckWaitsForOrder(site, workers);
}

TEST_CASE(
    "job scheduler: a start without an answer delays nothing where each "
    "incarnation of a worker has a name of its own") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, OneTask(), Restarts::kImpossible);
  workers.AcceptStarts();
  site.RunUntil(kSubmittedAt + absl::Seconds(1));
  CHECK(site.starts.size() == 1);
}

// Users of a long-running task must not wait until the order can no longer be
// carried out. The task can restart at once on its own worker, which drops the
// order once it has received a later run.
TEST_CASE(
    "job scheduler: a long-running task whose start had no answer starts again "
    "on the same worker") {
  for (const Restarts restarts : {Restarts::kSeen, Restarts::kNoneSeen}) {
    SchedulerDriver site(1);
    UnansweredStartFixture workers(site, LongRunningTask(), restarts);
    workers.AcceptStarts();
    site.RunUntil(kSubmittedAt + absl::Seconds(2));
    REQUIRE(site.starts.size() == 1);
    CHECK(site.start_workers[0] == "a@1000");
    CHECK(site.starts[0].run > site.lost_starts[0].run);
  }
}

// Guards against a double start: the next incarnation of the worker has carried
// out the first order, and the task's second run was lost with the one before.
TEST_CASE(
    "job scheduler: a long-running task does not start beside its run of a "
    "late order") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, LongRunningTask(), Restarts::kSeen);
  workers.AcceptStarts();
  site.RunUntil(kSubmittedAt + absl::Milliseconds(500));
  REQUIRE(site.starts.size() == 1);
  REQUIRE(site.start_workers[0] == "a@1000");
  site.next_incarnations["a@1000"] = "a@2000";
  site.reports["a@2000"].running.push_back(
      {kTask, site.lost_starts[0].run, "", 0});
  site.AddWorker("a@2000", 4000);
  site.RunUntil(kSubmittedAt + absl::Seconds(1));
  CHECK(site.starts.size() == 1);
  site.RunUntil(kSubmittedAt + absl::Seconds(3));
  CHECK(site.reports["a@2000"].ended.size() == 1);
  CHECK(site.starts.size() == 2);
}

// A worker that answers nothing is most likely cut off. Users of a long-running
// task must not wait for longer than its lease.
TEST_CASE(
    "job scheduler: a long-running task does not wait for the order to a "
    "silent worker before any worker was seen to restart") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, LongRunningTask(), Restarts::kNoneSeen);
  workers.Silence();
  site.RunUntil(kSubmittedAt + kMaxLease + absl::Seconds(1));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.start_workers[0] == "b@1000");
}

TEST_CASE(
    "job scheduler: a later leader waits for an earlier one's start without an "
    "answer") {
  SchedulerDriver first(1);
  UnansweredStartFixture workers(first, OneTask(), Restarts::kSeen);
  SchedulerDriver second(2);
  second.TakeOver(first);
  for (const char* worker : {"a@1000", "b@1000"}) {
    second.AddWorker(worker);
    second.reports[worker];
  }
  second.reports["c@2000"];
  second.RunUntil(kMaxOrderDelay - absl::Seconds(1));
  CHECK(second.starts.empty());
  second.RunUntil(kMaxOrderDelay + absl::Seconds(8));
  CHECK(second.starts.size() == 1);
}

// Guards against a wait that begins anew with each leader: the earlier one knew
// until when its order can be carried out.
TEST_CASE(
    "job scheduler: a later leader does not begin the wait for an earlier "
    "one's "
    "start anew") {
  constexpr absl::Duration kWaited = absl::Seconds(5);
  SchedulerDriver first(1);
  UnansweredStartFixture workers(first, OneTask(), Restarts::kSeen);
  first.RunUntil(kSubmittedAt + kWaited);
  REQUIRE(first.starts.empty());
  SchedulerDriver second(2);
  second.HearClockOf(first);
  second.TakeOver(first);
  for (const char* worker : {"a@1000", "b@1000"}) {
    second.AddWorker(worker);
    second.reports[worker];
  }
  second.reports["c@2000"];
  second.RunUntil(kMaxOrderDelay - kWaited - absl::Milliseconds(100));
  CHECK(second.starts.empty());
  second.RunUntil(kMaxOrderDelay - kWaited + absl::Seconds(1));
  CHECK(second.starts.size() == 1);
}

// The order of the first leader is too old to be carried out, and the run that
// followed it went on for long.
TEST_CASE(
    "job scheduler: a long-running task does not wait under a later leader for "
    "an order that was too old under the earlier one") {
  SchedulerDriver first(1);
  UnansweredStartFixture workers(first, LongRunningTask(), Restarts::kSeen);
  workers.AcceptStarts();
  first.RunUntil(kSubmittedAt + kMaxOrderDelay + absl::Seconds(8));
  REQUIRE(first.start_workers == std::vector<std::string>{"a@1000"});

  SchedulerDriver second(2);
  second.TakeOver(first);
  for (const char* worker : {"a@1000", "b@1000"}) {
    second.AddWorker(worker, 4000);
    second.reports[worker];
  }
  second.reports["c@2000"];
  second.reports["a@1000"].ended = {
      {1, kTask, first.starts[0].run, RunEnd::kFailed, ""}};
  // Worker "a" takes no more tasks.
  WorkerRecord leaving = SchedulerDriver::RecordOf("a@1000", 4000);
  leaving.draining = true;
  second.scheduler().OnWorkerRecord(leaving, second.now());
  second.RunUntil(absl::Seconds(3));
  CHECK(second.start_workers == std::vector<std::string>{"b@1000"});
}

}  // namespace
}  // namespace keelbridge::testing
