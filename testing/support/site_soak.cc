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

// Several clients, so that some continue while others wait for a node that does
// not answer.
constexpr uint64_t kClients = 6;
// The submission interval of each client.
constexpr absl::Duration kSubmitInterval = absl::Milliseconds(720);
// Time for which nodes are still monitored after the deadline for the newest
// configuration, so that a node that never learns of it is detected.
constexpr absl::Duration kMonitorMargin = absl::Seconds(1);

constexpr absl::Duration kPollInterval = absl::Milliseconds(50);

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        cluster_(ClusterOptions(options)),
        node_disturbances_(options.nodes),
        configurations_(options.nodes) {}

  SoakReport Run() {
    report_.logs = cluster_.directory();
    if (!cluster_.AwaitReady(options_.nodes)) {
      record_.RecordViolation("the nodes were not ready in time");
      return Finish();
    }
    record_.Begin();
    configurations_.RecordWrite(1, absl::Now());
    SoakMonitor monitor(cluster_, node_disturbances_, configurations_, jobs_,
                        record_, options_.nodes, options_.seed);
    std::vector<std::thread> clients;
    for (uint64_t i = 0; i < kClients; ++i)
      clients.emplace_back([this, i] { RunClient(i); });
    SoakFaultInjector(cluster_, node_disturbances_, configurations_, jobs_,
                      record_, options_)
        .InjectFaults();
    for (std::thread& client : clients) client.join();
    const absl::Time monitor_until =
        absl::Now() + ConfigurationCheck::kRecoveryTime +
        ConfigurationCheck::kApplyTime + kMonitorMargin;
    Settle();
    AwaitNewestConfiguration(monitor_until);
    monitor.Stop();
    CheckJobsAtEveryNode(monitor);
    report_.read_calls = monitor.read_calls();
    return Finish();
  }

 private:
  static SiteTestCluster::Options ClusterOptions(const SoakOptions& options) {
    SiteTestCluster::Options out;
    out.nodes = options.nodes;
    out.proxies = true;
    out.platform.workers = options.workers;
    out.platform.seed = options.seed;
    out.key = "key-of-desk";
    ClientAccount account;
    account.name = "desk";
    account.keys = {out.key};
    out.platform.accounts = {account};
    return out;
  }

  // Submits and cancels jobs through random nodes. Each client uses job ids of
  // its own.
  void RunClient(uint64_t client) {
    std::mt19937_64 random(options_.seed + 1 + client * 1000003);
    absl::SleepFor(kSubmitInterval * client / kClients);
    uint64_t next = 1 + client;
    while (absl::Now() < record_.begin() + options_.length) {
      const uint64_t job = next;
      next += kClients;
      const int node = static_cast<int>(random() % options_.nodes);
      const std::string body =
          random() % 4 == 0
              ? SiteTestCluster::GangThenOneTaskJob(3)
              : SiteTestCluster::OneStepJob(2, 300 + random() % 600);
      Submit(job, node, body);
      if (random() % 12 == 0) Cancel(1 + random() % job, node);
      absl::SleepFor(kSubmitInterval);
    }
  }

  void Submit(uint64_t job, int node, const std::string& body) {
    for (int attempt = 0; attempt < 3; ++attempt) {
      const HttpOutcome outcome =
          cluster_.Call((node + attempt) % options_.nodes, "POST", job, body);
      const int status = outcome.response ? outcome.response->status : 0;
      if (status == 200) return jobs_.RecordAccepted(job);
      if (status == 503 || status == 429)
        jobs_.RecordRefused(job);
      else
        jobs_.RecordUnknown(job);
    }
  }

  void Cancel(uint64_t job, int node) {
    if (!jobs_.BeginCancel(job)) return;
    const HttpOutcome outcome = cluster_.Call(node, "DELETE", job);
    const int status = outcome.response ? outcome.response->status : 0;
    if (status == 410 || status == 404)
      record_.RecordViolation(absl::StrCat("LOST: job ", JobIdText(job),
                                           " is answered ", status, " by node ",
                                           node, " to a cancellation"));
  }

  static bool HasExpectedState(const SoakJob& known, const std::string& state) {
    if (known.crashes) return state == "failed";
    return state == "completed" || (known.cancel_sent && state == "cancelled");
  }

  // Checks that each accepted job ends in time and as expected: crashing jobs
  // fail, cancelled jobs are cancelled or completed, and all others complete.
  void Settle() {
    const absl::Time until = absl::Now() + options_.settle;
    for (const auto& [job, known] : jobs_.All()) {
      if (!known.accepted) continue;
      std::string state;
      while (absl::Now() < until) {
        state = cluster_.State(job);
        if (HasExpectedState(known, state) || state == "gone") break;
        absl::SleepFor(kPollInterval);
      }
      if (!HasExpectedState(known, state))
        record_.RecordViolation(absl::StrCat("LOST: job ", JobIdText(job),
                                             " is \"", state, "\" at the end"));
    }
  }

  void AwaitNewestConfiguration(absl::Time until) {
    const auto serves = [this](int node) {
      return configurations_.ServesNewest(
          node, node_disturbances_.Get(node).incarnation);
    };
    for (int node = 0; node < options_.nodes; ++node) {
      while (!serves(node) && absl::Now() < until)
        absl::SleepFor(kPollInterval);
    }
  }

  void CheckJobsAtEveryNode(SoakMonitor& monitor) {
    for (const auto& [job, known] : jobs_.All()) {
      for (int node = 0; node < options_.nodes; ++node) {
        if (jobs_.MustBeKnown(job)) monitor.CheckJobAtEnd(node, job);
      }
    }
  }

  SoakReport Finish() {
    std::set<uint64_t> ran;
    report_.violations = record_.violations();
    report_.events = record_.events();
    cluster_.WithPlatform([&](SitePlatform& platform) {
      for (const std::string& violation : platform.violations())
        report_.violations.push_back(violation);
      for (const SiteRun& run : platform.runs()) ran.insert(run.task.job);
      report_.runs = platform.runs().size();
    });
    for (const auto& [job, known] : jobs_.All()) {
      report_.accepted += known.accepted ? 1 : 0;
      const bool only_refused =
          known.refused && !known.accepted && !known.unknown;
      report_.refused += only_refused ? 1 : 0;
      report_.unknown += known.unknown ? 1 : 0;
      // No job may run that was refused and never accepted.
      if (only_refused && ran.count(job) > 0)
        report_.violations.push_back(
            absl::StrCat("REFUSED: job ", JobIdText(job), " ran"));
    }
    report_.max_change_delay = configurations_.max_delay();
    return report_;
  }

  const SoakOptions options_;
  SiteTestCluster cluster_;
  NodeDisturbances node_disturbances_;
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
