// What a node knows of the configuration may be old without anybody telling it:
// it must find out by itself.

#include <doctest/doctest.h>

#include "absl/time/clock.h"
#include "testing/support/site_cell.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;
// From the end of an outage until all nodes must use the newest configuration:
// 3 s until a node counts as in touch, and 2 s to apply (the users' bounds).
constexpr absl::Duration kInForceWithin = absl::Seconds(5);

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
  for (int i = 0; i < kNodes; ++i)
    cell.SetStoreProxy(i, FaultProxy::Mode::kPass);
  CHECK(AwaitAllUse(cell, 2));
}

}  // namespace
}  // namespace keelbridge::testing
