#include "testing/support/soak_fault_injector.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace keelbridge::testing {
namespace {

using Mode = FaultProxy::Mode;

constexpr absl::Duration kFaultTime = absl::Seconds(3);
constexpr absl::Duration kShortestTime = absl::Seconds(1);
constexpr absl::Duration kLongestTime = absl::Seconds(5);
// Into a trouble that hides a change, the change is written.
constexpr absl::Duration kBeforeChange = absl::Milliseconds(400);
constexpr absl::Duration kDeafTime = absl::Seconds(1);
constexpr double kShrunkShare = 0.33;
constexpr uint64_t kFirstCrashingJob = 1000000;
constexpr double kLateShare = 0.4;
constexpr double kLostShare = 0.4;
constexpr double kLostOrdersShare = 0.3;
constexpr double kLateOrdersShare = 0.05;
// Of the time of other troubles, a worker is down for.
constexpr double kRestartShare = 0.3;
constexpr int kRestartsInSeries = 3;
constexpr absl::Duration kBetweenRestarts = absl::Milliseconds(150);

struct KindRange {
  Trouble first;
  Trouble end;  // Not one of them.
};

KindRange RangeOf(SoakKinds kinds) {
  switch (kinds) {
    case SoakKinds::kFirst:
      return {Trouble::kKillNode, Trouble::kFirstKinds};
    case SoakKinds::kLater:
      return {Trouble::kFirstKinds, Trouble::kSecondKinds};
    case SoakKinds::kFirstAndLater:
      return {Trouble::kKillNode, Trouble::kSecondKinds};
    case SoakKinds::kSilences:
      return {Trouble::kSecondKinds, Trouble::kThirdKinds};
    case SoakKinds::kWorkers:
      return {Trouble::kThirdKinds, Trouble::kFourthKinds};
    case SoakKinds::kRestarts:
      return {Trouble::kFourthKinds, Trouble::kFifthKinds};
    case SoakKinds::kLateRestarts:
      return {Trouble::kFifthKinds, Trouble::kCount};
    case SoakKinds::kAll:
      break;
  }
  // What late orders break is known and listed: those have a kind of their own.
  return {Trouble::kKillNode, Trouble::kFifthKinds};
}

}  // namespace

SoakTroubles::SoakTroubles(SiteCell& cell, NodeTouch& touch,
                           ConfigurationCheck& configurations, SoakJobs& jobs,
                           SoakRecord& record, const SoakOptions& options)
    : cell_(cell),
      touch_(touch),
      configurations_(configurations),
      jobs_(jobs),
      record_(record),
      options_(options),
      random_(options.seed),
      node_mutexes_(static_cast<size_t>(options.nodes)) {}

void SoakTroubles::Play() {
  const int count =
      2 + static_cast<int>(random_() % (options_.faults_at_most - 1));
  std::vector<std::pair<absl::Duration, Trouble>> plan;
  plan.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    plan.emplace_back(
        options_.length * (static_cast<double>(random_() % 100) / 100.0),
        DrawTrouble());
  }
  std::sort(plan.begin(), plan.end());
  Open open;
  for (const auto& [at, trouble] : plan) {
    const absl::Duration left = record_.begin() + at - absl::Now();
    if (left > absl::ZeroDuration()) absl::SleepFor(left);
    const int node = static_cast<int>(random_() % options_.nodes);
    const int worker = static_cast<int>(random_() % options_.workers);
    if (trouble < Trouble::kFirstKinds)
      Begin(trouble, node, worker, &open);
    else if (trouble < Trouble::kThirdKinds)
      BeginLater(trouble, node, &open);
    else if (trouble < Trouble::kFourthKinds)
      BeginWithWorkers(trouble, node, worker, &open);
    else
      BeginRestarts(trouble, node, worker, &open);
  }
  for (std::thread& thread : open) thread.join();
}

