// Tests with real processes of nodes that send their heartbeats along a tree,
// as the nodes of a large site do.

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/transport/rpc_client.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 9;
constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kConfigurationTime = absl::Seconds(2);
constexpr int64_t kLastVersion = 5;

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

// Returns whether the node's log says that another node, not the store, gave it
// the version.
bool TookVersionFromPeer(SiteTestCluster& cluster, int node, int64_t version) {
  std::ifstream log(absl::StrCat(cluster.directory(), "/node-", node, ".log"));
  const std::string in_force =
      absl::StrCat("configuration_in_force\",\"version\":\"", version, "\"");
  for (std::string line; std::getline(log, line);) {
    if (absl::StrContains(line, in_force))
      return !absl::StrContains(line, "\"source\":\"store\"");
  }
  return false;
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
  for (int64_t version = 2; version <= kLastVersion; ++version) {
    CAPTURE(version);
    cluster.WithPlatform([version](SitePlatform& platform) {
      platform.PublishConfiguration(version);
    });
    CHECK(Await(kConfigurationTime,
                [&] { return AllHaveVersion(cluster, version); }));
  }
  for (int i = 0; i < kNodes; ++i) {
    if (cluster.HeartbeatDepth(i) < 2) continue;
    // The log is written a little later.
    CHECK(Await(kConfigurationTime,
                [&] { return TookVersionFromPeer(cluster, i, kLastVersion); }));
  }
  CHECK(JobIsDone(cluster, 1));
  CHECK(cluster.Violations().empty());
}

// During a rolling restart, nodes of the version before the tree send the
// leader heartbeats that describe only their sender.
TEST_CASE(
    "site tree: a leader answers and lists a node of an earlier version") {
  SiteTestCluster cluster(TreeOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  RpcClient leader(ParseAddress(cluster.PeerAddress(cluster.Leader())).value());
  Json::Value heartbeat(Json::objectValue);
  heartbeat["node"] = "earlier";
  heartbeat["address"] = "127.0.0.1:1";
  heartbeat["zone"] = "zone-0";
  heartbeat["store_ok"] = true;
  heartbeat["capacity"] = 0.1;
  heartbeat["peers_version"] = 0;
  heartbeat["configuration_version"] = 1;
  CHECK(Await(kConfigurationTime, [&] {
    const auto answer =
        leader.Call("heartbeat", heartbeat, absl::Seconds(1), TraceContext());
    REQUIRE(answer);
    CHECK(answer.value()["leads"].asBool());
    CHECK(answer.value()["accepts"].asBool());
    CHECK(answer.value()["boot"].asUInt64() != 0);
    return cluster.MemberCount(cluster.Leader()) == kNodes + 1;
  }));
  // Without further heartbeats it is lost again.
  CHECK(Await(2 * kConfigurationTime,
              [&] { return cluster.MemberCount(cluster.Leader()) == kNodes; }));
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
