#include "testing/support/soak_monitor.h"

#include <algorithm>
#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge::testing {

// How a client queries one node about jobs. Each client has its own connection,
// because a node that resumes after a pause first answers calls on connections
// that were open before.
struct JobClientOptions {
  absl::Duration timeout;  // Timeout of a call.
  absl::Duration pause;    // Maximum pause between two calls.
  bool newest = false;     // Queries only the last few accepted jobs.
};

namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(40);
constexpr JobClientOptions kFrequentClients[] = {
    {absl::Milliseconds(500), kCheckInterval},
    {absl::Milliseconds(1300), kCheckInterval},
    {absl::Seconds(4), kCheckInterval},
};
// Such clients are most likely idle when a pause of the node begins, and send a
// call before it ends.
constexpr JobClientOptions kInfrequentClient = {absl::Seconds(4),
                                                absl::Seconds(4), true};
constexpr int kInfrequentClientCount = 10;
constexpr absl::Duration kFinalCheckTimeout = absl::Seconds(4);
constexpr absl::Duration kVersionCallTimeout = absl::Milliseconds(800);

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

}  // namespace

SoakMonitor::SoakMonitor(SiteTestCluster& cluster,
                         NodeDisturbances& node_disturbances,
                         ConfigurationCheck& configurations, SoakJobs& jobs,
                         SoakRecord& record, int nodes, uint64_t seed)
    : cluster_(cluster),
      node_disturbances_(node_disturbances),
      configurations_(configurations),
      jobs_(jobs),
      record_(record) {
  for (int node = 0; node < nodes; ++node) {
    threads_.emplace_back([this, node] { MonitorConfiguration(node); });
    uint64_t client_seed = seed * 1000 + static_cast<uint64_t>(node) * 20;
    for (const JobClientOptions& options : kFrequentClients)
      AddJobClient(node, ++client_seed, options);
    for (int i = 0; i < kInfrequentClientCount; ++i)
      AddJobClient(node, ++client_seed, kInfrequentClient);
  }
}

void SoakMonitor::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void SoakMonitor::AddJobClient(int node, uint64_t seed,
                               const JobClientOptions& options) {
  threads_.emplace_back([this, node, seed, options] {
    std::mt19937_64 random(seed);
    const std::unique_ptr<HttpClient> client = cluster_.NewClient(node);
    while (!stopped_) {
      const std::optional<uint64_t> job =
          options.newest ? jobs_.DrawNewest(random) : jobs_.Draw(random);
      if (job) CheckJob(*client, node, *job, options.timeout);
      const double share = static_cast<double>(random() % 100) / 100.0;
      Sleep(std::max(options.pause * share, kCheckInterval));
    }
  });
}

void SoakMonitor::Sleep(absl::Duration time) const {
  const absl::Time until = absl::Now() + time;
  while (!stopped_ && absl::Now() < until) absl::SleepFor(kCheckInterval);
}

void SoakMonitor::CheckJobAtEnd(int node, uint64_t job) {
  const std::unique_ptr<HttpClient> client = cluster_.NewClient(node);
  CheckJob(*client, node, job, kFinalCheckTimeout);
}

void SoakMonitor::CheckJob(HttpClient& client, int node, uint64_t job,
                           absl::Duration timeout) {
  const absl::Time sent_at = absl::Now();
  const HttpOutcome outcome =
      client.Send({"GET", absl::StrCat(kSitePrefix, JobIdText(job)),
                   cluster_.RequestHeaders(), "", ""},
                  timeout);
  ++read_calls_;
  const int status = outcome.response ? outcome.response->status : 0;
  if (status != kGone && status != kNotFound) return;
  if (!jobs_.MustBeKnown(job)) return;
  const absl::Time accepted = jobs_.Get(job).accepted_at;
  record_.RecordViolation(
      absl::StrCat("LOST ", job, " at ", node),
      absl::StrCat(
          "LOST: job ", JobIdText(job), ", accepted at ",
          absl::ToInt64Milliseconds(accepted - record_.begin()),
          " ms, is answered ", status, " by node ", node, ", queried at ",
          absl::ToInt64Milliseconds(sent_at - record_.begin()), " ms"));
}

void SoakMonitor::MonitorConfiguration(int node) {
  while (!stopped_) {
    CheckConfiguration(node);
    absl::SleepFor(kCheckInterval);
  }
}

void SoakMonitor::CheckConfiguration(int node) {
  ConfigurationCheck::Observation observation;
  observation.node = node;
  observation.before = node_disturbances_.Get(node);
  observation.sent_at = absl::Now();
  const auto version = FindServedVersion(node, configurations_.newest());
  ++read_calls_;
  if (!version) return;
  observation.version = *version;
  observation.after = node_disturbances_.Get(node);
  const std::string violation = configurations_.CheckObservation(observation);
  // Report each version at most once per incarnation.
  if (!violation.empty())
    record_.RecordViolation(
        absl::StrCat("CONFIG ", node, " life ", observation.before.incarnation,
                     " newest ", configurations_.newest()),
        violation);
}

std::optional<int64_t> SoakMonitor::FindServedVersion(int node,
                                                      int64_t newest) {
  for (int64_t version = newest; version > 0; --version) {
    // This is not a valid job id, so a node that knows the queue rejects it
    // without asking the leader.
    const HttpOutcome outcome =
        cluster_.SendRequest(node,
                             {"GET", VersionPrefix(version) + "none",
                              cluster_.RequestHeaders(), "", ""},
                             kVersionCallTimeout);
    const int status = outcome.response ? outcome.response->status : 0;
    if (status == kBadRequest) return version;
    // The node has no configuration, or one that may be outdated.
    if (status == kUnavailable) return 0;
    if (status != kNotFound) return std::nullopt;
  }
  // The node's version may have changed between two of these calls.
  return std::nullopt;
}

}  // namespace keelbridge::testing
