#include "testing/support/soak_jobs.h"

#include <algorithm>
#include <limits>

#include "absl/time/clock.h"

namespace keelbridge::testing {
namespace {

// The number of jobs that count as recently accepted.
constexpr size_t kRecentJobs = 12;
constexpr size_t kNewestJobs = 3;
// One in this many draws chooses among all jobs.
constexpr uint64_t kAllJobsDrawPeriod = 3;
// Less than the 120 s for which nodes keep a job after its end.
constexpr absl::Duration kJobRetention = absl::Seconds(110);

}  // namespace

void SoakJobs::RecordAccepted(uint64_t job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  SoakJob& known = jobs_[job];
  if (known.accepted) return;
  known.accepted = true;
  known.accepted_at = absl::Now();
  accepted_.push_back(job);
}

void SoakJobs::RecordRefused(uint64_t job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job].refused = true;
}

void SoakJobs::RecordUnknown(uint64_t job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job].unknown = true;
}

void SoakJobs::RecordCrashing(uint64_t job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job].crashes = true;
}

bool SoakJobs::BeginCancel(uint64_t job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || !found->second.accepted) return false;
  found->second.cancel_sent = true;
  return true;
}

std::optional<uint64_t> SoakJobs::Draw(std::mt19937_64& random) const {
  const bool any = random() % kAllJobsDrawPeriod == 0;
  return DrawFromLast(any ? std::numeric_limits<size_t>::max() : kRecentJobs,
                      random);
}

std::optional<uint64_t> SoakJobs::DrawNewest(std::mt19937_64& random) const {
  return DrawFromLast(kNewestJobs, random);
}

std::optional<uint64_t> SoakJobs::DrawFromLast(size_t last,
                                               std::mt19937_64& random) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (accepted_.empty()) return std::nullopt;
  const size_t among = std::min(accepted_.size(), last);
  const uint64_t job = accepted_[accepted_.size() - 1 - random() % among];
  if (jobs_.at(job).cancel_sent) return std::nullopt;
  return job;
}

bool SoakJobs::MustBeKnown(uint64_t job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return false;
  const SoakJob& known = found->second;
  return known.accepted && !known.cancel_sent &&
         absl::Now() - known.accepted_at < kJobRetention;
}

SoakJob SoakJobs::Get(uint64_t job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? SoakJob() : found->second;
}

std::map<uint64_t, SoakJob> SoakJobs::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_;
}

}  // namespace keelbridge::testing
