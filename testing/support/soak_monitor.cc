#include "testing/support/soak_monitor.h"

#include <algorithm>
#include <memory>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge::testing {

// Who asks one node for jobs. Each has a connection of its own: a node that
// goes on after a pause answers first what came by connections that were open
// before.
struct JobCaller {
  absl::Duration patience;  // For one answer.
  absl::Duration pause;     // Between two calls, at most.
  bool newest = false;      // Asks only for the last jobs that were accepted.
};

namespace {

constexpr absl::Duration kLookEvery = absl::Milliseconds(40);
constexpr JobCaller kBusy[] = {
    {absl::Milliseconds(500), kLookEvery},
    {absl::Milliseconds(1300), kLookEvery},
    {absl::Seconds(4), kLookEvery},
};
// Most likely idle when a pause begins, and calling before it ends.
constexpr JobCaller kSeldom = {absl::Seconds(4), absl::Seconds(4), true};
constexpr int kSeldomCallers = 10;
constexpr absl::Duration kLastPatience = absl::Seconds(4);
constexpr absl::Duration kVersionPatience = absl::Milliseconds(800);

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

}  // namespace

SoakWatch::SoakWatch(SiteCell& cell, NodeTouch& touch,
                     ConfigurationCheck& configurations, SoakJobs& jobs,
                     SoakRecord& record, int nodes, uint64_t seed)
    : cell_(cell),
      touch_(touch),
      configurations_(configurations),
      jobs_(jobs),
      record_(record) {
  for (int node = 0; node < nodes; ++node) {
    threads_.emplace_back([this, node] { WatchConfiguration(node); });
    uint64_t own = seed * 1000 + static_cast<uint64_t>(node) * 20;
    for (const JobCaller& caller : kBusy) AddJobCaller(node, ++own, caller);
    for (int i = 0; i < kSeldomCallers; ++i) AddJobCaller(node, ++own, kSeldom);
  }
}

void SoakWatch::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void SoakWatch::AddJobCaller(int node, uint64_t seed, const JobCaller& caller) {
  threads_.emplace_back([this, node, seed, caller] {
    std::mt19937_64 random(seed);
    const std::unique_ptr<HttpClient> client = cell_.NewClient(node);
    while (!stopped_) {
      const std::optional<uint64_t> job =
          caller.newest ? jobs_.DrawNewest(random) : jobs_.Draw(random);
      if (job) LookAtJob(*client, node, *job, caller.patience);
      const double share = static_cast<double>(random() % 100) / 100.0;
      Sleep(std::max(caller.pause * share, kLookEvery));
    }
  });
}

void SoakWatch::Sleep(absl::Duration time) const {
  const absl::Time until = absl::Now() + time;
  while (!stopped_ && absl::Now() < until) absl::SleepFor(kLookEvery);
}

void SoakWatch::LookAtJobAtLast(int node, uint64_t job) {
  const std::unique_ptr<HttpClient> client = cell_.NewClient(node);
  LookAtJob(*client, node, job, kLastPatience);
}

void SoakWatch::LookAtJob(HttpClient& client, int node, uint64_t job,
                          absl::Duration patience) {
  const absl::Time asked = absl::Now();
  const HttpOutcome outcome =
      client.Send({"GET",
                   absl::StrCat(kSitePrefix, JobIdText(job)),
                   {{"Host", kSiteHost}},
                   "",
                   ""},
                  patience);
  ++looks_;
  const int status = outcome.response ? outcome.response->status : 0;
  if (status != kGone && status != kNotFound) return;
  if (!jobs_.MustBeKnown(job)) return;
  const absl::Time accepted = jobs_.Get(job).accepted_at;
  record_.Fault(
      absl::StrCat("LOST ", job, " at ", node),
      absl::StrCat("LOST: job ", JobIdText(job), ", accepted at ",
                   absl::ToInt64Milliseconds(accepted - record_.begin()),
                   " ms, is answered ", status, " by node ", node,
                   ", asked at ",
                   absl::ToInt64Milliseconds(asked - record_.begin()), " ms"));
}

void SoakWatch::WatchConfiguration(int node) {
  while (!stopped_) {
    LookAtConfiguration(node);
    absl::SleepFor(kLookEvery);
  }
}

void SoakWatch::LookAtConfiguration(int node) {
  ConfigurationCheck::Sight sight;
  sight.node = node;
  sight.before = touch_.Get(node);
  sight.asked = absl::Now();
  const auto version = VersionServed(node, configurations_.newest());
  ++looks_;
  if (!version) return;
  sight.version = *version;
  sight.after = touch_.Get(node);
  const std::string fault = configurations_.Seen(sight);
  // Once for each version that a life is late with.
  if (!fault.empty())
    record_.Fault(absl::StrCat("CONFIG ", node, " life ", sight.before.life,
                               " newest ", configurations_.newest()),
                  fault);
}

std::optional<int64_t> SoakWatch::VersionServed(int node, int64_t newest) {
  for (int64_t version = newest; version > 0; --version) {
    // No job has this id: a node that knows the queue refuses it by itself.
    const HttpOutcome outcome = cell_.Raw(
        node,
        {"GET", VersionPrefix(version) + "none", {{"Host", kSiteHost}}, "", ""},
        kVersionPatience);
    const int status = outcome.response ? outcome.response->status : 0;
    if (status == kBadRequest) return version;
    // It has no configuration, or one that may be old.
    if (status == kUnavailable) return 0;
    if (status != kNotFound) return std::nullopt;
  }
  // It may have changed between two of these calls.
  return std::nullopt;
}

}  // namespace keelbridge::testing
