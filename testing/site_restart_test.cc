// Tests with real processes of workers that restart under their previous id: no
// ended run is lost, and no run that the restart killed is taken for a running
// one.

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kWorkers = 2;

SiteTestCluster::Options TwoWorkerOptions() {
  SiteTestCluster::Options options;
  options.proxies = true;
  options.platform.workers = kWorkers;
  options.platform.advice = false;
  return options;
}

void RestartAll(SiteTestCluster& cluster, absl::Duration down) {
  cluster.WithPlatform([down](SitePlatform& platform) {
    for (int worker = 0; worker < kWorkers; ++worker)
      platform.RestartWorker(worker, down);
  });
}

void CheckNoViolations(SiteTestCluster& cluster) {
  const std::vector<std::string> violations = cluster.Violations();
  CAPTURE(absl::StrJoin(violations, "\n"));
  CHECK(violations.empty());
}

TEST_CASE("site restart: no end in a worker's next incarnation is lost") {
  SiteTestCluster cluster(TwoWorkerOptions());
  REQUIRE(cluster.AwaitReady(3));
  for (uint64_t job = 1; job <= 4; ++job) {
    REQUIRE(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(16, 100)));
    REQUIRE(cluster.AwaitState(job, "completed"));
  }
  RestartAll(cluster, absl::Milliseconds(300));
  absl::SleepFor(absl::Milliseconds(500));
  REQUIRE(cluster.SubmitAnywhere(5, SiteTestCluster::OneStepJob(12, 300)));
  CHECK(cluster.AwaitState(5, "completed"));
  CHECK(cluster.RunCount() == 4 * 16 + 12);
  CheckNoViolations(cluster);
}

TEST_CASE("site restart: runs lost with a worker's incarnation start again") {
  SiteTestCluster cluster(TwoWorkerOptions());
  REQUIRE(cluster.AwaitReady(3));
  // Makes sure that the clocks of these incarnations are ahead of those of the
  // next ones.
  absl::SleepFor(absl::Seconds(8));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(6, 2000)));
  absl::SleepFor(absl::Seconds(1));
  RestartAll(cluster, absl::Milliseconds(300));
  const absl::Time restarted = absl::Now();
  CHECK(cluster.AwaitState(1, "completed"));
  // Covers the restart, its detection and the repeated work.
  CHECK(absl::Now() - restarted < absl::Seconds(5));
  CheckNoViolations(cluster);
}

// The order to start the task gets no answer and reaches the next incarnation
// before any node does. No worker has restarted before.
TEST_CASE(
    "site restart: an order that comes late to the next incarnation runs no "
    "task twice") {
  SiteTestCluster cluster(TwoWorkerOptions());
  REQUIRE(cluster.AwaitReady(3));
  cluster.WithPlatform(
      [](SitePlatform& platform) { platform.DelayNextStartToRestart(); });
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(1, 300)));
  // Enough time for another run of the task, if one starts too soon.
  cluster.AwaitState(1, "completed", absl::Seconds(3));
  RestartAll(cluster, absl::Milliseconds(300));
  absl::SleepFor(absl::Seconds(1));
  CHECK(cluster.AwaitState(1, "completed"));
  CHECK(cluster.RunCount() == 1);
  CheckNoViolations(cluster);
}

TEST_CASE("site restart: a task that always crashes its worker fails") {
  SiteTestCluster::Options options = TwoWorkerOptions();
  options.platform.keep_id_after_crash = true;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(3));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::CrashingTasksJob(1)));
  CHECK(cluster.AwaitState(1, "failed"));
  CHECK(cluster.RunCount() <= 4);
  CheckNoViolations(cluster);
}

}  // namespace
}  // namespace keelbridge::testing
