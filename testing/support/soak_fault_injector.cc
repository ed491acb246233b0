#include "testing/support/soak_fault_injector.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace keelbridge::testing {
namespace {

using Mode = FaultProxy::Mode;

constexpr absl::Duration kFaultDuration = absl::Seconds(3);
constexpr absl::Duration kMinDuration = absl::Seconds(1);
constexpr absl::Duration kMaxDuration = absl::Seconds(5);
// Delay from the beginning of a fault to the event that it is combined with: a
// configuration change during the fault, or the kill of the leader after the
// submission of a crashing job.
constexpr absl::Duration kChangeDelay = absl::Milliseconds(400);
constexpr absl::Duration kMissedChangeTime = absl::Seconds(1);
constexpr double kRemainingCapacityShare = 0.33;
constexpr uint64_t kFirstCrashingJob = 1000000;
constexpr double kLateAppendShare = 0.4;
constexpr double kLostAppendReplyShare = 0.4;
constexpr double kLostOrderReplyShare = 0.3;
constexpr double kLateOrderShare = 0.05;
// A restarting worker is down for this share of the duration of other faults.
constexpr double kRestartDownShare = 0.3;
constexpr int kRestartsInSeries = 3;
constexpr absl::Duration kRestartInterval = absl::Milliseconds(150);

struct KindRange {
  FaultKind first;
  FaultKind end;  // Not included.
};

KindRange RangeOf(SoakFaultSet kinds) {
  switch (kinds) {
    case SoakFaultSet::kFirst:
      return {FaultKind::kKillNode, FaultKind::kFirstKindsEnd};
    case SoakFaultSet::kLater:
      return {FaultKind::kFirstKindsEnd, FaultKind::kSecondKindsEnd};
    case SoakFaultSet::kFirstAndLater:
      return {FaultKind::kKillNode, FaultKind::kSecondKindsEnd};
    case SoakFaultSet::kSilences:
      return {FaultKind::kSecondKindsEnd, FaultKind::kThirdKindsEnd};
    case SoakFaultSet::kWorkers:
      return {FaultKind::kThirdKindsEnd, FaultKind::kFourthKindsEnd};
    case SoakFaultSet::kRestarts:
      return {FaultKind::kFourthKindsEnd, FaultKind::kFifthKindsEnd};
    case SoakFaultSet::kLateRestarts:
      return {FaultKind::kFifthKindsEnd, FaultKind::kCount};
    case SoakFaultSet::kAll:
      break;
  }
  // Late orders cause known failures, so they are drawn only by a set of their
  // own.
  return {FaultKind::kKillNode, FaultKind::kFifthKindsEnd};
}

}  // namespace

SoakFaultInjector::SoakFaultInjector(SiteTestCluster& cluster,
                                     NodeDisturbances& node_disturbances,
                                     ConfigurationCheck& configurations,
                                     SoakJobs& jobs, SoakRecord& record,
                                     const SoakOptions& options)
    : cluster_(cluster),
      node_disturbances_(node_disturbances),
      configurations_(configurations),
      jobs_(jobs),
      record_(record),
      options_(options),
      random_(options.seed),
      node_mutexes_(static_cast<size_t>(options.nodes)) {}

void SoakFaultInjector::InjectFaults() {
  const int count = 2 + static_cast<int>(random_() % (options_.max_faults - 1));
  std::vector<std::pair<absl::Duration, FaultKind>> plan;
  plan.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    plan.emplace_back(
        options_.length * (static_cast<double>(random_() % 100) / 100.0),
        DrawFaultKind());
  }
  std::sort(plan.begin(), plan.end());
  FaultThreads fault_threads;
  for (const auto& [at, kind] : plan) {
    const absl::Duration left = record_.begin() + at - absl::Now();
    if (left > absl::ZeroDuration()) absl::SleepFor(left);
    const int node = static_cast<int>(random_() % options_.nodes);
    const int worker = static_cast<int>(random_() % options_.workers);
    if (kind < FaultKind::kFirstKindsEnd)
      BeginFirstKinds(kind, node, worker, &fault_threads);
    else if (kind < FaultKind::kThirdKindsEnd)
      BeginLaterKinds(kind, node, &fault_threads);
    else if (kind < FaultKind::kFourthKindsEnd)
      BeginWorkerKinds(kind, node, worker, &fault_threads);
    else
      BeginRestartKinds(kind, node, worker, &fault_threads);
  }
  for (std::thread& thread : fault_threads) thread.join();
}

