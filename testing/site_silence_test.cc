// Test with real processes: all open connections of a site stop delivering data
// at the same moment and are never closed, while new connections work.

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
// Limit for the first job that a node accepts after its connections stopped
// delivering data: covers one failed attempt of 1 s and the time to learn of
// the leader again.
constexpr absl::Duration kFirstAcceptTimeout = absl::Seconds(3);
// Limit for each further job. A call that uses no such connection takes about
// 20 ms.
constexpr absl::Duration kNextAcceptTimeout = absl::Milliseconds(800);
constexpr absl::Duration kPollInterval = absl::Milliseconds(30);
// Equals the number of connections that a node keeps to a peer.
constexpr int kCallers = 10;
constexpr int kFurtherCalls = 12;
// A node logs at most 5 such lines in 10 s, and the test ends within two of
// these periods.
constexpr int kMaxLogLines = 10;
constexpr int kLongMs = 9000;  // Longer than a lease, which is 6 s.
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

// Submits jobs of one task each to a site and keeps track of them.
class SubmittedJobs {
 public:
  explicit SubmittedJobs(SiteTestCluster& cluster) : cluster_(cluster) {}

  // Submits a new job at `node`, with retries for up to 20 s until it is
  // accepted. Returns how long this took.
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
  // Submits one job from each of `callers` threads per node.
  void SubmitAtAll(int callers, int work_ms) {
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(callers) * kNodes);
    for (int i = 0; i < callers * kNodes; ++i) {
      threads.emplace_back([this, i, work_ms] { Submit(i % kNodes, work_ms); });
    }
    for (std::thread& thread : threads) thread.join();
  }
  uint64_t count() const { return last_; }

  // Checks that all submitted jobs complete.
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

// Returns the number of log lines of `node` for `event`.
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

// Checks that each node accepts a first job and then further ones within the
// limits above.
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
  // Opens as many connections to the leader as a node keeps, and starts tasks
  // that still run when the connections stop delivering data.
  jobs.SubmitAtAll(kCallers, kShortMs);
  jobs.SubmitAtAll(2, kLongMs);
  jobs.SubmitAtAll(kCallers, kShortMs);
  absl::SleepFor(absl::Seconds(1));
  const int claims = CountClaims(cluster);
  cluster.BlackholeAllOpenConnections();
  CheckAllNodesAccept(jobs);
  jobs.CheckNoneLost();
  // The leader may miss the replies of the other nodes once, which causes one
  // claim of leadership, but claims must not repeat.
  CHECK(CountClaims(cluster) - claims <= 1);
  // No lease expired: each task ran once.
  CHECK(cluster.RunCount() == jobs.count());
  CHECK(cluster.Violations().empty());
  // Each node logs the connections that timed out, in a small number of lines.
  for (int node = 0; node < kNodes; ++node) {
    const int lines = CountLogLines(cluster, node, "connection_silent");
    CHECK(lines > 0);
    CHECK(lines <= kMaxLogLines);
  }
}

}  // namespace
}  // namespace keelbridge::testing
