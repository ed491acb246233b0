// Tests starts that got no answer on sites where workers restart under their
// names.

#include <doctest/doctest.h>

#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kMaxOrderDelay = absl::Seconds(12);
constexpr absl::Duration kSubmittedAt = absl::Milliseconds(500);

// A site with the workers "a" and "b". The start of the only task is lost on
// its way to "a". If `restarts` is set, worker "c" has restarted under its name
// before.
class UnansweredStartFixture {
 public:
  UnansweredStartFixture(SchedulerDriver& site, const StepSpec& step,
                         bool restarts)
      : site_(site) {
    if (restarts) {
      site.AddWorker("c@1000", 100);
      site.AddWorker("c@2000", 100);
    }
    site.AddWorker("a@1000", 4000);
    site.reports["a@1000"];
    site.drops_starts.insert("a@1000");
    site.RunUntil(kSubmittedAt);
    JobSpec spec;
    spec.steps = {step};
    site.scheduler().Submit(kJob, "restore", spec, site.now());
    site.RunUntil(kSubmittedAt + absl::Milliseconds(100));
    REQUIRE(site.lost_starts.size() == 1);
    site.AddWorker("b@1000");
    site.reports["b@1000"];
  }

  // From now on starts reach the worker.
  void AcceptStarts() { site_.drops_starts.clear(); }

 private:
  SchedulerDriver& site_;
};

TEST_CASE(
    "job scheduler: a start without an answer keeps its task off other workers "
    "where workers restart") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, OneTask(), /*restarts=*/true);
  site.RunUntil(kSubmittedAt + kMaxOrderDelay - absl::Milliseconds(100));
  CHECK(site.starts.empty());
  site.RunUntil(kSubmittedAt + kMaxOrderDelay + absl::Seconds(1));
  CHECK(site.starts.size() + site.lost_starts.size() > 1);
}

TEST_CASE(
    "job scheduler: a start without an answer delays nothing where no worker "
    "restarts") {
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, OneTask(), /*restarts=*/false);
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
  SchedulerDriver site(1);
  UnansweredStartFixture workers(site, LongRunningTask(), /*restarts=*/true);
  workers.AcceptStarts();
  site.RunUntil(kSubmittedAt + absl::Seconds(2));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.start_workers[0] == "a@1000");
  CHECK(site.starts[0].run > site.lost_starts[0].run);
}

TEST_CASE(
    "job scheduler: a later leader waits for an earlier one's start without an "
    "answer") {
  SchedulerDriver first(1);
  UnansweredStartFixture workers(first, OneTask(), /*restarts=*/true);
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

}  // namespace
}  // namespace keelbridge::testing
