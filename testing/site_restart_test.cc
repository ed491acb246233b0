// Workers that start again under the id that they had, as real processes meet
// them: no end is dropped unheard, no run that is gone is taken to go on.

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kWorkers = 2;

SiteCell::Options TwoWorkers() {
  SiteCell::Options options;
  options.proxies = true;
  options.platform.workers = kWorkers;
  options.platform.advice = false;
  return options;
}

void RestartAll(SiteCell& cell, absl::Duration down) {
  cell.WithPlatform([down](SitePlatform& platform) {
    for (int worker = 0; worker < kWorkers; ++worker)
      platform.RestartWorker(worker, down);
  });
}

void CheckNoFaults(SiteCell& cell) {
  const std::vector<std::string> faults = cell.Faults();
  CAPTURE(absl::StrJoin(faults, "\n"));
  CHECK(faults.empty());
}

TEST_CASE("site restart: no end of a worker's next life is dropped unheard") {
  SiteCell cell(TwoWorkers());
  REQUIRE(cell.AwaitReady(3));
  for (uint64_t job = 1; job <= 4; ++job) {
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(16, 100)));
    REQUIRE(cell.AwaitState(job, "completed"));
  }
  RestartAll(cell, absl::Milliseconds(300));
  absl::SleepFor(absl::Milliseconds(500));
  REQUIRE(cell.SubmitAnywhere(5, SiteCell::OneStep(12, 300)));
  CHECK(cell.AwaitState(5, "completed"));
  CHECK(cell.RunCount() == 4 * 16 + 12);
  CheckNoFaults(cell);
}

TEST_CASE("site restart: what was lost with a worker's life is started again") {
  SiteCell cell(TwoWorkers());
  REQUIRE(cell.AwaitReady(3));
  absl::SleepFor(absl::Seconds(8));  // A clock that the next lives lack.
  REQUIRE(cell.SubmitAnywhere(1, SiteCell::OneStep(6, 2000)));
  absl::SleepFor(absl::Seconds(1));
  RestartAll(cell, absl::Milliseconds(300));
  const absl::Time restarted = absl::Now();
  CHECK(cell.AwaitState(1, "completed"));
  // Until they are back, until that is noticed, and their work.
  CHECK(absl::Now() - restarted < absl::Seconds(5));
  CheckNoFaults(cell);
}

TEST_CASE(
    "site restart: a task that crashes its worker each time is given up") {
  SiteCell::Options options = TwoWorkers();
  options.platform.crashed_keep_id = true;
  SiteCell cell(options);
  REQUIRE(cell.AwaitReady(3));
  REQUIRE(cell.SubmitAnywhere(1, SiteCell::CrashingTasks(1)));
  CHECK(cell.AwaitState(1, "failed"));
  CHECK(cell.RunCount() <= 4);
  CheckNoFaults(cell);
}

}  // namespace
}  // namespace keelbridge::testing