void SoakTroubles::Begin(Trouble trouble, int node, int worker, Open* open) {
  switch (trouble) {
    case Trouble::kKillNode:
      return Restart(node, SIGKILL, "kill", open);
    case Trouble::kStopNode:
      return Restart(node, SIGTERM, "stop", open);
    case Trouble::kPauseNode:
      return Pause(node, kFaultTime, open);
    case Trouble::kStoreSilent:
      return HarmStorePath(node, Mode::kSilent, "silence", open);
    case Trouble::kStoreReset:
      return HarmStorePath(node, Mode::kReset, "resets", open);
    case Trouble::kStoreOneWay:
      return HarmStorePath(node, Mode::kOneWay, "one way only", open);
    case Trouble::kStoreSlow:
      return HarmStorePath(node, Mode::kDelay, "delay", open);
    case Trouble::kPeersSilent:
      return HarmPeerPath({node}, Mode::kSilent, "silence", open);
    case Trouble::kPeersReset:
      return HarmPeerPath({node}, Mode::kReset, "resets", open);
    case Trouble::kPeersOneWay:
      return HarmPeerPath({node}, Mode::kOneWay, "one way only", open);
    case Trouble::kZoneCut:
      return CutZone(cell_.ZoneOf(node), open);
    case Trouble::kWorkerCrash:
      record_.Note(absl::StrCat("worker ", worker, " crashes"));
      cell_.WithPlatform([worker](SitePlatform& platform) {
        platform.CrashWorker(worker, kFaultTime);
      });
      return;
    case Trouble::kWorkerSilent:
      record_.Note(absl::StrCat("worker ", worker, " is silenced"));
      cell_.SetWorkerProxy(worker, Mode::kSilent);
      return Later(open, kFaultTime, [this, worker] {
        cell_.SetWorkerProxy(worker, Mode::kPass);
      });
    case Trouble::kStoreFault:
      return StoreFault(open);
    case Trouble::kLostOrders:
      record_.Note("orders to workers get no answer");
      SetLostOrders(kLostOrdersShare);
      return Later(open, kFaultTime, [this] { SetLostOrders(0); });
    case Trouble::kRollingStop:
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGTERM, "stop, one after the other:", open);
      return;
    case Trouble::kKillAll:
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGKILL, "kill, all at once:", open);
      return;
    default:
      return NewConfiguration();
  }
}

void SoakTroubles::BeginLater(Trouble trouble, int node, Open* open) {
  const absl::Duration time = DrawTime();
  switch (trouble) {
    case Trouble::kSilentPolls:
      return SilentPolls(time, open);
    case Trouble::kDeafPolls:
      return DeafPolls(open);
    case Trouble::kChangeBehindSilence:
      return ChangeBehindSilence(node, false, time, open);
    case Trouble::kForgottenHistory:
      return ChangeBehindSilence(node, true, time, open);
    case Trouble::kQuietStoreLoss:
      return SilenceStoreQuietly(node, time, open);
    case Trouble::kLateAppends:
      return LateAppends(time, open);
    case Trouble::kLeaderPaused:
      return Pause(LeaderOr(node), time, open);
    case Trouble::kLeaderCut: {
      const int leader = LeaderOr(node);
      SilenceStoreQuietly(leader, time, open);
      return SilencePeersQuietly(leader, time, open);
    }
    case Trouble::kLeaderAlone: {
      SilenceStoreQuietly(LeaderOr(node), time, open);
      for (int i = 0; i < options_.nodes; ++i)
        SilencePeersQuietly(i, time, open);
      return;
    }
    case Trouble::kNodeGoesSilent:
      return NodeGoesSilent(node);
    case Trouble::kAllGoSilent:
      return AllGoSilent();
    case Trouble::kChangeAfterAllGoSilent:
      AllGoSilent();
      return Later(open, kBeforeChange, [this] { NewConfiguration(); });
    default:
      return;
  }
}

