// Tests how the times of a scheduled job come and go while workers report.

#include <doctest/doctest.h>

#include <string>

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

}  // namespace
}  // namespace keelbridge::testing
