// All connections of a site go silent for good at one moment, without an end,
// while new ones pass: what real processes do then.

#include <doctest/doctest.h>

#include <atomic>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;
// After a silence every node must accept jobs within this time: a lost try of
// 1 s, and a leader that is heard of again.
constexpr absl::Duration kFirstAcceptTimeout = absl::Seconds(3);
// Then each further one: a call that finds no silent connection takes some
// 20 ms.
constexpr absl::Duration kNextAcceptTimeout = absl::Milliseconds(800);
constexpr absl::Duration kPollInterval = absl::Milliseconds(30);
// As many calls at a time as a node keeps connections to a peer.
constexpr int kCallers = 10;
constexpr int kFurtherCalls = 12;
// At most 5 in 10 s, and the test is over within two such periods.
constexpr int kMaxLogLines = 10;
constexpr int kLongMs = 9000;  // Longer than a lease of 6 s.
constexpr int kShortMs = 100;

SiteTestCluster::Options ProxiedOptions() {
  SiteTestCluster::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  return options;
}

int StatusOf(const HttpOutcome& outcome) {
  return outcome.response ? outcome.response->status : 0;
}

// Jobs that were handed in at a site, each of one task.
class SubmittedJobs {
 public:
  explicit SubmittedJobs(SiteTestCluster& cluster) : cluster_(cluster) {}

  // Hands a new job in at `node` until it is accepted; how long it took.
  absl::Duration Submit(int node, int work_ms) {
    const uint64_t job = ++last_;
    const absl::Time start = absl::Now();
    const std::string body =
        SiteTestCluster::OneStepJob(1, work_ms, /*cpu=*/500);
    while (absl::Now() - start < absl::Seconds(20)) {
      if (StatusOf(cluster_.Call(node, "POST", job, body)) == 200) break;
      absl::SleepFor(kPollInterval);
    }
    return absl::Now() - start;
  }
  // From `callers` threads at each node, one job each.
  void SubmitAtAll(int callers, int work_ms) {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(callers) * kNodes);
    for (int i = 0; i < callers * kNodes; ++i) {
      threads.emplace_back([this, i, work_ms] { Submit(i % kNodes, work_ms); });
    }
    for (std::thread& thread : threads) thread.join();
  }
  uint64_t count() const { return last_; }

  // None is denied by any node, and all complete.
  void CheckNoneLost() {
    for (uint64_t job = 1; job <= last_; ++job) {
      CAPTURE(job);
      CHECK(cluster_.AwaitState(job, "completed", absl::Seconds(30)));
    }
  }

 private:
  SiteTestCluster& cluster_;
  std::atomic<uint64_t> last_{0};
};

// Lines of `event` that `node` has logged.
int CountLogLines(const SiteTestCluster& cluster, int node,
                  const std::string& event) {
  std::ifstream log(absl::StrCat(cluster.directory(), "/node-", node, ".log"));
  const std::string field = absl::StrCat("\"event\":\"", event, "\"");
  int lines = 0;
  std::string line;
  while (std::getline(log, line)) lines += absl::StrContains(line, field);
  return lines;
}

int CountClaims(const SiteTestCluster& cluster) {
  int claims = 0;
  for (int node = 0; node < kNodes; ++node)
    claims += CountLogLines(cluster, node, "claiming");
  return claims;
}

// Each node accepts jobs soon, and goes on to.
void CheckAllNodesAccept(SubmittedJobs& jobs) {
  std::vector<absl::Duration> first(kNodes);
  std::vector<absl::Duration> slowest(kNodes);
  std::vector<std::thread> threads;
  for (size_t node = 0; node < kNodes; ++node) {
    threads.emplace_back([&, node] {
      const int node_index = static_cast<int>(node);
      first[node] = jobs.Submit(node_index, kShortMs);
      for (int i = 0; i < kFurtherCalls; ++i)
        slowest[node] =
            std::max(slowest[node], jobs.Submit(node_index, kShortMs));
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (size_t node = 0; node < kNodes; ++node) {
    CAPTURE(node);
    CHECK(first[node] <= kFirstAcceptTimeout);
    CHECK(slowest[node] <= kNextAcceptTimeout);
  }
}

TEST_CASE("site silence: all that is open goes silent, and nothing is lost") {
  SiteTestCluster cluster(ProxiedOptions());
  REQUIRE(cluster.AwaitReady(kNodes));
  SubmittedJobs jobs(cluster);
  // Connections to the leader, as many as a node keeps; tasks that go on.
  jobs.SubmitAtAll(kCallers, kShortMs);
  jobs.SubmitAtAll(2, kLongMs);
  jobs.SubmitAtAll(kCallers, kShortMs);
  absl::SleepFor(absl::Seconds(1));
  const int claims = CountClaims(cluster);
  cluster.SilenceAllOpenConnections();
  CheckAllNodesAccept(jobs);
  jobs.CheckNoneLost();
  // One leader may have lost the others' word; that is no series.
  CHECK(CountClaims(cluster) - claims <= 1);
  // No lease lapsed: each task ran once.
  CHECK(cluster.RunCount() == jobs.count());
  CHECK(cluster.Faults().empty());
  // Each node tells of it, in few lines.
  for (int node = 0; node < kNodes; ++node) {
    const int lines = CountLogLines(cluster, node, "connection_silent");
    CHECK(lines > 0);
    CHECK(lines <= kMaxLogLines);
  }
}

}  // namespace
}  // namespace keelbridge::testing