void SoakTroubles::BeginWithWorkers(Trouble trouble, int node, int worker,
                                    Open* open) {
  const absl::Duration time = DrawTime();
  switch (trouble) {
    case Trouble::kWorkerShrinks:
      return ShrinkWorker(worker, time + kFaultTime);
    case Trouble::kCrashesAndLeaderGoes:
      CrashingJob(node);
      absl::SleepFor(kBeforeChange);
      return Restart(LeaderOr(node), SIGKILL, "kill", open);
    case Trouble::kCrashesAndAllPaused:
      CrashingJob(node);
      for (int i = 0; i < options_.nodes; ++i) Pause(i, time, open);
      return;
    default:
      return CrashingJob(node);
  }
}

void SoakTroubles::BeginRestarts(Trouble trouble, int node, int worker,
                                 Open* open) {
  const absl::Duration down = DrawTime() * kRestartShare;
  switch (trouble) {
    case Trouble::kWorkersRestartInSeries:
      return RestartInSeries(worker, down);
    case Trouble::kRestartsAndLateOrders:
      SetLateOrders(kLateOrdersShare);
      RestartInSeries(worker, down);
      return Later(open, kFaultTime, [this] { SetLateOrders(0); });
    case Trouble::kRestartsAndLeaderGoes:
      RestartInSeries(worker, down);
      return Restart(LeaderOr(node), SIGKILL, "kill", open);
    case Trouble::kPowerLost:
      for (int i = 0; i < options_.workers; ++i) RestartWorker(i, down);
      for (int i = 0; i < options_.nodes; ++i)
        Restart(i, SIGKILL, "kill, all at once:", open);
      return;
    default:
      return RestartWorker(worker, down);
  }
}

void SoakTroubles::RestartWorker(int worker, absl::Duration down) {
  record_.Note(absl::StrCat("worker ", worker, " starts again after ",
                            absl::ToInt64Milliseconds(down), " ms"));
  cell_.WithPlatform([worker, down](SitePlatform& platform) {
    platform.RestartWorker(worker, down);
  });
}

// The first one again, soon after it is back.
void SoakTroubles::RestartInSeries(int first, absl::Duration down) {
  for (int i = 0; i < std::min(kRestartsInSeries, options_.workers); ++i) {
    RestartWorker((first + i) % options_.workers, down);
    absl::SleepFor(kBetweenRestarts);
  }
  absl::SleepFor(down);
  RestartWorker(first, down);
}

void SoakTroubles::SetLateOrders(double share) {
  record_.Note(absl::StrCat("a share of ", share, " of orders comes late"));
  cell_.WithPlatform(
      [share](SitePlatform& platform) { platform.SetLateOrders(share); });
}

void SoakTroubles::CrashingJob(int node) {
  const uint64_t job = kFirstCrashingJob + crashing_jobs_++;
  record_.Note(absl::StrCat("job ", job, " whose tasks crash their workers"));
  jobs_.Crashes(job);
  const HttpOutcome outcome =
      cell_.Call(node, "POST", job, SiteCell::CrashingTasks(2));
  const int status = outcome.response ? outcome.response->status : 0;
  if (status == 200) return jobs_.Accepted(job);
  if (status == 503 || status == 429) return jobs_.Refused(job);
  jobs_.Unknown(job);
}

void SoakTroubles::ShrinkWorker(int worker, absl::Duration time) {
  record_.Note(absl::StrCat("worker ", worker, " shrinks for ",
                            absl::ToInt64Milliseconds(time), " ms"));
  cell_.WithPlatform([worker, time](SitePlatform& platform) {
    platform.ShrinkWorker(worker, kShrunkShare, time);
  });
}

void SoakTroubles::Later(Open* open, absl::Duration delay,
                         std::function<void()> step) {
  open->emplace_back([delay, step = std::move(step)] {
    absl::SleepFor(delay);
    step();
  });
}

Trouble SoakTroubles::DrawTrouble() {
  const KindRange range = RangeOf(options_.kinds);
  const auto first = static_cast<uint64_t>(range.first);
  const auto end = static_cast<uint64_t>(range.end);
  return static_cast<Trouble>(first + random_() % (end - first));
}

absl::Duration SoakTroubles::DrawTime() {
  const double share = static_cast<double>(random_() % 100) / 100.0;
  return kShortestTime + (kLongestTime - kShortestTime) * share;
}

