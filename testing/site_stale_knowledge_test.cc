// Tests with real processes of nodes that have a stale configuration and are
// not notified of the change: each node must detect this by itself.

#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/support/configuration_check.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;
// Limit from the end of an outage until all nodes must use the newest
// configuration, if it was written at least 2 s before that end. The nodes are
// back in contact with the store within this time.
constexpr absl::Duration kApplyTimeout = ConfigurationCheck::kRecoveryTime;
constexpr int kLargeSiteQueues = 2800;
// 10 Mbit/s, the slowest link of any node.
constexpr double kSlowestLinkBytesPerSecond = 10e6 / 8;

SiteTestCluster::Options ProxiedOptions() {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  return options;
}

bool AllNodesUse(SiteTestCluster& cluster, int64_t version) {
  for (int i = 0; i < kNodes; ++i) {
    if (cluster.ConfigurationVersion(i) != version) return false;
  }
  return true;
}

bool AwaitAllNodesUse(SiteTestCluster& cluster, int64_t version) {
  const absl::Time deadline = absl::Now() + kApplyTimeout;
  while (absl::Now() < deadline) {
    if (AllNodesUse(cluster, version)) return true;
    absl::SleepFor(absl::Milliseconds(50));
  }
  return false;
}

TEST_CASE(
    "stale knowledge: a configuration that every poll missed is in force soon "
    "after the store answers again") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  REQUIRE(AllNodesUse(cluster, 1));
  for (int i = 0; i < kNodes; ++i)
    cluster.SetStoreProxy(i, FaultProxy::Mode::kDropAll);
  absl::SleepFor(absl::Milliseconds(300));
  cluster.WithPlatform(
      [](SitePlatform& platform) { platform.PublishConfiguration(2); });
  absl::SleepFor(absl::Seconds(2));
  for (int i = 0; i < kNodes; ++i) cluster.HealStoreProxyWithoutReset(i);
  CHECK(AwaitAllNodesUse(cluster, 2));
}

// Returns a configuration with `queues` additional queues. The route of each
// takes about 80 bytes plus `padding_bytes`.
std::string LargeConfiguration(int64_t version, int queues,
                               size_t padding_bytes) {
  std::string out =
      absl::StrCat(R"({"version":)", version,
                   R"(,"services":[{"name":"desk"}],"routes":[)"
                   R"({"name":"r-restore","host":"desk.example",)"
                   R"("pathPrefix":"/restore/","service":"desk"})");
  const std::string padding(padding_bytes, 'x');
  for (int i = 0; i < queues; ++i) {
    absl::StrAppend(&out, R"(,{"name":"r-)", i, padding,
                    R"(","host":"desk.example","pathPrefix":"/more/)", i,
                    R"(/","service":"desk"})");
  }
  return out + "]}";
}

TEST_CASE(
    "stale knowledge: a large configuration that was missed is transferred "
    "over slow links") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  for (int i = 0; i < kNodes; ++i)
    cluster.SetStoreProxy(i, FaultProxy::Mode::kDropAll);
  absl::SleepFor(absl::Milliseconds(300));
  cluster.WithPlatform([](SitePlatform& platform) {
    // About 100 KB, which pass the proxy as seven chunks delayed by 0.2 s each.
    platform.store().Put("keyed.op", "config", LargeConfiguration(2, 1200, 0));
  });
  absl::SleepFor(absl::Seconds(2));
  for (int i = 0; i < kNodes; ++i) {
    cluster.HealStoreProxyWithoutReset(i);
    cluster.SetStoreProxy(i, FaultProxy::Mode::kDelay);
  }
  CHECK(AwaitAllNodesUse(cluster, 2));
}

