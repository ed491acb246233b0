// Tests of a site's nodes as real processes against the fake platform: signals,
// outages and client errors. Results are checked against the runs that the fake
// workers recorded.

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/zone_test_cluster.h"

namespace keelbridge::testing {
namespace {

void CheckNoViolations(SiteTestCluster& cluster) {
  const std::vector<std::string> violations = cluster.Violations();
  CAPTURE(absl::StrJoin(violations, "\n"));
  CHECK(violations.empty());
}

int StatusOf(const HttpOutcome& outcome) {
  return outcome.response ? outcome.response->status : 0;
}

TEST_CASE("site processes: every node accepts jobs of steps and gangs") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  for (uint64_t job = 1; job <= 9; ++job) {
    const std::string body = job % 3 == 0
                                 ? SiteTestCluster::GangThenOneTaskJob(4)
                                 : SiteTestCluster::OneStepJob(2, 200);
    CHECK(StatusOf(cluster.Call(static_cast<int>(job % 3), "POST", job,
                                body)) == 200);
    // Submitting the same id again, at another node, does not create a second
    // job.
    CHECK(StatusOf(cluster.Call(static_cast<int>((job + 1) % 3), "POST", job,
                                body)) == 200);
  }
  for (uint64_t job = 1; job <= 9; ++job)
    CHECK(cluster.AwaitState(job, "completed"));
  CHECK(cluster.RunCount() == 6 * 2 + 3 * 5);
  CheckNoViolations(cluster);
}

TEST_CASE(
    "site processes: invalid settings are named and the node does not start") {
  const std::string path = "/tmp/keelbridge-bad-settings.json";
  std::ofstream(path) << "{\"name\": \"n\", \"store\": \"nowhere\"}";
  ChildProcess node("keelbridge-node", {"--settings=" + path}, path + ".log");
  CHECK(node.Wait() == 2);
  std::ifstream log(path + ".log");
  const std::string text((std::istreambuf_iterator<char>(log)),
                         std::istreambuf_iterator<char>());
  CHECK(absl::StrContains(text, "zone"));
  CHECK(absl::StrContains(text, "client_listen"));
  CHECK(absl::StrContains(text, "store"));
}

TEST_CASE("site processes: wrong calls get clear answers and cost nothing") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  CHECK(StatusOf(cluster.Call(0, "GET", 99)) == 410);
  CHECK(StatusOf(cluster.Call(0, "DELETE", 99)) == 410);
  CHECK(StatusOf(cluster.Call(0, "POST", 5, "no json")) == 400);
  CHECK(StatusOf(cluster.Call(0, "POST", 5, "{\"steps\":[]}")) == 400);
  CHECK(StatusOf(cluster.Call(0, "POST", 5,
                              "{\"steps\":[{\"count\":\"x\"}]}")) == 400);
  HttpRequest unknown_path{"GET", "/other/", {{"Host", kSiteHost}}, "", ""};
  CHECK(StatusOf(cluster.SendRequest(0, unknown_path)) == 404);
  HttpRequest bad_id{
      "GET", absl::StrCat(kSitePrefix, "zz"), {{"Host", kSiteHost}}, "", ""};
  CHECK(StatusOf(cluster.SendRequest(0, bad_id)) == 400);
  HttpRequest large{"POST",
                    absl::StrCat(kSitePrefix, "0000000000000005"),
                    {{"Host", kSiteHost}},
                    std::string(1 << 20, 'x'),
                    "application/json"};
  const int status = StatusOf(cluster.SendRequest(0, large));
  CHECK((status == 413 || status == 0));
  CHECK(cluster.Ready(0));
  CHECK(StatusOf(cluster.Call(0, "GET", 5)) == 410);
}

ClientAccount AccountWithKeys(const std::string& name,
                              std::vector<std::string> keys) {
  ClientAccount account;
  account.name = name;
  account.keys = std::move(keys);
  return account;
}

// Returns the status that `node` answers to a GET of the job with `key`.
int StatusWithKey(SiteTestCluster& cluster, int node, uint64_t job,
                  const std::string& key) {
  HttpRequest request{"GET",
                      absl::StrCat(kSitePrefix, JobIdText(job)),
                      {{"Host", kSiteHost}},
                      "",
                      ""};
  if (!key.empty()) request.headers.emplace_back("X-Keelbridge-Key", key);
  return StatusOf(cluster.SendRequest(node, request));
}

