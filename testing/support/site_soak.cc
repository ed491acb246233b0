#include "testing/support/site_soak.h"

#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

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
  std::string state;
};

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options), random_(options.seed), cell_(CellOptions(options)) {}

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
    std::vector<std::pair<absl::Duration, int>> plan;
    plan.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      plan.emplace_back(
          options_.length * (static_cast<double>(random_() % 100) / 100.0),
          static_cast<int>(random_() % 9));
    }
    std::sort(plan.begin(), plan.end());
    std::vector<std::thread> open;
    for (const auto& [at, kind] : plan) {
      const absl::Duration left = begin_ + at - absl::Now();
      if (left > absl::ZeroDuration()) absl::SleepFor(left);
      const int node = static_cast<int>(random_() % options_.nodes);
      const int worker = static_cast<int>(random_() % options_.workers);
      Begin(kind, node, worker, &open);
    }
    for (std::thread& thread : open) thread.join();
  }

  void Begin(int kind, int node, int worker, std::vector<std::thread>* open) {
    using Mode = FaultProxy::Mode;
    const auto store_mode = [&](Mode mode, const char* what) {
      Note(absl::StrCat(what, " between node ", node, " and the store"));
      cell_.SetStoreProxy(node, mode);
      open->emplace_back([this, node] {
        absl::SleepFor(kFaultTime);
        cell_.SetStoreProxy(node, Mode::kPass);
      });
    };
    switch (kind) {
      case 0:
        return Restart(node, SIGKILL, "kill", open);
      case 1:
        return Restart(node, SIGTERM, "stop", open);
      case 2:
        return Pause(node, open);
      case 3:
        return store_mode(Mode::kSilent, "silence");
      case 4:
        return store_mode(Mode::kReset, "resets");
      case 5:
        return store_mode(Mode::kOneWay, "one way only");
      case 6:
        Note(absl::StrCat("worker ", worker, " crashes"));
        cell_.WithPlatform([worker](SitePlatform& platform) {
          platform.CrashWorker(worker, kFaultTime);
        });
        return;
      case 7:
        Note(absl::StrCat("worker ", worker, " is silenced"));
        cell_.SetWorkerProxy(worker, Mode::kSilent);
        open->emplace_back([this, worker] {
          absl::SleepFor(kFaultTime);
          cell_.SetWorkerProxy(worker, Mode::kPass);
        });
        return;
      default:
        return StoreFault(open);
    }
  }

  void Restart(int node, int signal, const char* what,
               std::vector<std::thread>* open) {
    // A node that is restarted already is left alone.
    if (!busy_.insert(node).second) return;
    Note(absl::StrCat(what, " node ", node));
    open->emplace_back([this, node, signal] {
      cell_.node(node).Signal(signal);
      cell_.node(node).Wait();
      cell_.StartNode(node);
    });
  }

  void Pause(int node, std::vector<std::thread>* open) {
    if (!busy_.insert(node).second) return;
    Note(absl::StrCat("pause node ", node));
    open->emplace_back([this, node] {
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
    open->emplace_back([this] {
      absl::SleepFor(kFaultTime);
      cell_.WithPlatform([](SitePlatform& platform) {
        platform.store().SetFaults(SiteStore::Faults());
      });
    });
  }

  void Heal() {
    for (int i = 0; i < options_.nodes; ++i)
      cell_.SetStoreProxy(i, FaultProxy::Mode::kPass);
    for (int i = 0; i < options_.workers; ++i)
      cell_.SetWorkerProxy(i, FaultProxy::Mode::kPass);
  }

  // Everything that was accepted must be completed, and nothing else may run.
  void Settle() {
    const absl::Time until = absl::Now() + options_.settle;
    for (auto& [job, known] : jobs_) {
      if (!known.accepted) continue;
      while (absl::Now() < until) {
        known.state = cell_.State(job);
        if (known.state == "completed" || known.state == "gone") break;
        absl::SleepFor(absl::Milliseconds(50));
      }
      if (known.state != "completed")
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
  std::set<int> busy_;
  SoakReport report_;
};

}  // namespace

SoakReport RunSiteSoak(const SoakOptions& options) {
  return Soak(options).Run();
}

}  // namespace keelbridge::testing