int SoakTroubles::LeaderOr(int otherwise) {
  const int leader = cell_.Leader();
  return leader < 0 ? otherwise : leader;
}

std::vector<int> SoakTroubles::Others(int node) const {
  std::vector<int> others;
  for (int i = 0; i < options_.nodes; ++i) {
    if (i != node) others.push_back(i);
  }
  return others;
}

// Troubles of one node wait for each other: a series is played in turn.
void SoakTroubles::Restart(int node, int signal, const char* what, Open* open) {
  record_.Note(absl::StrCat(what, " node ", node));
  open->emplace_back([this, node, signal] {
    const std::lock_guard<std::mutex> lock(node_mutexes_[At(node)]);
    touch_.Disturb(node);
    cell_.node(node).Signal(signal);
    cell_.node(node).Wait();
    touch_.NextLife(node);
    cell_.StartNode(node);
    touch_.Restore(node);
  });
}

void SoakTroubles::Pause(int node, absl::Duration time, Open* open) {
  record_.Note(absl::StrCat("pause node ", node, " for ",
                            absl::ToInt64Milliseconds(time), " ms"));
  open->emplace_back([this, node, time] {
    const std::lock_guard<std::mutex> lock(node_mutexes_[At(node)]);
    touch_.Disturb(node);
    cell_.node(node).Signal(SIGSTOP);
    absl::SleepFor(time);
    cell_.node(node).Signal(SIGCONT);
    touch_.Restore(node);
  });
}

void SoakTroubles::HarmStorePath(int node, FaultProxy::Mode mode,
                                 const char* what, Open* open) {
  record_.Note(absl::StrCat(what, " between node ", node, " and the store"));
  touch_.Disturb(node);
  cell_.SetStoreProxy(node, mode);
  Later(open, kFaultTime, [this, node] {
    cell_.SetStoreProxy(node, Mode::kPass);
    touch_.Restore(node);
  });
}

void SoakTroubles::HarmPeerPath(const std::vector<int>& nodes,
                                FaultProxy::Mode mode, const char* what,
                                Open* open) {
  for (const int node : nodes) {
    record_.Note(absl::StrCat(what, " on the way of peers to node ", node));
    touch_.Disturb(node);
    cell_.SetPeerProxy(node, mode);
  }
  Later(open, kFaultTime, [this, nodes] {
    for (const int node : nodes) {
      cell_.SetPeerProxy(node, Mode::kPass);
      touch_.Restore(node);
    }
  });
}

void SoakTroubles::CutZone(int zone, Open* open) {
  std::vector<int> nodes;
  for (int i = 0; i < options_.nodes; ++i) {
    if (cell_.ZoneOf(i) == zone) nodes.push_back(i);
  }
  for (const int node : nodes)
    HarmStorePath(node, Mode::kSilent, "silence", open);
  HarmPeerPath(nodes, Mode::kSilent, "silence", open);
}

void SoakTroubles::SilenceStoreQuietly(int node, absl::Duration time,
                                       Open* open) {
  record_.Note(absl::StrCat("silence between node ", node,
                            " and the store, healed quietly after ",
                            absl::ToInt64Milliseconds(time), " ms"));
  touch_.Disturb(node);
  cell_.SetStoreProxy(node, Mode::kSilent);
  Later(open, time, [this, node] {
    cell_.HealStoreProxyQuietly(node);
    touch_.Restore(node);
  });
}

void SoakTroubles::SilencePeersQuietly(int node, absl::Duration time,
                                       Open* open) {
  record_.Note(absl::StrCat("silence on the way of peers to node ", node,
                            ", healed quietly after ",
                            absl::ToInt64Milliseconds(time), " ms"));
  touch_.Disturb(node);
  cell_.SetPeerProxy(node, Mode::kSilent);
  Later(open, time, [this, node] {
    cell_.HealPeerProxyQuietly(node);
    touch_.Restore(node);
  });
}

