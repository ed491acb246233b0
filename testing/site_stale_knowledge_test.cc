// What a node knows of the configuration may be old without anybody telling it:
// it must find out by itself.

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
// From the end of an outage until all nodes must use the newest configuration,
// when that was written 2 s before at least: nodes are in touch then.
constexpr absl::Duration kInForceWithin = ConfigurationCheck::kInTouch;
constexpr int kQueuesOfGrownSites = 2800;
// 10 Mbit/s, the slowest link that nodes have.
constexpr double kSlowestLink = 10e6 / 8;

SiteCell::Options WithProxies() {
  SiteCell::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  return options;
}

bool AllUse(SiteCell& cell, int64_t version) {
  for (int i = 0; i < kNodes; ++i) {
    if (cell.ConfigurationVersion(i) != version) return false;
  }
  return true;
}

bool AwaitAllUse(SiteCell& cell, int64_t version) {
  const absl::Time until = absl::Now() + kInForceWithin;
  while (absl::Now() < until) {
    if (AllUse(cell, version)) return true;
    absl::SleepFor(absl::Milliseconds(50));
  }
  return false;
}

TEST_CASE(
    "stale knowledge: a configuration that every poll of the store missed is "
    "in force soon after the store answers again") {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  REQUIRE(AllUse(cell, 1));
  for (int i = 0; i < kNodes; ++i)
    cell.SetStoreProxy(i, FaultProxy::Mode::kSilent);
  absl::SleepFor(absl::Milliseconds(300));
  cell.WithPlatform(
      [](SitePlatform& platform) { platform.PublishConfiguration(2); });
  absl::SleepFor(absl::Seconds(2));
  for (int i = 0; i < kNodes; ++i) cell.HealStoreProxyQuietly(i);
  CHECK(AwaitAllUse(cell, 2));
}

// Of `queues` queues, each in a route of some 80 bytes and `more_bytes`.
std::string LargeConfiguration(int64_t version, int queues, size_t more_bytes) {
  std::string out =
      absl::StrCat(R"({"version":)", version,
                   R"(,"services":[{"name":"desk"}],"routes":[)"
                   R"({"name":"r-restore","host":"desk.example",)"
                   R"("pathPrefix":"/restore/","service":"desk"})");
  const std::string more(more_bytes, 'x');
  for (int i = 0; i < queues; ++i) {
    absl::StrAppend(&out, R"(,{"name":"r-)", i, more,
                    R"(","host":"desk.example","pathPrefix":"/more/)", i,
                    R"(/","service":"desk"})");
  }
  return out + "]}";
}

TEST_CASE(
    "stale knowledge: a large configuration that was missed comes over slow "
    "links") {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  for (int i = 0; i < kNodes; ++i)
    cell.SetStoreProxy(i, FaultProxy::Mode::kSilent);
  absl::SleepFor(absl::Milliseconds(300));
  cell.WithPlatform([](SitePlatform& platform) {
    // About 100 KB: seven pieces through a proxy that holds each for 0.2 s.
    platform.store().Put("keyed.op", "config", LargeConfiguration(2, 1200, 0));
  });
  absl::SleepFor(absl::Seconds(2));
  for (int i = 0; i < kNodes; ++i) {
    cell.HealStoreProxyQuietly(i);
    cell.SetStoreProxy(i, FaultProxy::Mode::kDelay);
  }
  CHECK(AwaitAllUse(cell, 2));
}

