// Tests the order in which waiting steps are placed on a site with more work
// than capacity.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kSmallTaskDuration = absl::Milliseconds(600);

StepSpec LargeLongRunningTask() {
  StepSpec step = LongRunningTask();
  step.requested.cpu_milli = 6000;
  return step;
}

// Small tasks fill all workers, and many more of them wait. Some end now and
// then, but never enough at a time for a task that needs three quarters of a
// worker.
class BackloggedSite {
 public:
  explicit BackloggedSite(SchedulerDriver& site) : site_(site) {
    JobSpec small;
    small.steps = {OneTask()};
    for (JobId job = 100; job < 400; ++job)
      site.scheduler().Submit(job, "restore", small, site.now());
  }

  // Runs from `from` to `until`, and ends one small task every 50 ms.
  void Run(absl::Duration from, absl::Duration until) {
    for (absl::Duration at = from; at < until;) {
      at += kSmallTaskDuration / 12;
      site_.RunUntil(at);
      const std::string worker(1, static_cast<char>('a' + turn_++ % 3));
      auto& running = site_.reports[worker].running;
      const auto one =
          std::find_if(running.begin(), running.end(),
                       [](const auto& run) { return run.task.job != kJob; });
      if (one == running.end()) continue;
      const RunningTask run = *one;
      site_.End(worker, {++ends_, run.task, run.run, RunEnd::kDone, ""});
    }
  }

  void FailLongRunning() {
    site_.End(site_.start_workers[0],
              {++ends_, kTask, site_.starts[0].run, RunEnd::kFailed, ""});
  }

  int64_t StartsOfLongRunning() const {
    return std::count_if(site_.starts.begin(), site_.starts.end(),
                         [](const auto& one) { return one.task == kTask; });
  }

 private:
  SchedulerDriver& site_;
  int64_t ends_ = 0;
  int turn_ = 0;
};

void AddWorkers(SchedulerDriver& site) {
  for (const char* worker : {"a", "b", "c"}) {
    site.AddWorker(worker);
    site.reports[worker];
  }
}

// A long-running task counts as late, by the objective of tasks that end, as
// soon as it has existed for longer than its objective. If it were placed after
// all timely tasks, it would be down until the backlog is done: 11 s and more
// after a failed run on a site of 48 workers with 4,500 waiting tasks.
TEST_CASE(
    "job scheduler: a long-running task whose run failed restarts on a site "
    "with a backlog") {
  SchedulerDriver site(1);
  AddWorkers(site);
  site.RunUntil(absl::Milliseconds(100));
  JobSpec long_running;
  long_running.steps = {LargeLongRunningTask()};
  site.scheduler().Submit(kJob, "restore", long_running, site.now());
  site.RunUntil(absl::Seconds(30));
  REQUIRE(site.starts.size() == 1);
  BackloggedSite backlogged(site);
  backlogged.Run(absl::Seconds(30), absl::Seconds(31));
  backlogged.FailLongRunning();
  backlogged.Run(absl::Seconds(31), absl::Seconds(34));
  CHECK(backlogged.StartsOfLongRunning() == 2);
}

// A later leader does not know whether the task has run: after a refused start
// no placement is recorded. The fault left the task down for 48 s.
TEST_CASE(
    "job scheduler: a long-running task that a later leader finds down starts "
    "on a site with a backlog") {
  SchedulerDriver site(2);
  site.Recover(LargeLongRunningTask());
  site.RunUntil(absl::Seconds(30));
  BackloggedSite backlogged(site);
  AddWorkers(site);
  backlogged.Run(absl::Seconds(30), absl::Seconds(33));
  CHECK(backlogged.StartsOfLongRunning() == 1);
}

// Runs for two seconds with an event at every tick. Returns the number of
// placement passes.
int64_t PassesInTwoSeconds(SchedulerDriver& site, JobId* next) {
  const absl::Duration begin = site.now().mono - kBegin;
  const int64_t before = site.scheduler().figures().placement_passes;
  JobSpec spec;
  spec.steps = {OneTask()};
  while (site.now().mono - kBegin < begin + absl::Seconds(2)) {
    site.scheduler().Submit((*next)++, "restore", spec, site.now());
    site.RunUntil(site.now().mono - kBegin + absl::Milliseconds(20));
  }
  return site.scheduler().figures().placement_passes - before;
}

// Guards against placement passes that use all of the leader's time when
// processor time is scarce.
TEST_CASE(
    "job scheduler: placement passes leave most of a slow leader's time to "
    "other work") {
  SchedulerDriver site(1);
  AddWorkers(site);
  JobId next = 100;
  PassesInTwoSeconds(site, &next);
  CHECK(PassesInTwoSeconds(site, &next) > 50);
  site.tick_duration = absl::Milliseconds(50);
  CHECK(PassesInTwoSeconds(site, &next) <= 2000 / (3 * 50) + 7);
  // The leader is paused during its ticks; it still has to place tasks.
  site.tick_duration = absl::Seconds(10);
  CHECK(PassesInTwoSeconds(site, &next) >= 9);
}

// Guards against a leader that spends half of its placement passes on late
// jobs, which gain nothing from an early start.
TEST_CASE("job scheduler: late jobs use little of a leader's time") {
  constexpr int kLateJobs = 200;
  SchedulerDriver site(1);
  AddWorkers(site);
  JobSpec spec;
  spec.steps = {OneTask(8000)};
  JobId next = 100;
  for (int i = 0; i < kLateJobs + 3; ++i)
    site.scheduler().Submit(next++, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(30));
  REQUIRE(site.starts.size() == 3);
  const int64_t before = site.scheduler().figures().late_steps_examined;
  CHECK(PassesInTwoSeconds(site, &next) > 50);
  const int64_t late = site.scheduler().figures().late_steps_examined - before;
  CHECK(late >= 10 * kLateJobs);
  // Late steps are examined every 100 ms. The jobs submitted in the meantime
  // are late at the end, too.
  CHECK(late <= 21 * (kLateJobs + 100));
}

}  // namespace
}  // namespace keelbridge::testing
