#include "testing/support/site_soak.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"
#include "testing/support/site_cell.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kSubmitEvery = absl::Milliseconds(120);
constexpr absl::Duration kFaultTime = absl::Seconds(3);

// What a caller knows of a job.
struct Known {
  bool accepted = false;
  bool refused = false;  // Every answer so far said that it was not taken.
  bool unknown = false;
  bool cancel_sent = false;
  std::string state;
};

// What a soak does to a site. Each lasts about `kFaultTime`, but for those
// that are over at once; they come in series, and over each other.
enum class Trouble {
  kKillNode,
  kStopNode,
  kPauseNode,
  kStoreSilent,  // Between one node and the store, as the next three.
  kStoreReset,
  kStoreOneWay,
  kStoreSlow,
  kPeersSilent,  // One node cannot be reached by the others, as the next two.
  kPeersReset,
  kPeersOneWay,
  kZoneCut,  // The nodes of a zone lose the store, and the others them.
  kWorkerCrash,
  kWorkerSilent,
  kStoreFault,  // The store itself: down, silent, or losing answers.
  kLostOrders,  // Workers carry orders out and do not answer.
  kRollingStop,
  kKillAll,
  kNewConfiguration,
  kCount,
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        cell_(CellOptions(options)),
        node_mutexes_(static_cast<size_t>(options.nodes)) {}

  SoakReport Run() {
    report_.logs = cell_.directory();
    if (!cell_.AwaitReady(options_.nodes)) {
      Fault("the nodes were not ready in time");
      return Finish();
    }
    begin_ = absl::Now();
    std::thread callers([this] { CallForLength(); });
    DrawFaults();
    callers.join();
    Heal();
    Settle();
    return Finish();
  }

 private:
  static SiteCell::Options CellOptions(const SoakOptions& options) {
    SiteCell::Options out;
    out.nodes = options.nodes;
    out.proxies = true;
    out.platform.workers = options.workers;
    out.platform.seed = options.seed;
    return out;
  }

  void Note(const std::string& what) {
    report_.happened.push_back(absl::StrCat(
        absl::ToInt64Milliseconds(absl::Now() - begin_), " ms ", what));
  }
  void Fault(const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    report_.faults.push_back(what);
  }

  // Submits and looks at jobs through nodes in turn.
  void CallForLength() {
    std::mt19937_64 random(options_.seed + 1);
    uint64_t next = 1;
    while (absl::Now() < begin_ + options_.length) {
      const uint64_t job = next++;
      const int node = static_cast<int>(random() % options_.nodes);
      const std::string body = random() % 4 == 0
                                   ? SiteCell::GangThenOne(3)
                                   : SiteCell::OneStep(2, 300 + random() % 600);
      Submit(job, node, body);
      if (random() % 3 == 0) Look(1 + random() % job, node);
      if (random() % 12 == 0) Cancel(1 + random() % job, node);
      absl::SleepFor(kSubmitEvery);
    }
  }

  void Submit(uint64_t job, int node, const std::string& body) {
    Known& known = jobs_[job];
    for (int attempt = 0; attempt < 3; ++attempt) {
      const HttpOutcome outcome =
          cell_.Call((node + attempt) % options_.nodes, "POST", job, body);
      const int status = outcome.response ? outcome.response->status : 0;
      if (status == 200) {
        known.accepted = true;
        return;
      }
      if (status == 503 || status == 429)
        known.refused = true;
      else
        known.unknown = true;
    }
  }

  void Cancel(uint64_t job, int node) {
    Known& known = jobs_[job];
    if (!known.accepted) return;
    known.cancel_sent = true;
    const HttpOutcome outcome = cell_.Call(node, "DELETE", job);
    if (outcome.response && outcome.response->status == 410)
      Fault(absl::StrCat("LOST: job ", JobIdText(job),
                         " is not known when it is cancelled"));
  }

  void Look(uint64_t job, int node) {
    const HttpOutcome outcome = cell_.Call(node, "GET", job);
    if (!outcome.response) return;
    Known& known = jobs_[job];
    if (outcome.response->status == 410 && known.accepted)
      Fault(absl::StrCat("LOST: job ", JobIdText(job), " is not known"));
  }