TEST_CASE(
    "site processes: calls need the key of the account that owns the job") {
  SiteTestCluster::Options options;
  options.key = "key-a";
  options.platform.accounts = {AccountWithKeys("a", {"key-a"}),
                               AccountWithKeys("b", {"key-b"})};
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(3));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(1, 200)));
  for (int node = 0; node < 3; ++node) {
    CHECK(StatusWithKey(cluster, node, 1, "key-a") == 200);
    CHECK(StatusWithKey(cluster, node, 1, "key-b") == 410);
    CHECK(StatusWithKey(cluster, node, 1, "key-c") == 401);
    CHECK(StatusWithKey(cluster, node, 1, "") == 401);
  }
  CHECK(cluster.AwaitState(1, "completed"));
  CheckNoViolations(cluster);
}

TEST_CASE(
    "site processes: a revoked key is denied by every node, a new one not") {
  SiteTestCluster::Options options;
  options.key = "key-2";
  options.platform.accounts = {AccountWithKeys("a", {"key-1", "key-2"})};
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(3));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(1, 200)));
  cluster.WithPlatform([](SitePlatform& platform) {
    platform.SetAccounts({AccountWithKeys("a", {"key-2", "key-3"})});
    platform.PublishConfiguration(2);
  });
  for (int node = 0; node < 3; ++node) {
    CHECK(Eventually(
        [&] { return StatusWithKey(cluster, node, 1, "key-1") == 401; }));
    CHECK(StatusWithKey(cluster, node, 1, "key-3") == 200);
  }
  // The account's jobs remain its own under its other keys.
  CHECK(cluster.AwaitState(1, "completed"));
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: a traced call records one span per hop") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  const int follower = cluster.Leader() == 0 ? 1 : 0;
  const std::string trace = "0af7651916cd43dd8448eb211c80319c";
  HttpRequest request{
      "POST",
      absl::StrCat(kSitePrefix, "00000000000000aa"),
      {{"Host", kSiteHost},
       {"traceparent", absl::StrCat("00-", trace, "-b7ad6b7169203331-01")}},
      SiteTestCluster::OneStepJob(1, 100),
      "application/json"};
  REQUIRE(StatusOf(cluster.SendRequest(follower, request)) == 200);
  const auto spans = [&](int node) {
    std::ifstream in(cluster.directory() +
                     absl::StrCat("/node-", node, ".spans"));
    return std::string((std::istreambuf_iterator<char>(in)),
                       std::istreambuf_iterator<char>());
  };
  CHECK(Eventually([&] {
    return absl::StrContains(spans(follower), trace) &&
           absl::StrContains(spans(follower), "node.call") &&
           absl::StrContains(spans(cluster.Leader()), "leader.call");
  }));
}

TEST_CASE("site processes: a cancelled job stops and is told so") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(2, 20000)));
  REQUIRE(cluster.AwaitState(1, "running"));
  CHECK(StatusOf(cluster.Call(1, "DELETE", 1)) == 200);
  CHECK(cluster.State(1) == "cancelled");
  absl::SleepFor(absl::Seconds(1));
  size_t running = 0;
  cluster.WithPlatform([&](SitePlatform& platform) {
    for (const SiteRun& run : platform.runs())
      running += run.ended == absl::InfiniteFuture() ? 1 : 0;
  });
  CHECK(running == 0);
}

TEST_CASE(
    "site processes: when the leader is killed, no task runs twice and no job "
    "is lost") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  for (uint64_t job = 1; job <= 6; ++job)
    REQUIRE(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(2, 3000)));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  cluster.node(leader).Signal(SIGKILL);
  cluster.node(leader).Wait();
  cluster.RemoveNode(leader);
  for (uint64_t job = 7; job <= 9; ++job)
    REQUIRE(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(1, 200)));
  for (uint64_t job = 1; job <= 9; ++job)
    CHECK(cluster.AwaitState(job, "completed", absl::Seconds(30)));
  CHECK(cluster.RunCount() == 6 * 2 + 3);
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: all nodes are killed right after a job was taken") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  REQUIRE(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(2, 1000)));
  for (int i = 0; i < 3; ++i) {
    cluster.node(i).Signal(SIGKILL);
    cluster.node(i).Wait();
  }
  for (int i = 0; i < 3; ++i) cluster.StartNode(i);
  REQUIRE(cluster.AwaitReady(3));
  CHECK(cluster.AwaitState(1, "completed", absl::Seconds(30)));
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: the store is down; what was accepted goes on") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  for (uint64_t job = 1; job <= 4; ++job)
    REQUIRE(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(1, 1500)));
  SiteStore::Faults down;
  down.down = true;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(down); });
  // An idle leader notices the outage at its next heartbeat to the store, which
  // it sends every 1.5 s.
  absl::SleepFor(absl::Milliseconds(2500));
  const HttpOutcome refused =
      cluster.Call(0, "POST", 50, SiteTestCluster::OneStepJob(1, 1));
  CHECK(StatusOf(refused) == 503);
  REQUIRE(refused.response.has_value());
  CHECK(!FindHeader(refused.response->headers, "Retry-After").empty());
  absl::SleepFor(absl::Milliseconds(1500));
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= 4; ++job)
    CHECK(cluster.AwaitState(job, "completed"));
  CHECK(cluster.State(50) == "gone");
  CHECK(cluster.RunCount() == 4);
  CheckNoViolations(cluster);
}