void SoakFaultInjector::BeginFirstKinds(FaultKind kind, int node, int worker,
                                        FaultThreads* fault_threads) {
  switch (kind) {
    case FaultKind::kKillNode:
      return Restart(node, SIGKILL, "kill", fault_threads);
    case FaultKind::kStopNode:
      return Restart(node, SIGTERM, "stop", fault_threads);
    case FaultKind::kPauseNode:
      return Pause(node, kFaultDuration, fault_threads);
    case FaultKind::kStoreBlackhole:
      return DisruptStorePath(node, Mode::kDropAll, "silence", fault_threads);
    case FaultKind::kStoreReset:
      return DisruptStorePath(node, Mode::kReset, "resets", fault_threads);
    case FaultKind::kStoreOneWay:
      return DisruptStorePath(node, Mode::kDropResponses, "one way only",
                              fault_threads);
    case FaultKind::kStoreSlow:
      return DisruptStorePath(node, Mode::kDelay, "delay", fault_threads);
    case FaultKind::kPeersBlackhole:
      return DisruptPeerPath({node}, Mode::kDropAll, "silence", fault_threads);
    case FaultKind::kPeersReset:
      return DisruptPeerPath({node}, Mode::kReset, "resets", fault_threads);
    case FaultKind::kPeersOneWay:
      return DisruptPeerPath({node}, Mode::kDropResponses, "one way only",
                             fault_threads);
    case FaultKind::kZoneCut:
      return CutZone(cluster_.ZoneOf(node), fault_threads);
    case FaultKind::kWorkerCrash:
      record_.RecordEvent(absl::StrCat("worker ", worker, " crashes"));
      cluster_.WithPlatform([worker](SitePlatform& platform) {
        platform.CrashWorker(worker, kFaultDuration);
      });
      return;
    case FaultKind::kWorkerBlackhole:
      record_.RecordEvent(absl::StrCat("worker ", worker, " is silenced"));
      cluster_.SetWorkerProxy(worker, Mode::kDropAll);
      return RunAfter(fault_threads, kFaultDuration, [this, worker] {
        cluster_.SetWorkerProxy(worker, Mode::kForward);
      });
    case FaultKind::kStoreFault:
      return InjectStoreFault(fault_threads);
    case FaultKind::kLostOrderReplies:
      record_.RecordEvent("replies to orders to workers are lost");
      SetLostOrderReplies(kLostOrderReplyShare);
      return RunAfter(fault_threads, kFaultDuration,
                      [this] { SetLostOrderReplies(0); });
    case FaultKind::kRollingStop:
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGTERM, "stop, one after the other:", fault_threads);
      return;
    case FaultKind::kKillAll:
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGKILL, "kill, all at once:", fault_threads);
      return;
    default:
      return PublishNewConfiguration();
  }
}

void SoakFaultInjector::BeginLaterKinds(FaultKind kind, int node,
                                        FaultThreads* fault_threads) {
  const absl::Duration time = DrawDuration();
  switch (kind) {
    case FaultKind::kDropPollResponses:
      return DropPollResponses(time, fault_threads);
    case FaultKind::kChangeMissedByPolls:
      return PublishChangeMissedByPolls(fault_threads);
    case FaultKind::kChangeDuringOutage:
      return PublishChangeDuringOutage(node, false, time, fault_threads);
    case FaultKind::kDroppedHistory:
      return PublishChangeDuringOutage(node, true, time, fault_threads);
    case FaultKind::kStoreBlackholeWithoutReset:
      return BlackholeStorePath(node, time, fault_threads);
    case FaultKind::kLateAppends:
      return DelayAppends(time, fault_threads);
    case FaultKind::kLeaderPaused:
      return Pause(LeaderOr(node), time, fault_threads);
    case FaultKind::kLeaderCut: {
      const int leader = LeaderOr(node);
      BlackholeStorePath(leader, time, fault_threads);
      return BlackholePeerPath(leader, time, fault_threads);
    }
    case FaultKind::kAllPeersCut: {
      BlackholeStorePath(LeaderOr(node), time, fault_threads);
      for (int i = 0; i < options_.nodes; ++i)
        BlackholePeerPath(i, time, fault_threads);
      return;
    }
    case FaultKind::kNodeConnectionsBlackholed:
      return BlackholeNodeConnections(node);
    case FaultKind::kAllConnectionsBlackholed:
      return BlackholeAllConnections();
    case FaultKind::kChangeAfterAllBlackholed:
      BlackholeAllConnections();
      return RunAfter(fault_threads, kChangeDelay,
                      [this] { PublishNewConfiguration(); });
    default:
      return;
  }
}

