// Tests with real processes of nodes: a leader that is cut off from the store
// and its peers hands over what it has heard from workers meanwhile, and a
// leader that is lost leaves behind what it knew of a lost worker.

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

using Mode = FaultProxy::Mode;

constexpr int kNodes = 3;
constexpr int kWorkers = 6;
constexpr uint64_t kJobNumber = 1;
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxStartDelay = absl::Seconds(3);
// The steps of the job: the last one depends on both others. The long step ends
// under the next leader, so that the last step does not start before.
constexpr int32_t kShortStep = 0;
constexpr int32_t kLongStep = 1;
constexpr int32_t kLastStep = 2;
constexpr absl::Duration kShortWork = absl::Milliseconds(2500);
constexpr absl::Duration kLongWork = absl::Seconds(5);
// How long before the end of the short step the leader is cut off.
constexpr absl::Duration kCutBeforeEnd = absl::Milliseconds(500);
// How long a worker that leaves goes on after the end of its run.
constexpr absl::Duration kHeardAfterEnd = absl::Milliseconds(200);

// The short step has one task for each worker.
std::string ThreeStepJob() {
  const int64_t short_ms = absl::ToInt64Milliseconds(kShortWork);
  const int64_t long_ms = absl::ToInt64Milliseconds(kLongWork);
  const std::string plan = absl::StrCat(
      "[{\\\"cpu\\\":12000,\\\"memory\\\":1024,\\\"work_ms\\\":", short_ms,
      "},{\\\"cpu\\\":1000,\\\"memory\\\":512,\\\"work_ms\\\":", long_ms,
      "},{\\\"cpu\\\":1000,\\\"memory\\\":512,\\\"work_ms\\\":200}]");
  return absl::StrCat(
      "{\"taskSpec\":\"", plan, "\",\"steps\":[{\"count\":", kWorkers,
      ",\"cpu\":12000,\"memoryRequestMb\":1024,\"estimatedMs\":", short_ms,
      "},{\"count\":1,\"cpu\":1000,\"memoryRequestMb\":512,\"estimatedMs\":",
      long_ms,
      "},{\"count\":1,\"cpu\":1000,\"memoryRequestMb\":512,\"estimatedMs\":"
      "200,\"dependsOn\":[0,1]}]}");
}

std::vector<SiteRun> RunsOfStep(SiteTestCluster& cluster, int32_t step) {
  std::vector<SiteRun> out;
  cluster.WithPlatform([&](SitePlatform& platform) {
    std::copy_if(platform.runs().begin(), platform.runs().end(),
                 std::back_inserter(out),
                 [step](const SiteRun& run) { return run.task.step == step; });
  });
  return out;
}

