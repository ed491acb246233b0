// Tests with real processes of nodes that are isolated from the store, the
// workers or their peers: which answers they give to clients during the outage
// and shortly after it.

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"
#include "testing/support/configuration_check.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

using Mode = FaultProxy::Mode;

constexpr int kNodes = 3;
constexpr absl::Duration kPollInterval = absl::Milliseconds(30);

SiteTestCluster::Options ProxiedOptions() {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  return options;
}

int StatusOf(const HttpOutcome& outcome) {
  return outcome.response ? outcome.response->status : 0;
}

// Returns whether `node` serves configuration `version`. The request names the
// queue of that version with an invalid job id: a node that knows the queue
// answers 400, and any other node answers that the queue does not exist.
bool ServesVersion(SiteTestCluster& cluster, int node, int64_t version) {
  const HttpRequest request{
      "GET", VersionPrefix(version) + "none", {{"Host", kSiteHost}}, "", ""};
  return StatusOf(cluster.SendRequest(node, request)) == 400;
}

void Publish(SiteTestCluster& cluster, int64_t version) {
  cluster.WithPlatform([version](SitePlatform& platform) {
    platform.PublishConfiguration(version);
  });
}

// Checks that every node serves configuration `version` within `time_limit`
// from now. The limits are those of ConfigurationCheck: `kApplyTime` while no
// fault affects the nodes, and `kRecoveryTime` when a fault has just ended.
void CheckAllServeVersion(SiteTestCluster& cluster, int64_t version,
                          absl::Duration time_limit) {
  const absl::Time deadline = absl::Now() + time_limit;
  for (int node = 0; node < kNodes; ++node) {
    bool serves = ServesVersion(cluster, node, version);
    while (!serves && absl::Now() < deadline) {
      absl::SleepFor(kPollInterval);
      serves = ServesVersion(cluster, node, version);
    }
    CAPTURE(node);
    CHECK(serves);
  }
}

TEST_CASE("site cut: a change is heard of though polls get no answer") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(faults); });
  Publish(cluster, 2);
  CheckAllServeVersion(cluster, 2, ConfigurationCheck::kApplyTime);
}

TEST_CASE(
    "site cut: a change during a silent outage without resets is applied") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  for (int node = 0; node < kNodes; ++node)
    cluster.SetStoreProxy(node, Mode::kDropAll);
  Publish(cluster, 2);
  absl::SleepFor(absl::Seconds(1));
  for (int node = 0; node < kNodes; ++node)
    cluster.HealStoreProxyWithoutReset(node);
  CheckAllServeVersion(cluster, 2, ConfigurationCheck::kRecoveryTime);
}

TEST_CASE("site cut: polls closed after a change do not delay it") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  cluster.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(faults); });
  Publish(cluster, 2);
  absl::SleepFor(absl::Seconds(1));
  cluster.WithPlatform([](SitePlatform& platform) {
    platform.store().SetFaults({});
    platform.store().CloseLongPolls();
  });
  // One second of the limit has already passed.
  CheckAllServeVersion(cluster, 2,
                       ConfigurationCheck::kApplyTime - absl::Seconds(1));
}

// Isolates the node from the store, its peers and all workers, so that it
// cannot learn of another leader.
void IsolateNode(SiteTestCluster& cluster, int node) {
  cluster.SetStoreProxy(node, Mode::kDropAll);
  for (int i = 0; i < kNodes; ++i) cluster.SetPeerProxy(i, Mode::kDropAll);
  for (int i = 0; i < SitePlatform::Options().workers; ++i)
    cluster.SetWorkerProxy(i, Mode::kDropAll);
}

// Submits `job` at every node except `leader` in turn until one accepts it.
// Returns false if none does so within 20 s.
bool SubmitToOtherNodes(SiteTestCluster& cluster, int leader, uint64_t job) {
  const absl::Time deadline = absl::Now() + absl::Seconds(20);
  for (int attempt = 0; absl::Now() < deadline; ++attempt) {
    const int node = attempt % kNodes;
    if (node == leader) continue;
    const std::string body = SiteTestCluster::OneStepJob(1, 100);
    if (StatusOf(cluster.Call(node, "POST", job, body)) == 200) return true;
    absl::SleepFor(kPollInterval);
  }
  return false;
}