void WriteLarge(SiteCell& cell, int64_t version) {
  const std::string document =
      LargeConfiguration(version, kQueuesOfGrownSites, 170);
  CHECK(document.size() > 680'000);
  cell.WithPlatform([&document](SitePlatform& platform) {
    platform.store().Put("keyed.op", "config", document);
  });
}

// No node reaches the store for `silence`, during which a large configuration
// is written; then it is as if nothing had been, but for calls that hang.
void CheckLargeAfterSilence(SiteCell& cell, int64_t version,
                            absl::Duration silence, bool forget) {
  for (int i = 0; i < kNodes; ++i)
    cell.SetStoreProxy(i, FaultProxy::Mode::kSilent);
  absl::SleepFor(absl::Milliseconds(300));
  WriteLarge(cell, version);
  if (forget)
    cell.WithPlatform(
        [](SitePlatform& platform) { platform.store().ForgetAll(); });
  absl::SleepFor(silence - absl::Milliseconds(300));
  for (int i = 0; i < kNodes; ++i) cell.HealStoreProxyQuietly(i);
  const absl::Time healed = absl::Now();
  CAPTURE(absl::FormatDuration(silence));
  CHECK(AwaitAllUse(cell, version));
  MESSAGE("in force ", absl::ToInt64Milliseconds(absl::Now() - healed),
          " ms after a silence of ", absl::ToInt64Milliseconds(silence), " ms");
}

void CheckLargeAfterSilences(bool forget) {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  for (int i = 0; i < kNodes; ++i) cell.SetStoreLink(i, kSlowestLink);
  int64_t version = 1;
  // A read that hangs is at another point of its time at the end of each.
  for (const int ms : {2400, 3300, 4200, 5100, 6000}) {
    CheckLargeAfterSilence(cell, ++version, absl::Milliseconds(ms), forget);
    absl::SleepFor(absl::Seconds(1));
  }
}

TEST_CASE(
    "stale knowledge: 700 KB on the slowest link are in force 3 s after a "
    "silence of any length") {
  CheckLargeAfterSilences(false);
}

TEST_CASE(
    "stale knowledge: 700 KB on the slowest link are in force 3 s after a "
    "silence in which the store forgot its history") {
  CheckLargeAfterSilences(true);
}

constexpr char kTwoRoutes[] =
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

int Get(SiteCell& cell, int node, const std::string& path) {
  const HttpOutcome outcome =
      cell.Raw(node, {"GET", path, {{"Host", kSiteHost}}, "", ""});
  return outcome.response ? outcome.response->status : 0;
}

TEST_CASE(
    "stale knowledge: a node that cannot confirm its configuration denies no "
    "route") {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  CHECK(Get(cell, 0, "/other/") == 404);
  for (int i = 0; i < kNodes; ++i)
    cell.SetStoreProxy(i, FaultProxy::Mode::kSilent);
  absl::SleepFor(absl::Milliseconds(300));
  cell.WithPlatform([](SitePlatform& platform) {
    platform.store().Put("keyed.op", "config", kTwoRoutes);
  });
  absl::SleepFor(absl::Seconds(3));
  for (int i = 0; i < kNodes; ++i) {
    REQUIRE(cell.ConfigurationVersion(i) == 1);
    CHECK(Get(cell, i, "/other/") == 503);
    // A route below one that the node knows: not a bad id either.
    CHECK(Get(cell, i, "/restore/deep/") == 503);
    CHECK(Get(cell, i, "/restore/deep/0000000000000001") == 503);
  }
}

// A record that cannot be read is not one that was never written.
TEST_CASE(
    "stale knowledge: what a configuration that cannot be read may hold is not "
    "denied") {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  const auto write = [&cell](const char* document) {
    cell.WithPlatform([document](SitePlatform& platform) {
      platform.store().Put("keyed.op", "config", document);
    });
  };
  write(R"({"version":2,"routes":)");
  absl::SleepFor(absl::Milliseconds(2500));
  for (int i = 0; i < kNodes; ++i) {
    CHECK(cell.ConfigurationVersion(i) == 1);
    CHECK(Get(cell, i, "/other/") == 503);
  }
  write(kTwoRoutes);
  REQUIRE(AwaitAllUse(cell, 2));
  absl::SleepFor(absl::Seconds(1));
  for (int i = 0; i < kNodes; ++i) CHECK(Get(cell, i, "/none/") == 404);
}

// An answer from before a standstill of this process tells nothing of now.
TEST_CASE(
    "stale knowledge: a heartbeat's answer that lay there while the process "
    "stood still makes it not ready") {
  SiteCell cell(WithProxies());
  REQUIRE(cell.AwaitReady(kNodes));
  const int leader = cell.Leader();
  REQUIRE(leader >= 0);
  const int frozen = (leader + 1) % kNodes;
  int ready_after = 0;
  // Heartbeats are under way most of the time.
  cell.SetPeerProxy(leader, FaultProxy::Mode::kDelay);
  absl::SleepFor(absl::Seconds(2));
  REQUIRE(cell.Ready(frozen));
  cell.node(frozen).Signal(SIGSTOP);
  absl::SleepFor(absl::Seconds(1));
  for (int i = 0; i < kNodes; ++i) {
    if (i == frozen) continue;
    cell.node(i).Signal(SIGKILL);
    cell.node(i).Wait();
    cell.ForgetNode(i);
  }
  absl::SleepFor(absl::Seconds(3));
  cell.node(frozen).Signal(SIGCONT);
  for (int i = 0; i < 10; ++i) {
    absl::SleepFor(absl::Milliseconds(30));
    if (cell.Ready(frozen)) ++ready_after;
  }
  CHECK(ready_after == 0);
}

}  // namespace
}  // namespace keelbridge::testing
