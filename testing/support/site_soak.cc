#include "testing/support/site_soak.h"

#include <map>
#include <random>
#include <set>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"
#include "testing/support/configuration_check.h"
#include "testing/support/node_disturbances.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/soak_fault_injector.h"
#include "testing/support/soak_jobs.h"
#include "testing/support/soak_monitor.h"
#include "testing/support/soak_record.h"

namespace keelbridge::testing {
namespace {

// One waits for a node that does not answer while the others go on.
constexpr uint64_t kCallers = 6;
constexpr absl::Duration kSubmitEvery = absl::Milliseconds(720);  // Each.
// After the last trouble, so that a change that is never heard of is seen.
constexpr absl::Duration kWatchMargin = absl::Seconds(1);

constexpr absl::Duration kLookPause = absl::Milliseconds(50);

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        cell_(CellOptions(options)),
        touch_(options.nodes),
        configurations_(options.nodes) {}

  SoakReport Run() {
    report_.logs = cell_.directory();
    if (!cell_.AwaitReady(options_.nodes)) {
      record_.Fault("the nodes were not ready in time");
      return Finish();
    }
    record_.Begin();
    configurations_.Written(1, absl::Now());
    SoakWatch watch(cell_, touch_, configurations_, jobs_, record_,
                    options_.nodes, options_.seed);
    std::vector<std::thread> callers;
    for (uint64_t i = 0; i < kCallers; ++i)
      callers.emplace_back([this, i] { CallForLength(i); });
    SoakTroubles(cell_, touch_, configurations_, jobs_, record_, options_)
        .Play();
    for (std::thread& caller : callers) caller.join();
    const absl::Time watched_until = absl::Now() +
                                     ConfigurationCheck::kInTouch +
                                     ConfigurationCheck::kApply + kWatchMargin;
    Settle();
    AwaitNewestConfiguration(watched_until);
    watch.Stop();
    AskEveryNode(watch);
    report_.looks = watch.looks();
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

  // Submits and cancels jobs through nodes in turn; each caller has own ids.
  void CallForLength(uint64_t caller) {
    std::mt19937_64 random(options_.seed + 1 + caller * 1000003);
    absl::SleepFor(kSubmitEvery * caller / kCallers);
    uint64_t next = 1 + caller;
    while (absl::Now() < record_.begin() + options_.length) {
      const uint64_t job = next;
      next += kCallers;
      const int node = static_cast<int>(random() % options_.nodes);
      const std::string body = random() % 4 == 0
                                   ? SiteCell::GangThenOne(3)
                                   : SiteCell::OneStep(2, 300 + random() % 600);
      Submit(job, node, body);
      if (random() % 12 == 0) Cancel(1 + random() % job, node);
      absl::SleepFor(kSubmitEvery);
    }
  }

  void Submit(uint64_t job, int node, const std::string& body) {
    for (int attempt = 0; attempt < 3; ++attempt) {
      const HttpOutcome outcome =
          cell_.Call((node + attempt) % options_.nodes, "POST", job, body);
      const int status = outcome.response ? outcome.response->status : 0;
      if (status == 200) return jobs_.Accepted(job);
      if (status == 503 || status == 429)
        jobs_.Refused(job);
      else
        jobs_.Unknown(job);
    }
  }

  void Cancel(uint64_t job, int node) {
    if (!jobs_.BeginCancel(job)) return;
    const HttpOutcome outcome = cell_.Call(node, "DELETE", job);
    const int status = outcome.response ? outcome.response->status : 0;
    if (status == 410 || status == 404)
      record_.Fault(absl::StrCat("LOST: job ", JobIdText(job), " is answered ",
                                 status, " by node ", node,
                                 " when it is cancelled"));
  }

  static bool EndedRightly(const SoakJob& known, const std::string& state) {
    if (known.crashes) return state == "failed";
    return state == "completed" || (known.cancel_sent && state == "cancelled");
  }

  // Everything that was accepted must be completed, but for what crashes its
  // workers, and nothing else may run.
  void Settle() {
    const absl::Time until = absl::Now() + options_.settle;
    for (const auto& [job, known] : jobs_.All()) {
      if (!known.accepted) continue;
      std::string state;
      while (absl::Now() < until) {
        state = cell_.State(job);
        if (EndedRightly(known, state) || state == "gone") break;
        absl::SleepFor(kLookPause);
      }
      if (!EndedRightly(known, state))
        record_.Fault(absl::StrCat("LOST: job ", JobIdText(job), " is \"",
                                   state, "\" at the end"));
    }
  }

  void AwaitNewestConfiguration(absl::Time until) {
    const auto serves = [this](int node) {
      return configurations_.ServesNewest(node, touch_.Get(node).life);
    };
    for (int node = 0; node < options_.nodes; ++node) {
      while (!serves(node) && absl::Now() < until) absl::SleepFor(kLookPause);
    }
  }

  void AskEveryNode(SoakWatch& watch) {
    for (const auto& [job, known] : jobs_.All()) {
      for (int node = 0; node < options_.nodes; ++node) {
        if (jobs_.MustBeKnown(job)) watch.LookAtJobAtLast(node, job);
      }
    }
  }

  SoakReport Finish() {
    std::set<uint64_t> ran;
    report_.faults = record_.faults();
    report_.happened = record_.notes();
    cell_.WithPlatform([&](SitePlatform& platform) {
      for (const std::string& fault : platform.faults())
        report_.faults.push_back(fault);
      for (const SiteRun& run : platform.runs()) ran.insert(run.task.job);
      report_.runs = platform.runs().size();
    });
    for (const auto& [job, known] : jobs_.All()) {
      report_.accepted += known.accepted ? 1 : 0;
      const bool only_refused =
          known.refused && !known.accepted && !known.unknown;
      report_.refused += only_refused ? 1 : 0;
      report_.unknown += known.unknown ? 1 : 0;
      if (only_refused && ran.count(job) > 0)
        report_.faults.push_back(
            absl::StrCat("REFUSED: job ", JobIdText(job), " ran"));
    }
    report_.slowest_change = configurations_.slowest();
    return report_;
  }

  const SoakOptions options_;
  SiteCell cell_;
  NodeTouch touch_;
  ConfigurationCheck configurations_;
  SoakJobs jobs_;
  SoakRecord record_;
  SoakReport report_;
};

}  // namespace

SoakReport RunSiteSoak(const SoakOptions& options) {
  return Soak(options).Run();
}

}  // namespace keelbridge::testing
