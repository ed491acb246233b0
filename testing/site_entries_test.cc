// Tests with real processes of store entries by other writers and of unreadable
// records of the nodes' own: no task starts on a worker from such an entry, and
// no node stalls or exits, including while a leader loads its state.

#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "keelbridge/state/job_table.h"
#include "testing/fakes/odd_documents.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/zone_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;

int64_t CountForeignEntryCalls(SiteTestCluster& cluster) {
  int64_t calls = 0;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { calls = platform.foreign_entry_calls(); });
  return calls;
}

void CheckJobsComplete(SiteTestCluster& cluster, uint64_t first,
                       uint64_t last) {
  for (uint64_t job = first; job <= last; ++job)
    CHECK(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(2, 200)));
  for (uint64_t job = first; job <= last; ++job)
    CHECK(cluster.AwaitState(job, "completed"));
}

// Kills the leader, so that the next one loads its state from the store.
void ReplaceLeader(SiteTestCluster& cluster) {
  int leader = -1;
  REQUIRE(Eventually([&] { return (leader = cluster.Leader()) >= 0; }));
  cluster.node(leader).Signal(SIGKILL);
  cluster.node(leader).Wait();
  cluster.RemoveNode(leader);
  cluster.StartNode(leader);
  REQUIRE(Eventually([&] { return cluster.Leader() >= 0; }));
  REQUIRE(cluster.AwaitReady(kNodes));
}

// Guards against: one odd entry ended the processes that read the list again
// and again, or they stopped following it (LOST).
TEST_CASE("site entries: worker entries of other writers are skipped") {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  SiteTestCluster cluster(options);
  cluster.WithPlatform([](SitePlatform& platform) {
    platform.WriteForeignEntries();
    platform.store().AddUnreadableItems("keyed.servers");
    platform.store().AddUnreadableItems("keyed.op");
  });
  REQUIRE(cluster.AwaitReady(kNodes));
  CheckJobsComplete(cluster, 1, 4);
  cluster.WithPlatform(
      [](SitePlatform& platform) { platform.WriteForeignEntries(); });
  CheckJobsComplete(cluster, 5, 8);
  ReplaceLeader(cluster);
  CheckJobsComplete(cluster, 9, 12);
  REQUIRE(cluster.AwaitReady(kNodes));
  CHECK(CountForeignEntryCalls(cluster) == 0);
  CHECK(cluster.Violations().empty());
}

TEST_CASE("site entries: unreadable job records do not stop a load") {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(kNodes));
  CheckJobsComplete(cluster, 1, 2);
  cluster.WithPlatform([](SitePlatform& platform) {
    const auto put = [&platform](const std::string& key,
                                 const std::string& value) {
      platform.store().Put("keyed.keelbridge-jobs", key, value);
    };
    put("d/00000000000000aa", "\xff no record");
    put("d/00000000000000ab", R"({"steps":"x","queue":[],"accepted_ms":{}})");
    put("p/00000000000000ac", R"({"end":{},"rounds":7})");
    put("w/i-lost", R"({"machine":[],"labels":{"a":1},"epoch":"x"})");
    put("w/i-0-0", "{");
    put("d/00000000000000ad", NestedArrays(100'000));
    put("p/00000000000000ad", R"({"ended_ms":1e999})");
    JobSpec spec;
    spec.steps.resize(1);
    const Record described = DescriptionRecord(Job(0xae, "restore", spec, 1));
    put(described.key, *described.value);
    put("p/00000000000000ae", R"({"ended_ms":1e300})");
    put("c/00000000000000af", NestedObjects(30'000));
    put("w/i-deep", std::string(100'000, '['));
    put("x", "y");
    platform.store().AddUnreadableItems("keyed.keelbridge-jobs");
  });
  ReplaceLeader(cluster);
  CheckJobsComplete(cluster, 3, 6);
  // The node must not report the job as unknown, since it may have been
  // accepted.
  const HttpOutcome unreadable = cluster.Call(0, "GET", 0xab);
  REQUIRE(unreadable.response);
  CHECK(unreadable.response->status == 503);
  CHECK(cluster.Violations().empty());
}

TEST_CASE("site entries: an invalid configuration changes nothing") {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(kNodes));
  cluster.WithPlatform([](SitePlatform& platform) {
    for (const char* document :
         {R"({"version":50})", R"({"version":51,"routes":"x","services":[]})",
          R"({"version":52,"routes":[7],"services":[{"name":"desk"}]})",
          R"({"version":"x","routes":[],"services":[]})", "no record",
          R"({"version":1e999})", R"({"version":18446744073709551616})"})
      platform.store().Put("keyed.op", "config", document);
    platform.store().Put("keyed.op", "config", NestedArrays(100'000));
    platform.store().Put("keyed.op", "config", NestedObjects(30'000));
  });
  absl::SleepFor(absl::Seconds(1));
  for (int node = 0; node < kNodes; ++node)
    CHECK(cluster.ConfigurationVersion(node) == 1);
  CheckJobsComplete(cluster, 1, 3);
  cluster.WithPlatform(
      [](SitePlatform& platform) { platform.PublishConfiguration(60); });
  for (int node = 0; node < kNodes; ++node)
    CHECK(Eventually([&] { return cluster.ConfigurationVersion(node) == 60; }));
  CHECK(cluster.Violations().empty());
}

}  // namespace
}  // namespace keelbridge::testing