  void DrawFaults() {
    const int count =
        2 + static_cast<int>(random_() % (options_.faults_at_most - 1));
    std::vector<std::pair<absl::Duration, Trouble>> plan;
    plan.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      plan.emplace_back(
          options_.length * (static_cast<double>(random_() % 100) / 100.0),
          static_cast<Trouble>(random_() %
                               static_cast<uint64_t>(Trouble::kCount)));
    }
    std::sort(plan.begin(), plan.end());
    std::vector<std::thread> open;
    for (const auto& [at, trouble] : plan) {
      const absl::Duration left = begin_ + at - absl::Now();
      if (left > absl::ZeroDuration()) absl::SleepFor(left);
      const int node = static_cast<int>(random_() % options_.nodes);
      const int worker = static_cast<int>(random_() % options_.workers);
      Begin(trouble, node, worker, &open);
    }
    for (std::thread& thread : open) thread.join();
  }

  void Begin(Trouble trouble, int node, int worker,
             std::vector<std::thread>* open) {
    using Mode = FaultProxy::Mode;
    switch (trouble) {
      case Trouble::kKillNode:
        return Restart(node, SIGKILL, "kill", open);
      case Trouble::kStopNode:
        return Restart(node, SIGTERM, "stop", open);
      case Trouble::kPauseNode:
        return Pause(node, open);
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
        Note(absl::StrCat("worker ", worker, " crashes"));
        cell_.WithPlatform([worker](SitePlatform& platform) {
          platform.CrashWorker(worker, kFaultTime);
        });
        return;
      case Trouble::kWorkerSilent:
        Note(absl::StrCat("worker ", worker, " is silenced"));
        cell_.SetWorkerProxy(worker, Mode::kSilent);
        return Later(open, [this, worker] {
          cell_.SetWorkerProxy(worker, Mode::kPass);
        });
      case Trouble::kStoreFault:
        return StoreFault(open);
      case Trouble::kLostOrders:
        Note("orders to workers get no answer");
        SetLostOrders(0.3);
        return Later(open, [this] { SetLostOrders(0); });
      case Trouble::kRollingStop:
        for (int i = 0; i < options_.nodes; ++i)
          Restart(i, SIGTERM, "stop, one after the other:", open);
        return;
      case Trouble::kKillAll:
        for (int i = 0; i < options_.nodes; ++i)
          Restart(i, SIGKILL, "kill, all at once:", open);
        return;
      case Trouble::kNewConfiguration:
        Note(absl::StrCat("configuration ", ++configuration_));
        cell_.WithPlatform([this](SitePlatform& platform) {
          platform.PublishConfiguration(configuration_);
        });
        return;
      case Trouble::kCount:
        return;
    }
  }

  static void Later(std::vector<std::thread>* open,
                    std::function<void()> step) {
    open->emplace_back([step = std::move(step)] {
      absl::SleepFor(kFaultTime);
      step();
    });
  }

  void SetLostOrders(double share) {
    cell_.WithPlatform(
        [share](SitePlatform& platform) { platform.SetLostOrders(share); });
  }

  void HarmStorePath(int node, FaultProxy::Mode mode, const char* what,
                     std::vector<std::thread>* open) {
    Note(absl::StrCat(what, " between node ", node, " and the store"));
    cell_.SetStoreProxy(node, mode);
    Later(open,
          [this, node] { cell_.SetStoreProxy(node, FaultProxy::Mode::kPass); });
  }

  void HarmPeerPath(const std::vector<int>& nodes, FaultProxy::Mode mode,
                    const char* what, std::vector<std::thread>* open) {
    for (const int node : nodes) {
      Note(absl::StrCat(what, " on the way of peers to node ", node));
      cell_.SetPeerProxy(node, mode);
    }
    Later(open, [this, nodes] {
      for (const int node : nodes)
        cell_.SetPeerProxy(node, FaultProxy::Mode::kPass);
    });
  }

  void CutZone(int zone, std::vector<std::thread>* open) {
    std::vector<int> nodes;
    for (int i = 0; i < options_.nodes; ++i) {
      if (cell_.ZoneOf(i) == zone) nodes.push_back(i);
    }
    for (const int node : nodes)
      HarmStorePath(node, FaultProxy::Mode::kSilent, "silence", open);
    HarmPeerPath(nodes, FaultProxy::Mode::kSilent, "silence", open);
  }

  // Troubles of one node wait for each other: a series is played in turn.
  void Restart(int node, int signal, const char* what,
               std::vector<std::thread>* open) {
    Note(absl::StrCat(what, " node ", node));
    open->emplace_back([this, node, signal] {
      const std::lock_guard<std::mutex> lock(node_mutexes_[At(node)]);
      cell_.node(node).Signal(signal);
      cell_.node(node).Wait();
      cell_.StartNode(node);
    });
  }

  void Pause(int node, std::vector<std::thread>* open) {
    Note(absl::StrCat("pause node ", node));
    open->emplace_back([this, node] {
      const std::lock_guard<std::mutex> lock(node_mutexes_[At(node)]);
      cell_.node(node).Signal(SIGSTOP);
      absl::SleepFor(kFaultTime);
      cell_.node(node).Signal(SIGCONT);
    });
  }

  void StoreFault(std::vector<std::thread>* open) {
    SiteStore::Faults faults;
    const uint64_t draw = random_() % 3;
    faults.down = draw == 0;
    faults.silent = draw == 1;
    faults.lost_answers = draw == 2 ? 0.4 : 0;
    Note(draw == 0   ? "the store is down"
         : draw == 1 ? "the store is silent"
                     : "answers of the store are lost");
    cell_.WithPlatform([faults](SitePlatform& platform) {
      platform.store().SetFaults(faults);
    });
    Later(open, [this] {
      cell_.WithPlatform([](SitePlatform& platform) {
        platform.store().SetFaults(SiteStore::Faults());
      });
    });
  }

  static size_t At(int node) { return static_cast<size_t>(node); }

  void Heal() {
    for (int i = 0; i < options_.nodes; ++i)
      cell_.SetPeerProxy(i, FaultProxy::Mode::kPass);
    for (int i = 0; i < options_.nodes; ++i)
      cell_.SetStoreProxy(i, FaultProxy::Mode::kPass);
    for (int i = 0; i < options_.workers; ++i)
      cell_.SetWorkerProxy(i, FaultProxy::Mode::kPass);
  }

  static bool EndedRightly(const Known& known) {
    return known.state == "completed" ||
           (known.cancel_sent && known.state == "cancelled");
  }

  // Everything that was accepted must be completed, and nothing else may run.
  void Settle() {
    const absl::Time until = absl::Now() + options_.settle;
    for (auto& [job, known] : jobs_) {
      if (!known.accepted) continue;
      while (absl::Now() < until) {
        known.state = cell_.State(job);
        if (EndedRightly(known) || known.state == "gone") break;
        absl::SleepFor(absl::Milliseconds(50));
      }
      if (!EndedRightly(known))
        Fault(absl::StrCat("LOST: job ", JobIdText(job), " is \"", known.state,
                           "\" at the end"));
    }
  }

  SoakReport Finish() {
    std::set<uint64_t> ran;
    cell_.WithPlatform([&](SitePlatform& platform) {
      for (const std::string& fault : platform.faults())
        report_.faults.push_back(fault);
      for (const SiteRun& run : platform.runs()) ran.insert(run.task.job);
      report_.runs = platform.runs().size();
    });
    for (const auto& [job, known] : jobs_) {
      report_.accepted += known.accepted ? 1 : 0;
      const bool only_refused =
          known.refused && !known.accepted && !known.unknown;
      report_.refused += only_refused ? 1 : 0;
      report_.unknown += known.unknown ? 1 : 0;
      if (only_refused && ran.count(job) > 0)
        report_.faults.push_back(
            absl::StrCat("REFUSED: job ", JobIdText(job), " ran"));
    }
    return report_;
  }

  const SoakOptions options_;
  std::mt19937_64 random_;
  SiteCell cell_;
  absl::Time begin_ = absl::Now();
  std::mutex mutex_;
  std::map<uint64_t, Known> jobs_;
  std::vector<std::mutex> node_mutexes_;
  int64_t configuration_ = 1;
  SoakReport report_;
};

}  // namespace

SoakReport RunSiteSoak(const SoakOptions& options) {
  return Soak(options).Run();
}

}  // namespace keelbridge::testing