void SoakFaultInjector::BeginWorkerKinds(FaultKind kind, int node, int worker,
                                         FaultThreads* fault_threads) {
  const absl::Duration time = DrawDuration();
  switch (kind) {
    case FaultKind::kWorkerShrinks:
      return ShrinkWorker(worker, time + kFaultDuration);
    case FaultKind::kCrashesAndLeaderKilled:
      SubmitCrashingJob(node);
      absl::SleepFor(kChangeDelay);
      return Restart(LeaderOr(node), SIGKILL, "kill", fault_threads);
    case FaultKind::kCrashesAndAllPaused:
      SubmitCrashingJob(node);
      for (int i = 0; i < options_.nodes; ++i) Pause(i, time, fault_threads);
      return;
    default:
      return SubmitCrashingJob(node);
  }
}

void SoakFaultInjector::BeginRestartKinds(FaultKind kind, int node, int worker,
                                          FaultThreads* fault_threads) {
  const absl::Duration down = DrawDuration() * kRestartDownShare;
  switch (kind) {
    case FaultKind::kWorkersRestartInSeries:
      return RestartInSeries(worker, down);
    case FaultKind::kRestartsAndLateOrders:
      SetLateOrders(kLateOrderShare);
      RestartInSeries(worker, down);
      return RunAfter(fault_threads, kFaultDuration,
                      [this] { SetLateOrders(0); });
    case FaultKind::kRestartsAndLeaderKilled:
      RestartInSeries(worker, down);
      return Restart(LeaderOr(node), SIGKILL, "kill", fault_threads);
    case FaultKind::kPowerLoss:
      for (int i = 0; i < options_.workers; ++i) RestartWorker(i, down);
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGKILL, "kill, all at once:", fault_threads);
      return;
    default:
      return RestartWorker(worker, down);
  }
}

void SoakFaultInjector::RestartWorker(int worker, absl::Duration down) {
  record_.RecordEvent(absl::StrCat("worker ", worker, " restarts after ",
                                   absl::ToInt64Milliseconds(down), " ms"));
  cluster_.WithPlatform([worker, down](SitePlatform& platform) {
    platform.RestartWorker(worker, down);
  });
}

// Restarts workers one after the other, and then the first one a second time,
// soon after it is back.
void SoakFaultInjector::RestartInSeries(int first, absl::Duration down) {
  for (int i = 0; i < std::min(kRestartsInSeries, options_.workers); ++i) {
    RestartWorker((first + i) % options_.workers, down);
    absl::SleepFor(kRestartInterval);
  }
  absl::SleepFor(down);
  RestartWorker(first, down);
}

void SoakFaultInjector::SetLateOrders(double share) {
  record_.RecordEvent(
      absl::StrCat("a share of ", share, " of orders arrives late"));
  cluster_.WithPlatform(
      [share](SitePlatform& platform) { platform.SetLateOrders(share); });
}

void SoakFaultInjector::SubmitCrashingJob(int node) {
  const uint64_t job = kFirstCrashingJob + crashing_jobs_++;
  record_.RecordEvent(
      absl::StrCat("job ", job, " whose tasks crash their workers"));
  jobs_.RecordCrashing(job);
  const HttpOutcome outcome =
      cluster_.Call(node, "POST", job, SiteTestCluster::CrashingTasksJob(2));
  const int status = outcome.response ? outcome.response->status : 0;
  if (status == 200) return jobs_.RecordAccepted(job);
  if (status == 503 || status == 429) return jobs_.RecordRefused(job);
  jobs_.RecordUnknown(job);
}

void SoakFaultInjector::ShrinkWorker(int worker, absl::Duration time) {
  record_.RecordEvent(absl::StrCat("worker ", worker, " loses capacity for ",
                                   absl::ToInt64Milliseconds(time), " ms"));
  cluster_.WithPlatform([worker, time](SitePlatform& platform) {
    platform.ShrinkWorker(worker, kRemainingCapacityShare, time);
  });
}

void SoakFaultInjector::RunAfter(FaultThreads* fault_threads,
                                 absl::Duration delay,
                                 std::function<void()> step) {
  fault_threads->emplace_back([delay, step = std::move(step)] {
    absl::SleepFor(delay);
    step();
  });
}

FaultKind SoakFaultInjector::DrawFaultKind() {
  const KindRange range = RangeOf(options_.kinds);
  const auto first = static_cast<uint64_t>(range.first);
  const auto end = static_cast<uint64_t>(range.end);
  return static_cast<FaultKind>(first + random_() % (end - first));
}

absl::Duration SoakFaultInjector::DrawDuration() {
  const double share = static_cast<double>(random_() % 100) / 100.0;
  return kMinDuration + (kMaxDuration - kMinDuration) * share;
}

