// Entries of other writers in the store, and records of the nodes' own that
// cannot be read, against real processes: nothing starts there, no node stands
// still or ends, also while a leader loads.

#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/zone_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;

int64_t ForeignCalls(SiteCell& cell) {
  int64_t calls = 0;
  cell.WithPlatform(
      [&](SitePlatform& platform) { calls = platform.foreign_calls(); });
  return calls;
}

void CheckRuns(SiteCell& cell, uint64_t first, uint64_t last) {
  for (uint64_t job = first; job <= last; ++job)
    CHECK(cell.SubmitAnywhere(job, SiteCell::OneStep(2, 200)));
  for (uint64_t job = first; job <= last; ++job)
    CHECK(cell.AwaitState(job, "completed"));
}

// Ends the leader; the next one loads what lies in the store.
void ReplaceLeader(SiteCell& cell) {
  int leader = -1;
  REQUIRE(Eventually([&] { return (leader = cell.Leader()) >= 0; }));
  cell.node(leader).Signal(SIGKILL);
  cell.node(leader).Wait();
  cell.ForgetNode(leader);
  cell.StartNode(leader);
  REQUIRE(Eventually([&] { return cell.Leader() >= 0; }));
  REQUIRE(cell.AwaitReady(kNodes));
}

TEST_CASE("site entries: foreign entries of workers are passed over") {
  SiteCell::Options options;
  options.nodes = kNodes;
  SiteCell cell(options);
  cell.WithPlatform([](SitePlatform& platform) {
    platform.WriteForeignEntries();
    platform.store().SpoilPages("keyed.servers");
    platform.store().SpoilPages("keyed.op");
  });
  REQUIRE(cell.AwaitReady(kNodes));
  CheckRuns(cell, 1, 4);
  cell.WithPlatform(
      [](SitePlatform& platform) { platform.WriteForeignEntries(); });
  CheckRuns(cell, 5, 8);
  ReplaceLeader(cell);
  CheckRuns(cell, 9, 12);
  CHECK(ForeignCalls(cell) == 0);
  CHECK(cell.Faults().empty());
}

TEST_CASE("site entries: records of jobs that cannot be read end no load") {
  SiteCell::Options options;
  options.nodes = kNodes;
  SiteCell cell(options);
  REQUIRE(cell.AwaitReady(kNodes));
  CheckRuns(cell, 1, 2);
  cell.WithPlatform([](SitePlatform& platform) {
    const auto put = [&platform](const std::string& key,
                                 const std::string& value) {
      platform.store().Put("keyed.keelbridge-jobs", key, value);
    };
    put("d/00000000000000aa", "\xff no record");
    put("d/00000000000000ab", R"({"steps":"x","queue":[],"accepted_ms":{}})");
    put("p/00000000000000ac", R"({"end":{},"rounds":7})");
    put("w/i-lost", R"({"machine":[],"labels":{"a":1},"epoch":"x"})");
    put("w/i-0-0", "{");
    put("x", "y");
    platform.store().SpoilPages("keyed.keelbridge-jobs");
  });
  ReplaceLeader(cell);
  CheckRuns(cell, 3, 6);
  // Not denied: such a job may have been accepted.
  const HttpOutcome unreadable = cell.Call(0, "GET", 0xab);
  REQUIRE(unreadable.response);
  CHECK(unreadable.response->status == 503);
  CHECK(cell.Faults().empty());
}

TEST_CASE("site entries: a configuration that makes no sense changes nothing") {
  SiteCell::Options options;
  options.nodes = kNodes;
  SiteCell cell(options);
  REQUIRE(cell.AwaitReady(kNodes));
  cell.WithPlatform([](SitePlatform& platform) {
    for (const char* document :
         {R"({"version":50})", R"({"version":51,"routes":"x","services":[]})",
          R"({"version":52,"routes":[7],"services":[{"name":"desk"}]})",
          R"({"version":"x","routes":[],"services":[]})", "no record"})
      platform.store().Put("keyed.op", "config", document);
  });
  absl::SleepFor(absl::Seconds(1));
  for (int node = 0; node < kNodes; ++node)
    CHECK(cell.ConfigurationVersion(node) == 1);
  CheckRuns(cell, 1, 3);
  cell.WithPlatform(
      [](SitePlatform& platform) { platform.PublishConfiguration(60); });
  for (int node = 0; node < kNodes; ++node)
    CHECK(Eventually([&] { return cell.ConfigurationVersion(node) == 60; }));
  CHECK(cell.Faults().empty());
}

}  // namespace
}  // namespace keelbridge::testing
