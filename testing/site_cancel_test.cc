// Tests with real processes that a job does not run after its cancel was
// answered, although the call that hands it in arrives only then.

#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"

namespace keelbridge::testing {
namespace {

constexpr int kNodes = 3;
constexpr uint64_t kJob = 0xa0001;
constexpr int kNoSuchJob = 410;
// For how long a node stands still. Longer than the client waits.
constexpr absl::Duration kFrozen = absl::Milliseconds(3500);
constexpr absl::Duration kClientPatience = absl::Seconds(1);
// By the users' rule, a task may start this long after the cancel.
constexpr absl::Duration kMaxLateStart = absl::Seconds(3);

int OtherNode(int node) { return (node + 1) % kNodes; }

// What becomes of the leader that answered the cancel, before the node wakes.
enum class LeaderFate { kLeads, kKilled, kStopped };

bool AwaitLeaderAmong(SiteTestCluster& cluster, int not_node) {
  for (int i = 0; i < 100; ++i) {
    const int leader = cluster.Leader();
    if (leader >= 0 && leader != not_node) return true;
    absl::SleepFor(absl::Milliseconds(50));
  }
  return false;
}

// A client hands a job in to a node that stands still, leaves, and cancels the
// job at another node. Then the node wakes.
void CancelAtAnotherNode(LeaderFate fate) {
  SiteTestCluster cluster({});
  REQUIRE(cluster.AwaitReady(kNodes));
  const int leader = cluster.Leader();
  REQUIRE(leader >= 0);
  const int frozen = OtherNode(leader);
  const int awake = OtherNode(frozen);
  cluster.node(frozen).Signal(SIGSTOP);
  const absl::Time begin = absl::Now();
  const std::string job = SiteTestCluster::OneStepJob(1, 300);
  CHECK_FALSE(
      cluster.Call(frozen, "POST", kJob, job, kClientPatience).response);
  const HttpOutcome cancelled = cluster.Call(awake, "DELETE", kJob);
  REQUIRE(cancelled.response);
  REQUIRE(cancelled.response->status == kNoSuchJob);
  if (fate != LeaderFate::kLeads) {
    cluster.node(leader).Signal(fate == LeaderFate::kKilled ? SIGKILL
                                                            : SIGTERM);
    cluster.node(leader).Wait();
    cluster.RemoveNode(leader);
    CHECK(AwaitLeaderAmong(cluster, leader));
  }
  absl::SleepFor(begin + kFrozen - absl::Now());
  cluster.node(frozen).Signal(SIGCONT);
  absl::SleepFor(kMaxLateStart + absl::Seconds(3));
  CHECK(cluster.RunCount() == 0);
  CHECK(cluster.State(kJob) == "gone");
}

// Guards against: the job is accepted and runs as the node wakes (UNASKED).
TEST_CASE("site cancel: a node that stood still hands in a cancelled job") {
  CancelAtAnotherNode(LeaderFate::kLeads);
}

// Guards against: the cancel is known only to the leader that answered it.
TEST_CASE(
    "site cancel: a node that stood still hands in a cancelled job after the "
    "leader was killed") {
  CancelAtAnotherNode(LeaderFate::kKilled);
}

TEST_CASE(
    "site cancel: a node that stood still hands in a cancelled job after the "
    "leader was stopped") {
  CancelAtAnotherNode(LeaderFate::kStopped);
}

}  // namespace
}  // namespace keelbridge::testing