TEST_CASE(
    "site processes: what an outage gathered is kept in several appends") {
  SiteTestCluster::Options options;
  options.platform.workers = 30;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(3));
  constexpr uint64_t kJobs = 80;
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(StatusOf(cluster.Call(static_cast<int>(job % 3), "POST", job,
                                SiteTestCluster::OneStepJob(2, 2500, 1000))) ==
          200);
  // All jobs end while the store is down. The records of their ends exceed what
  // the store accepts in one append.
  SiteStore::Faults down;
  down.down = true;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(down); });
  absl::SleepFor(absl::Seconds(4));
  cluster.WithPlatform([](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(cluster.AwaitState(job, "completed"));
  CHECK(cluster.RunCount() == 2 * kJobs);
  CheckNoViolations(cluster);
}

TEST_CASE(
    "site processes: jobs complete despite lost answers of store and workers") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  SiteStore::Faults lossy;
  lossy.lost_answers = 0.3;
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(lossy);
    platform.SetLostOrderReplies(0.1);
  });
  for (uint64_t job = 1; job <= 8; ++job)
    CHECK(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(2, 200)));
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
    platform.SetLostOrderReplies(0);
  });
  for (uint64_t job = 1; job <= 8; ++job)
    CHECK(cluster.AwaitState(job, "completed", absl::Seconds(40)));
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: a lost answer of the store adds little latency") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  SiteStore::Faults lossy;
  lossy.lost_answers = 0.4;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(lossy); });
  constexpr uint64_t kJobs = 30;
  std::vector<absl::Duration> times;
  for (uint64_t job = 1; job <= kJobs; ++job) {
    const absl::Time start = absl::Now();
    REQUIRE(
        cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(1, 50, 200)));
    times.push_back(absl::Now() - start);
  }
  std::sort(times.begin(), times.end());
  // Seven of ten submissions lose at most one answer.
  CHECK(times[kJobs * 7 / 10] < absl::Milliseconds(450));
  cluster.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(cluster.AwaitState(job, "completed"));
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: each node is stopped as planned, in turn") {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(3));
  for (uint64_t job = 1; job <= 3; ++job)
    REQUIRE(cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(1, 12000)));
  for (int i = 0; i < 3; ++i) {
    cluster.node(i).Signal(SIGTERM);
    CHECK(cluster.node(i).Wait() == 0);
    cluster.StartNode(i);
    REQUIRE(cluster.AwaitReady(3));
  }
  for (uint64_t job = 1; job <= 3; ++job)
    CHECK(cluster.AwaitState(job, "completed", absl::Seconds(30)));
  CHECK(cluster.RunCount() == 3);
  CheckNoViolations(cluster);
}

TEST_CASE("site processes: a log that nobody reads stops nothing") {
  SiteTestCluster::Options options;
  options.blocked_logs = true;
  SiteTestCluster cluster(options);
  REQUIRE(cluster.AwaitReady(3));
  // Logs more lines than the pipe and the log's ring buffer hold.
  constexpr uint64_t kJobs = 400;
  for (uint64_t job = 1; job <= kJobs; ++job)
    REQUIRE(
        cluster.SubmitAnywhere(job, SiteTestCluster::OneStepJob(1, 50, 200)));
  for (uint64_t job = 1; job <= kJobs; ++job)
    REQUIRE(cluster.AwaitState(job, "completed"));
  CHECK(cluster.DroppedLogLines(cluster.Leader()) > 0);
  CheckNoViolations(cluster);
}

}  // namespace
}  // namespace keelbridge::testing
