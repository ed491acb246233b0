// Tests with real processes of nodes that send their heartbeats along a tree,
// as the nodes of a large site do.

#include <doctest/doctest.h>

#include <algorithm>

#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 9;
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kConfigurationTime = absl::Seconds(2);

SiteTestCluster::Options TreeOptions() {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  options.heartbeat_tree = true;
  return options;
}

// Waits until `condition` holds. Returns false if it does not within `time`.
template <typename Condition>
bool Await(absl::Duration time, Condition condition) {
  const absl::Time end = absl::Now() + time;
  while (absl::Now() < end) {
    if (condition()) return true;
    absl::SleepFor(kPollInterval);
  }
  return false;
}

bool AllHaveVersion(SiteTestCluster& cluster, int64_t version) {
  for (int i = 0; i < kNodes; ++i) {
    if (cluster.Alive(i) && cluster.ConfigurationVersion(i) != version)
      return false;
  }
  return true;
}

int64_t DeepestNode(SiteTestCluster& cluster) {
  int64_t deepest = 0;
  for (int i = 0; i < kNodes; ++i)
    deepest = std::max(deepest, cluster.HeartbeatDepth(i));
  return deepest;
}

// Returns whether a job is taken and done in time.
bool JobIsDone(SiteTestCluster& cluster, uint64_t job) {
  return cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(4, 200)) &&
         cluster.AwaitState(job, "completed", absl::Seconds(5));
}

TEST_CASE("site tree: all nodes are ready and take configurations in time") {
  SiteTestCluster cluster(TreeOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  // Three zones of three nodes, of which each may have two children.
  CHECK(Await(kConfigurationTime, [&] { return DeepestNode(cluster) == 2; }));
  // The first version after the start ends the polls that the nodes began
  // before they had a parent; the others come along the tree.
  for (int64_t version = 2; version <= 5; ++version) {
    CAPTURE(version);
    cluster.WithPlatform([version](SitePlatform& platform) {
      platform.PublishConfiguration(version);
    });
    CHECK(Await(kConfigurationTime,
                [&] { return AllHaveVersion(cluster, version); }));
  }
  CHECK(JobIsDone(cluster, 1));
  CHECK(cluster.Violations().empty());
}

TEST_CASE("site tree: all nodes are ready again soon after any one is lost") {
  SiteTestCluster cluster(TreeOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  int alive = kNodes;
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    const int leader = cluster.Leader();
    REQUIRE(leader >= 0);
    // The leader first, then nodes that may be parents of others.
    int lost = (leader + round) % kNodes;
    while (!cluster.Alive(lost)) lost = (lost + 1) % kNodes;
    cluster.RemoveNode(lost);
    --alive;
    CHECK(cluster.AwaitReady(alive));
    CHECK(JobIsDone(cluster, static_cast<uint64_t>(round + 1)));
  }
  CHECK(cluster.Violations().empty());
}

}  // namespace
}  // namespace keelbridge::testing
