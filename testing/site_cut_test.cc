// Nodes that are cut off from what they must know, as real processes: what they
// tell callers meanwhile and soon after.

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
constexpr absl::Duration kPause = absl::Milliseconds(30);

SiteCell::Options Proxied() {
  SiteCell::Options options;
  options.nodes = kNodes;
  options.proxies = true;
  return options;
}

int StatusOf(const HttpOutcome& outcome) {
  return outcome.response ? outcome.response->status : 0;
}

// A node that knows the version's queue refuses the id, others the queue.
bool ServesBy(SiteCell& cell, int node, int64_t version) {
  const HttpRequest request{
      "GET", VersionPrefix(version) + "none", {{"Host", kSiteHost}}, "", ""};
  return StatusOf(cell.Raw(node, request)) == 400;
}

void Publish(SiteCell& cell, int64_t version) {
  cell.WithPlatform([version](SitePlatform& platform) {
    platform.PublishConfiguration(version);
  });
}

// Every node serves by `version` within the bound of ConfigurationCheck:
// `kApply` from now on while nothing disturbs the nodes, `kInTouch` once their
// trouble has just ended.
void CheckAllServeBy(SiteCell& cell, int64_t version, absl::Duration bound) {
  const absl::Time until = absl::Now() + bound;
  for (int node = 0; node < kNodes; ++node) {
    bool serves = ServesBy(cell, node, version);
    while (!serves && absl::Now() < until) {
      absl::SleepFor(kPause);
      serves = ServesBy(cell, node, version);
    }
    CAPTURE(node);
    CHECK(serves);
  }
}

TEST_CASE("site cut: a change is heard of though polls get no answer") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  SiteStore::Faults faults;
  faults.silent_polls = true;
  cell.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(faults); });
  Publish(cell, 2);
  CheckAllServeBy(cell, 2, ConfigurationCheck::kApply);
}

TEST_CASE(
    "site cut: a change behind a silence that heals quietly is heard of") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  for (int node = 0; node < kNodes; ++node)
    cell.SetStoreProxy(node, Mode::kSilent);
  Publish(cell, 2);
  absl::SleepFor(absl::Seconds(1));
  for (int node = 0; node < kNodes; ++node) cell.HealStoreProxyQuietly(node);
  CheckAllServeBy(cell, 2, ConfigurationCheck::kInTouch);
}

TEST_CASE("site cut: polls that are cut after a change cost nothing") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  SiteStore::Faults faults;
  faults.silent_polls = true;
  cell.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(faults); });
  Publish(cell, 2);
  absl::SleepFor(absl::Seconds(1));
  cell.WithPlatform([](SitePlatform& platform) {
    platform.store().SetFaults({});
    platform.store().CutPolls();
  });
  // A second of the two is over.
  CheckAllServeBy(cell, 2, ConfigurationCheck::kApply - absl::Seconds(1));
}

// Nothing that the node could hear of another leader by reaches it any more.
void CutOff(SiteCell& cell, int node) {
  cell.SetStoreProxy(node, Mode::kSilent);
  for (int i = 0; i < kNodes; ++i) cell.SetPeerProxy(i, Mode::kSilent);
  for (int i = 0; i < SitePlatform::Options().workers; ++i)
    cell.SetWorkerProxy(i, Mode::kSilent);
}

// Hands `job` in at the nodes but `leader`; false: none accepted it in time.
bool AcceptedElsewhere(SiteCell& cell, int leader, uint64_t job) {
  const absl::Time until = absl::Now() + absl::Seconds(20);
  for (int turn = 0; absl::Now() < until; ++turn) {
    const int node = turn % kNodes;
    if (node == leader) continue;
    const std::string body = SiteCell::OneStep(1, 100);
    if (StatusOf(cell.Call(node, "POST", job, body)) == 200) return true;
    absl::SleepFor(kPause);
  }
  return false;
}

TEST_CASE("site cut: a leader that is cut off calls no accepted job unknown") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  const int leader = cell.Leader();
  REQUIRE(leader >= 0);
  CutOff(cell, leader);
  REQUIRE(AcceptedElsewhere(cell, leader, 1));
  constexpr int kLooks = 5;
  for (int i = 0; i < kLooks; ++i) {
    const int status = StatusOf(cell.Call(leader, "GET", 1));
    CHECK(status != 410);
    CHECK(status != 404);
    absl::SleepFor(kPause);
  }
}

// Callers that ask `node` for `job`, on connections that are open already, and
// wait for what it answers once it goes on.
class PatientCallers {
 public:
  PatientCallers(SiteCell& cell, int node) : cell_(cell), node_(node) {}

  void Ask(uint64_t job, int callers) {
    for (int i = 0; i < callers; ++i) {
      threads_.emplace_back([this, job] {
        const HttpOutcome outcome = cell_.Raw(node_,
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
  // How many of those that asked since the last time were told that nobody
  // knows the job.
  int Unknown() {
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    return unknown_.exchange(0);
  }

 private:
  SiteCell& cell_;
  const int node_;
  std::atomic<int> unknown_{0};
  std::vector<std::thread> threads_;
};

TEST_CASE("site cut: a leader that stood still calls no accepted job unknown") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  constexpr int kRounds = 3;
  constexpr int kCallers = 8;
  for (uint64_t job = 1; job <= kRounds; ++job) {
    CAPTURE(job);
    const int leader = cell.Leader();
    REQUIRE(leader >= 0);
    PatientCallers callers(cell, leader);
    callers.Ask(job + 100, kCallers);  // Nobody handed it in.
    CHECK(callers.Unknown() == kCallers);
    cell.node(leader).Signal(SIGSTOP);
    const bool accepted = AcceptedElsewhere(cell, leader, job);
    callers.Ask(job, kCallers);
    absl::SleepFor(kPause);
    cell.node(leader).Signal(SIGCONT);
    CHECK(accepted);
    CHECK(callers.Unknown() == 0);
    REQUIRE(cell.AwaitState(job, "completed"));
  }
}

TEST_CASE(
    "site cut: a call that comes late in a planned stop is answered before the "
    "process ends") {
  SiteCell cell(Proxied());
  REQUIRE(cell.AwaitReady(kNodes));
  const int node = (cell.Leader() + 1) % kNodes;
  // Whatever it passes on gets no answer.
  cell.SetStoreProxy(node, Mode::kSilent);
  for (int i = 0; i < kNodes; ++i) cell.SetPeerProxy(i, Mode::kSilent);
  cell.node(node).Signal(SIGTERM);
  // The grace is 6 s, a call is passed on for up to 2.6 s, and the process ends
  // 0.5 s before its grace. The first call keeps it until the others come. All
  // of them may have reached a leader, the last one with its only try.
  std::vector<std::thread> callers;
  std::vector<int> statuses(3);
  for (size_t i = 0; i < statuses.size(); ++i) {
    callers.emplace_back([&cell, &statuses, node, i] {
      absl::SleepFor(absl::Milliseconds(2000 + 1300 * static_cast<int>(i)));
      const HttpRequest request{"POST",
                                kSitePrefix + JobIdText(i + 1),
                                {{"Host", kSiteHost}},
                                SiteCell::OneStep(1, 100),
                                "application/json"};
      statuses[i] =
          StatusOf(cell.NewClient(node)->Send(request, absl::Seconds(4)));
    });
  }
  for (std::thread& caller : callers) caller.join();
  for (const int status : statuses) CHECK(status == 504);
  CHECK(cell.node(node).Wait() == 0);
}

}  // namespace
}  // namespace keelbridge::testing