TEST_CASE("site cut: an isolated leader reports no accepted job as unknown") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  IsolateNode(cluster, leader);
  REQUIRE(SubmitToOtherNodes(cluster, leader, 1));
  constexpr int kQueries = 5;
  for (int i = 0; i < kQueries; ++i) {
    const int status = StatusOf(cluster.Call(leader, "GET", 1));
    CHECK(status != 410);
    CHECK(status != 404);
    absl::SleepFor(kPollInterval);
  }
}

// Concurrent callers that request jobs from a node on persistent connections.
// The node may be suspended meanwhile: the callers then wait until it resumes
// and answers.
class ConcurrentCallers {
 public:
  ConcurrentCallers(SiteTestCluster& cluster, int node)
      : cluster_(cluster), node_(node) {}

  void StartCalls(uint64_t job, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, job] {
        const HttpOutcome outcome =
            cluster_.SendRequest(node_,
                                 {"GET",
                                  kSitePrefix + JobIdText(job),
                                  {{"Host", kSiteHost}},
                                  "",
                                  ""},
                                 absl::Seconds(6));
        if (StatusOf(outcome) == 410 || StatusOf(outcome) == 404) ++unknown_;
      });
    }
  }
  // Waits for all calls started since the last call of this function. Returns
  // how many of them were answered that the job is unknown.
  int JoinAndCountUnknown() {
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return unknown_.exchange(0);
  }

 private:
  SiteTestCluster& cluster_;
  const int node_;
  std::atomic<int> unknown_{0};
  std::vector<std::thread> threads_;
};

TEST_CASE(
    "site cut: a leader that stood still reports no accepted job as unknown") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  constexpr int kRounds = 3;
  constexpr int kCallers = 8;
  for (uint64_t job = 1; job <= kRounds; ++job) {
    CAPTURE(job);
    const int leader = cluster.Leader();
    REQUIRE(leader >= 0);
    ConcurrentCallers callers(cluster, leader);
    callers.StartCalls(job + 100, kCallers);  // Never submitted.
    CHECK(callers.JoinAndCountUnknown() == kCallers);
    cluster.node(leader).Signal(SIGSTOP);
    const bool accepted = SubmitToOtherNodes(cluster, leader, job);
    callers.StartCalls(job, kCallers);
    absl::SleepFor(kPollInterval);
    cluster.node(leader).Signal(SIGCONT);
    CHECK(accepted);
    CHECK(callers.JoinAndCountUnknown() == 0);
    REQUIRE(cluster.AwaitState(job, "completed"));
  }
}

TEST_CASE(
    "site cut: a call that comes late in a planned stop is answered before the "
    "process ends") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  const int node = (cluster.Leader() + 1) % kNodes;
  // Calls that the node forwards get no answer.
  cluster.SetStoreProxy(node, Mode::kDropAll);
  for (int i = 0; i < kNodes; ++i) cluster.SetPeerProxy(i, Mode::kDropAll);
  cluster.node(node).Signal(SIGTERM);
  // The grace period is 6 s, a call is forwarded for up to 2.6 s, and the
  // process exits 0.5 s before the end of the grace period. The first call
  // keeps the process running until the others arrive. Each of the calls may
  // have reached a leader; the last one has time for a single attempt only.
  std::vector<std::thread> callers;
  std::vector<int> statuses(3);
  for (size_t i = 0; i < statuses.size(); ++i) {
    callers.emplace_back([&cluster, &statuses, node, i] {
      absl::SleepFor(absl::Milliseconds(2000 + 1300 * static_cast<int>(i)));
      const HttpRequest request{"POST",
                                kSitePrefix + JobIdText(i + 1),
                                {{"Host", kSiteHost}},
                                SiteTestCluster::OneStepJob(1, 100),
                                "application/json"};
      statuses[i] =
          StatusOf(cluster.NewClient(node)->Send(request, absl::Seconds(4)));
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const int status : statuses) CHECK(status == 504);
  CHECK(cluster.node(node).Wait() == 0);
}

}  // namespace
}  // namespace keelbridge::testing