void SoakTroubles::StoreFault(Open* open) {
  SiteStore::Faults faults;
  const uint64_t draw = random_() % 3;
  faults.down = draw == 0;
  faults.silent = draw == 1;
  faults.lost_answers = draw == 2 ? kLostShare : 0;
  record_.Note(draw == 0   ? "the store is down"
               : draw == 1 ? "the store is silent"
                           : "answers of the store are lost");
  // Reads are answered while answers of appends are lost.
  const bool disturbs = faults.down || faults.silent;
  if (disturbs) touch_.DisturbAll();
  SetStoreFaults(faults);
  Later(open, kFaultTime, [this, disturbs] {
    SetStoreFaults({});
    if (disturbs) touch_.RestoreAll();
  });
}

void SoakTroubles::SetStoreFaults(SiteStore::Faults faults) {
  cell_.WithPlatform(
      [faults](SitePlatform& platform) { platform.store().SetFaults(faults); });
}

void SoakTroubles::SetLostOrders(double share) {
  cell_.WithPlatform(
      [share](SitePlatform& platform) { platform.SetLostOrders(share); });
}

// No node is disturbed by this: the store answers every other call.
void SoakTroubles::SilentPolls(absl::Duration time, Open* open) {
  record_.Note(absl::StrCat("polls get no answer for ",
                            absl::ToInt64Milliseconds(time), " ms"));
  SiteStore::Faults faults;
  faults.silent_polls = true;
  SetStoreFaults(faults);
  Later(open, kBeforeChange, [this] { NewConfiguration(); });
  Later(open, time, [this] { SetStoreFaults({}); });
}

void SoakTroubles::DeafPolls(Open* open) {
  record_.Note("polls hear nothing of a change, and are cut");
  SiteStore::Faults faults;
  faults.silent_polls = true;
  SetStoreFaults(faults);
  Later(open, kBeforeChange, [this] { NewConfiguration(); });
  Later(open, kDeafTime, [this] {
    SetStoreFaults({});
    cell_.WithPlatform(
        [](SitePlatform& platform) { platform.store().CutPolls(); });
  });
}

void SoakTroubles::LateAppends(absl::Duration time, Open* open) {
  record_.Note(absl::StrCat("appends are done late for ",
                            absl::ToInt64Milliseconds(time), " ms"));
  SiteStore::Faults faults;
  faults.late_appends = kLateShare;
  SetStoreFaults(faults);
  Later(open, time, [this] { SetStoreFaults({}); });
}

// `node` does not reach the store while the operator writes a change, nor does
// a part of the others.
void SoakTroubles::ChangeBehindSilence(int node, bool forget,
                                       absl::Duration time, Open* open) {
  SilenceStoreQuietly(node, time, open);
  for (const int other : Others(node)) {
    if (random_() % 2 == 0) SilenceStoreQuietly(other, time, open);
  }
  Later(open, kBeforeChange, [this, forget] {
    NewConfiguration();
    if (!forget) return;
    record_.Note("the store forgets its history");
    cell_.WithPlatform(
        [](SitePlatform& platform) { platform.store().ForgetAll(); });
  });
}

// Like a reset: in touch again from this moment on.
void SoakTroubles::NodeGoesSilent(int node) {
  record_.Note(absl::StrCat("what is open to the store and of peers goes ",
                            "silent for good: node ", node));
  touch_.Disturb(node);
  cell_.SilenceOpenOf(node);
  touch_.Restore(node);
}

void SoakTroubles::AllGoSilent() {
  record_.Note("what is open goes silent for good: all ways of all nodes");
  touch_.DisturbAll();
  cell_.SilenceAllOpen();
  touch_.RestoreAll();
}

void SoakTroubles::NewConfiguration() {
  const std::lock_guard<std::mutex> lock(configuration_mutex_);
  const int64_t version = ++configuration_;
  record_.Note(absl::StrCat("configuration ", version));
  cell_.WithPlatform([version](SitePlatform& platform) {
    platform.PublishConfiguration(version);
  });
  configurations_.Written(version, absl::Now());
}

}  // namespace keelbridge::testing
