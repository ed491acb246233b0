#include "testing/support/soak_watch.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge::testing {
namespace {

// How long each of the callers that ask one node for jobs waits for an answer.
// A patient one hears what a node answers when it goes on after a pause; an
// impatient one has asked for a job that was accepted during the pause.
constexpr std::array<absl::Duration, 3> kJobPatience = {
    absl::Milliseconds(500), absl::Milliseconds(1300), absl::Seconds(4)};
constexpr absl::Duration kLookEvery = absl::Milliseconds(40);
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
    uint64_t own = seed * 1000 + static_cast<uint64_t>(node) * 10;
    for (const absl::Duration patience : kJobPatience) {
      ++own;
      threads_.emplace_back(
          [this, node, own, patience] { WatchJobs(node, own, patience); });
    }
  }
}

void SoakWatch::Stop() {
  stopped_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void SoakWatch::WatchJobs(int node, uint64_t seed, absl::Duration patience) {
  std::mt19937_64 random(seed);
  while (!stopped_) {
    const std::optional<uint64_t> job = jobs_.Draw(random);
    if (job) LookAtJob(node, *job, patience);
    absl::SleepFor(kLookEvery);
  }
}

void SoakWatch::LookAtJobAtLast(int node, uint64_t job) {
  LookAtJob(node, job, kLastPatience);
}

void SoakWatch::LookAtJob(int node, uint64_t job, absl::Duration patience) {
  const absl::Time asked = absl::Now();
  const HttpOutcome outcome =
      cell_.Raw(node,
                {"GET",
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
    if (status == kUnavailable) return 0;
    if (status != kNotFound) return std::nullopt;
  }
  // It may have changed between two of these calls.
  return std::nullopt;
}

}  // namespace keelbridge::testing