void WriteLarge(SiteTestCluster& cluster, int64_t version) {
  const std::string document =
      LargeConfiguration(version, kLargeSiteQueues, 170);
  CHECK(document.size() > 680'000);
  cluster.WithPlatform([&document](SitePlatform& platform) {
    platform.store().Put("keyed.op", "config", document);
  });
}

// Cuts all nodes off the store for `outage` and writes a large configuration
// meanwhile. The outage ends without resets, so calls that were in flight keep
// hanging. If `drop_history` is true, the store also drops its history.
void CheckLargeAfterOutage(SiteTestCluster& cluster, int64_t version,
                           absl::Duration outage, bool drop_history) {
  for (int i = 0; i < kNodes; ++i)
    cluster.SetStoreProxy(i, FaultProxy::Mode::kDropAll);
  absl::SleepFor(absl::Milliseconds(300));
  WriteLarge(cluster, version);
  if (drop_history)
    cluster.WithPlatform(
        [](SitePlatform& platform) { platform.store().DropAllHistory(); });
  absl::SleepFor(outage - absl::Milliseconds(300));
  for (int i = 0; i < kNodes; ++i) cluster.HealStoreProxyWithoutReset(i);
  const absl::Time healed = absl::Now();
  CAPTURE(absl::FormatDuration(outage));
  CHECK(AwaitAllNodesUse(cluster, version));
  MESSAGE("in force ", absl::ToInt64Milliseconds(absl::Now() - healed),
          " ms after a silent outage of ", absl::ToInt64Milliseconds(outage),
          " ms");
}

void CheckLargeAfterOutages(bool drop_history) {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  for (int i = 0; i < kNodes; ++i)
    cluster.SetStoreLinkRate(i, kSlowestLinkBytesPerSecond);
  int64_t version = 1;
  // At the end of each of these outages, a hanging read is at a different point
  // of its timeout.
  for (const int ms : {2400, 3300, 4200, 5100, 6000}) {
    CheckLargeAfterOutage(cluster, ++version, absl::Milliseconds(ms),
                          drop_history);
    absl::SleepFor(absl::Seconds(1));
  }
}

TEST_CASE(
    "stale knowledge: 700 KB on the slowest link are in force 3 s after a "
    "silent outage of any length") {
  CheckLargeAfterOutages(false);
}

TEST_CASE(
    "stale knowledge: 700 KB on the slowest link are in force 3 s after a "
    "silent outage in which the store dropped its history") {
  CheckLargeAfterOutages(true);
}

constexpr char kConfigurationWithNewRoutes[] =
    R"({"version":2,"routes":[
      {"name":"r-restore","host":"desk.example","pathPrefix":"/restore/",
       "service":"desk","priority":0,"maxAttempts":3,"stretch":2.0,
       "targetLatencyMs":500},
      {"name":"r-deep","host":"desk.example","pathPrefix":"/restore/deep/",
       "service":"desk","priority":0,"maxAttempts":3,"stretch":2.0,
       "targetLatencyMs":500},
      {"name":"r-other","host":"desk.example","pathPrefix":"/other/",
       "service":"desk","priority":0,"maxAttempts":3,"stretch":2.0,
       "targetLatencyMs":500}],
     "services":[{"name":"desk","admissionCheck":false}]})";

int GetStatus(SiteTestCluster& cluster, int node, const std::string& path) {
  const HttpOutcome outcome =
      cluster.SendRequest(node, {"GET", path, {{"Host", kSiteHost}}, "", ""});
  return outcome.response ? outcome.response->status : 0;
}

TEST_CASE(
    "stale knowledge: a node that cannot confirm its configuration denies no "
    "route") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  CHECK(GetStatus(cluster, 0, "/other/") == 404);
  for (int i = 0; i < kNodes; ++i)
    cluster.SetStoreProxy(i, FaultProxy::Mode::kDropAll);
  absl::SleepFor(absl::Milliseconds(300));
  cluster.WithPlatform([](SitePlatform& platform) {
    platform.store().Put("keyed.op", "config", kConfigurationWithNewRoutes);
  });
  absl::SleepFor(absl::Seconds(3));
  for (int i = 0; i < kNodes; ++i) {
    REQUIRE(cluster.ConfigurationVersion(i) == 1);
    CHECK(GetStatus(cluster, i, "/other/") == 503);
    // A newer route below one that the node knows must not be reported as an
    // invalid job id either.
    CHECK(GetStatus(cluster, i, "/restore/deep/") == 503);
    CHECK(GetStatus(cluster, i, "/restore/deep/0000000000000001") == 503);
  }
}

// An unreadable record must not be treated as one that was never written.
TEST_CASE(
    "stale knowledge: no route that an unreadable configuration may contain is "
    "denied") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  const auto write = [&cluster](const char* document) {
    cluster.WithPlatform([document](SitePlatform& platform) {
      platform.store().Put("keyed.op", "config", document);
    });
  };
  write(R"({"version":2,"routes":)");
  absl::SleepFor(absl::Milliseconds(2500));
  for (int i = 0; i < kNodes; ++i) {
    CHECK(cluster.ConfigurationVersion(i) == 1);
    CHECK(GetStatus(cluster, i, "/other/") == 503);
  }
  write(kConfigurationWithNewRoutes);
  REQUIRE(AwaitAllNodesUse(cluster, 2));
  absl::SleepFor(absl::Seconds(1));
  for (int i = 0; i < kNodes; ++i)
    CHECK(GetStatus(cluster, i, "/none/") == 404);
}

// A heartbeat response from before a suspension of the process says nothing
// about the present state.
TEST_CASE(
    "stale knowledge: a heartbeat response that was waiting while the process "
    "was suspended does not make it ready") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  const int suspended_node = (leader + 1) % kNodes;
  int ready_count = 0;
  // With delayed peers, a heartbeat is in flight most of the time.
  cluster.SetPeerProxy(leader, FaultProxy::Mode::kDelay);
  absl::SleepFor(absl::Seconds(2));
  REQUIRE(cluster.Ready(suspended_node));
  cluster.node(suspended_node).Signal(SIGSTOP);
  absl::SleepFor(absl::Seconds(1));
  for (int i = 0; i < kNodes; ++i) {
    if (i == suspended_node) continue;
    cluster.node(i).Signal(SIGKILL);
    cluster.node(i).Wait();
    cluster.RemoveNode(i);
  }
  absl::SleepFor(absl::Seconds(3));
  cluster.node(suspended_node).Signal(SIGCONT);
  for (int i = 0; i < 10; ++i) {
    absl::SleepFor(absl::Milliseconds(30));
    if (cluster.Ready(suspended_node)) ++ready_count;
  }
  CHECK(ready_count == 0);
}

}  // namespace
}  // namespace keelbridge::testing