// Waits until `condition` holds. Returns false if it does not within
// `max_wait`.
template <typename Condition>
bool Await(absl::Duration max_wait, Condition condition) {
  const absl::Time deadline = absl::Now() + max_wait;
  while (!condition()) {
    if (absl::Now() > deadline) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

bool HasEnded(const SiteRun& run) { return run.ended < absl::InfiniteFuture(); }

void CutOff(SiteTestCluster& cluster, int leader) {
  cluster.SetStoreProxy(leader, Mode::kDropAll);
  for (int i = 0; i < kNodes; ++i) cluster.SetPeerProxy(i, Mode::kDropAll);
}

void Reconnect(SiteTestCluster& cluster, int leader) {
  cluster.SetStoreProxy(leader, Mode::kForward);
  for (int i = 0; i < kNodes; ++i) cluster.SetPeerProxy(i, Mode::kForward);
}

// Returns a worker of the leader's zone that does not run the long step. The
// fake's worker with index i is in zone i modulo the number of zones, and its
// id begins with "i-" and the index.
int ChooseLeavingWorker(SiteTestCluster& cluster, int leader) {
  const std::string long_worker = RunsOfStep(cluster, kLongStep)[0].worker;
  const int first = cluster.ZoneOf(leader);
  return absl::StartsWith(long_worker, absl::StrCat("i-", first, "-"))
             ? first + SiteTestCluster::kZones
             : first;
}

// Guards against a repetition of tasks that are done: the worker of one of them
// reports the end to the leader that is cut off, and leaves before the next
// leader reaches it. The step that follows then waited for the worker's lease
// and for a second run of the task.
TEST_CASE(
    "site handover: a step starts soon after ends that only the leader before "
    "had heard") {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  options.platform.workers = kWorkers;
  options.platform.advice = false;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(kNodes));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  REQUIRE(cluster.SubmitAnywhere(kJobNumber, ThreeStepJob()));
  REQUIRE(Await(absl::Seconds(10), [&] {
    return RunsOfStep(cluster, kShortStep).size() == kWorkers &&
           RunsOfStep(cluster, kLongStep).size() == 1;
  }));
  const int leaving = ChooseLeavingWorker(cluster, leader);
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.DrainWorker(leaving, kShortWork + kHeardAfterEnd);
  });
  absl::SleepFor(kShortWork - kCutBeforeEnd);
  CutOff(cluster, leader);
  REQUIRE(Await(absl::Seconds(10), [&] {
    const int current = cluster.Leader();
    return current >= 0 && current != leader;
  }));
  const std::vector<SiteRun> short_runs = RunsOfStep(cluster, kShortStep);
  REQUIRE(std::all_of(short_runs.begin(), short_runs.end(), HasEnded));
  Reconnect(cluster, leader);
  REQUIRE(Await(absl::Seconds(10),
                [&] { return HasEnded(RunsOfStep(cluster, kLongStep)[0]); }));
  REQUIRE(RunsOfStep(cluster, kLongStep).size() == 1);
  CHECK(Await(kMaxStartDelay,
              [&] { return !RunsOfStep(cluster, kLastStep).empty(); }));
  CHECK(RunsOfStep(cluster, kShortStep).size() == kWorkers);
  CHECK(cluster.AwaitState(kJobNumber, "completed"));
  CHECK(cluster.Violations().empty());
}

// How long a worker is silent before its leader is lost.
constexpr absl::Duration kSilentBefore = absl::Seconds(3);
// The fake workers' longest lease, on a clock that is 2% slow.
constexpr absl::Duration kLease = absl::Milliseconds(6300);

// Guards against a lasting task that is away for two leases: the next leader
// counted the lease of a worker anew that had been lost before its leader was.
void LoseWorkerThenLeader(bool heartbeat_tree) {
  CAPTURE(heartbeat_tree);
  SiteTestCluster::Options options;
  options.nodes = heartbeat_tree ? 5 : kNodes;
  options.heartbeat_tree = heartbeat_tree;
  options.platform.workers = kWorkers;
  options.platform.advice = false;
  options.platform.reports_start_times = false;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(options.nodes));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  REQUIRE(cluster.SubmitAnywhere(
      kJobNumber,
      "{\"taskSpec\":\"[{\\\"cpu\\\":1000,\\\"memory\\\":512,"
      "\\\"work_ms\\\":600000}]\",\"steps\":[{\"count\":1,\"cpu\":1000,"
      "\"memoryRequestMb\":512,\"estimatedMs\":1000,\"longRunning\":true}]}"));
  REQUIRE(Await(absl::Seconds(10),
                [&] { return !RunsOfStep(cluster, 0).empty(); }));
  // "i-2-0" is the first life of the worker with the index 2.
  const std::string worker = RunsOfStep(cluster, 0)[0].worker;
  const int index = worker[2] - '0';
  absl::SleepFor(absl::Seconds(1));
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.CrashWorker(index, absl::Hours(1));
  });
  const absl::Time lost = absl::Now();
  absl::SleepFor(kSilentBefore);
  cluster.node(leader).Signal(SIGKILL);
  CHECK(Await(kLease + kMaxStartDelay - kSilentBefore,
              [&] { return RunsOfStep(cluster, 0).size() > 1; }));
  CAPTURE(absl::Now() - lost);
  CHECK(cluster.Violations().empty());
}

TEST_CASE(
    "site handover: the loss of the leader does not begin the wait for a lost "
    "worker anew") {
  for (const bool heartbeat_tree : {false, true})
    LoseWorkerThenLeader(heartbeat_tree);
}

}  // namespace
}  // namespace keelbridge::testing
