// In which order what waits is tried, on a site with more work than room.

#include <doctest/doctest.h>

#include <algorithm>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kSmallTakes = absl::Milliseconds(600);

// Small tasks take all room, and many more of them wait: some end now and then,
// never enough at a time for a task of three quarters of a worker.
//
// A task that lasts is late by the measure of tasks that end as soon as it has
// stood for longer than its objective. Tried behind all that is not late, it
// was away for 11 s and more, until the backlog was done, as a run of it failed
// (seen on a site of 48 workers with 4,500 tasks waiting).
TEST_CASE(
    "job scheduler: a lasting task whose run failed starts again on a site "
    "that is behind") {
  SchedulerDriver site(1);
  for (const char* worker : {"a", "b", "c"}) {
    site.AddWorker(worker);
    site.lists[worker];
  }
  site.RunUntil(absl::Milliseconds(100));
  JobSpec lasts;
  lasts.steps = {LastingTask()};
  lasts.steps[0].need.cpu_milli = 6000;
  site.scheduler().Submit(kJob, "restore", lasts, site.now());
  absl::Duration at = absl::Seconds(30);
  site.RunUntil(at);
  REQUIRE(site.starts.size() == 1);

  JobSpec small;
  small.steps = {OneTask()};
  for (JobId job = 100; job < 400; ++job)
    site.scheduler().Submit(job, "restore", small, site.now());
  const absl::Duration fails = at + absl::Seconds(1);
  const absl::Duration until = fails + absl::Seconds(3);
  int64_t ends = 0;
  bool failed = false;
  for (int turn = 0; at < until; ++turn) {
    at += kSmallTakes / 12;
    site.RunUntil(at);
    const std::string worker(1, static_cast<char>('a' + turn % 3));
    auto& running = site.lists[worker].running;
    const auto one =
        std::find_if(running.begin(), running.end(),
                     [](const auto& run) { return run.task.job != kJob; });
    if (one != running.end()) {
      const RunningTask run = *one;
      site.End(worker, {++ends, run.task, run.run, RunEnd::kDone, ""});
    }
    if (at >= fails && !failed) {
      failed = true;
      site.End(site.start_workers[0],
               {++ends, kTask, site.starts[0].run, RunEnd::kFailed, ""});
    }
  }
  CHECK(std::count_if(site.starts.begin(), site.starts.end(),
                      [](const auto& start) { return start.task == kTask; }) ==
        2);
}

}  // namespace
}  // namespace keelbridge::testing