int SoakFaultInjector::LeaderOr(int fallback) {
  const int leader = cluster_.Leader();
  return leader < 0 ? fallback : leader;
}

std::vector<int> SoakFaultInjector::OtherNodes(int node) const {
  std::vector<int> others;
  for (int i = 0; i < options_.nodes; ++i) {
    if (i != node) others.push_back(i);
  }
  return others;
}

// Restarts and pauses of one node are serialized, so that a series of them
// takes place one after the other.
void SoakFaultInjector::Restart(int node, int signal, const char* what,
                                FaultThreads* fault_threads) {
  record_.RecordEvent(absl::StrCat(what, " node ", node));
  fault_threads->emplace_back([this, node, signal] {
    const std::lock_guard<std::mutex> lock(node_mutexes_[IndexOf(node)]);
    node_disturbances_.Disturb(node);
    cluster_.node(node).Signal(signal);
    cluster_.node(node).Wait();
    node_disturbances_.StartNextIncarnation(node);
    cluster_.StartNode(node);
    node_disturbances_.Restore(node);
  });
}

void SoakFaultInjector::Pause(int node, absl::Duration time,
                              FaultThreads* fault_threads) {
  record_.RecordEvent(absl::StrCat("pause node ", node, " for ",
                                   absl::ToInt64Milliseconds(time), " ms"));
  fault_threads->emplace_back([this, node, time] {
    const std::lock_guard<std::mutex> lock(node_mutexes_[IndexOf(node)]);
    node_disturbances_.Disturb(node);
    cluster_.node(node).Signal(SIGSTOP);
    absl::SleepFor(time);
    cluster_.node(node).Signal(SIGCONT);
    node_disturbances_.Restore(node);
  });
}

void SoakFaultInjector::DisruptStorePath(int node, FaultProxy::Mode mode,
                                         const char* what,
                                         FaultThreads* fault_threads) {
  record_.RecordEvent(
      absl::StrCat(what, " between node ", node, " and the store"));
  node_disturbances_.Disturb(node);
  cluster_.SetStoreProxy(node, mode);
  RunAfter(fault_threads, kFaultDuration, [this, node] {
    cluster_.SetStoreProxy(node, Mode::kForward);
    node_disturbances_.Restore(node);
  });
}

void SoakFaultInjector::DisruptPeerPath(const std::vector<int>& nodes,
                                        FaultProxy::Mode mode, const char* what,
                                        FaultThreads* fault_threads) {
  for (const int node : nodes) {
    record_.RecordEvent(
        absl::StrCat(what, " on the path from peers to node ", node));
    node_disturbances_.Disturb(node);
    cluster_.SetPeerProxy(node, mode);
  }
  RunAfter(fault_threads, kFaultDuration, [this, nodes] {
    for (const int node : nodes) {
      cluster_.SetPeerProxy(node, Mode::kForward);
      node_disturbances_.Restore(node);
    }
  });
}

void SoakFaultInjector::CutZone(int zone, FaultThreads* fault_threads) {
  std::vector<int> nodes;
  for (int i = 0; i < options_.nodes; ++i) {
    if (cluster_.ZoneOf(i) == zone) nodes.push_back(i);
  }
  for (const int node : nodes)
    DisruptStorePath(node, Mode::kDropAll, "silence", fault_threads);
  DisruptPeerPath(nodes, Mode::kDropAll, "silence", fault_threads);
}

void SoakFaultInjector::BlackholeStorePath(int node, absl::Duration time,
                                           FaultThreads* fault_threads) {
  record_.RecordEvent(
      absl::StrCat("silence between node ", node,
                   " and the store, ended without a reset after ",
                   absl::ToInt64Milliseconds(time), " ms"));
  node_disturbances_.Disturb(node);
  cluster_.SetStoreProxy(node, Mode::kDropAll);
  RunAfter(fault_threads, time, [this, node] {
    cluster_.HealStoreProxyWithoutReset(node);
    node_disturbances_.Restore(node);
  });
}

void SoakFaultInjector::BlackholePeerPath(int node, absl::Duration time,
                                          FaultThreads* fault_threads) {
  record_.RecordEvent(absl::StrCat("silence on the path from peers to node ",
                                   node, ", ended without a reset after ",
                                   absl::ToInt64Milliseconds(time), " ms"));
  node_disturbances_.Disturb(node);
  cluster_.SetPeerProxy(node, Mode::kDropAll);
  RunAfter(fault_threads, time, [this, node] {
    cluster_.HealPeerProxyWithoutReset(node);
    node_disturbances_.Restore(node);
  });
}

void SoakFaultInjector::InjectStoreFault(FaultThreads* fault_threads) {
  SiteStore::Faults faults;
  const uint64_t draw = random_() % 3;
  faults.down = draw == 0;
  faults.unresponsive = draw == 1;
  faults.lost_answers = draw == 2 ? kLostAppendReplyShare : 0;
  record_.RecordEvent(draw == 0   ? "the store is down"
                      : draw == 1 ? "the store does not answer"
                                  : "replies of the store to appends are lost");
  // While the replies to appends are lost, reads are still answered.
  const bool disturbs = faults.down || faults.unresponsive;
  if (disturbs) node_disturbances_.DisturbAll();
  SetStoreFaults(faults);
  RunAfter(fault_threads, kFaultDuration, [this, disturbs] {
    SetStoreFaults({});
    if (disturbs) node_disturbances_.RestoreAll();
  });
}

void SoakFaultInjector::SetStoreFaults(SiteStore::Faults faults) {
  cluster_.WithPlatform(
      [faults](SitePlatform& platform) { platform.store().SetFaults(faults); });
}

void SoakFaultInjector::SetLostOrderReplies(double share) {
  cluster_.WithPlatform(
      [share](SitePlatform& platform) { platform.SetLostOrderReplies(share); });
}

// This does not count as a disturbance of the nodes, since the store answers
// all other calls.
void SoakFaultInjector::DropPollResponses(absl::Duration time,
                                          FaultThreads* fault_threads) {
  record_.RecordEvent(absl::StrCat("polls get no answer for ",
                                   absl::ToInt64Milliseconds(time), " ms"));
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  SetStoreFaults(faults);
  RunAfter(fault_threads, kChangeDelay, [this] { PublishNewConfiguration(); });
  RunAfter(fault_threads, time, [this] { SetStoreFaults({}); });
}

void SoakFaultInjector::PublishChangeMissedByPolls(
    FaultThreads* fault_threads) {
  record_.RecordEvent(
      "polls do not receive a change and are then disconnected");
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  SetStoreFaults(faults);
  RunAfter(fault_threads, kChangeDelay, [this] { PublishNewConfiguration(); });
  RunAfter(fault_threads, kMissedChangeTime, [this] {
    SetStoreFaults({});
    cluster_.WithPlatform(
        [](SitePlatform& platform) { platform.store().CloseLongPolls(); });
  });
}

void SoakFaultInjector::DelayAppends(absl::Duration time,
                                     FaultThreads* fault_threads) {
  record_.RecordEvent(absl::StrCat("appends take effect late for ",
                                   absl::ToInt64Milliseconds(time), " ms"));
  SiteStore::Faults faults;
  faults.late_appends = kLateAppendShare;
  SetStoreFaults(faults);
  RunAfter(fault_threads, time, [this] { SetStoreFaults({}); });
}

// Neither `node` nor a random part of the other nodes can reach the store while
// the operator writes a change.
void SoakFaultInjector::PublishChangeDuringOutage(int node, bool drop_history,
                                                  absl::Duration time,
                                                  FaultThreads* fault_threads) {
  BlackholeStorePath(node, time, fault_threads);
  for (const int other : OtherNodes(node)) {
    if (random_() % 2 == 0) BlackholeStorePath(other, time, fault_threads);
  }
  RunAfter(fault_threads, kChangeDelay, [this, drop_history] {
    PublishNewConfiguration();
    if (!drop_history) return;
    record_.RecordEvent("the store drops its history");
    cluster_.WithPlatform(
        [](SitePlatform& platform) { platform.store().DropAllHistory(); });
  });
}

// Ends at once, like a reset: the node counts as undisturbed from then on.
void SoakFaultInjector::BlackholeNodeConnections(int node) {
  record_.RecordEvent(
      absl::StrCat("open connections to the store and from peers ",
                   "drop all data for good: node ", node));
  node_disturbances_.Disturb(node);
  cluster_.BlackholeOpenConnectionsOf(node);
  node_disturbances_.Restore(node);
}

void SoakFaultInjector::BlackholeAllConnections() {
  record_.RecordEvent(
      "all open connections of all nodes drop all data for good");
  node_disturbances_.DisturbAll();
  cluster_.BlackholeAllOpenConnections();
  node_disturbances_.RestoreAll();
}

void SoakFaultInjector::PublishNewConfiguration() {
  const std::lock_guard<std::mutex> lock(configuration_mutex_);
  const int64_t version = ++configuration_version_;
  record_.RecordEvent(absl::StrCat("configuration ", version));
  cluster_.WithPlatform([version](SitePlatform& platform) {
    platform.PublishConfiguration(version);
  });
  configurations_.RecordWrite(version, absl::Now());
}

}  // namespace keelbridge::testing
