#include "keelbridge/overload/outage_retry.h"

namespace keelbridge {
namespace {

// Ids may be consecutive, so their bits are mixed (the finalizer of
// splitmix64).
uint64_t Mix(uint64_t value) {
  value += 0x9e3779b97f4a7c15;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

// Returns over how many seconds clients are spread.
uint64_t SpreadSeconds(const OutageRetry::Options& options,
                       absl::Duration outage, int64_t refused) {
  if (refused < options.max_together) return 1;
  return outage < options.long_outage ? 2 : 3;
}

}  // namespace

int64_t OutageRetrySeconds(const OutageRetry::Options& options, JobId job,
                           absl::Duration outage, int64_t refused) {
  // A client that returns in vain draws anew, so clients do not stay together.
  const auto second = static_cast<uint64_t>(absl::ToInt64Seconds(outage));
  const uint64_t spread = SpreadSeconds(options, outage, refused);
  return 1 + static_cast<int64_t>(Mix(job ^ Mix(second)) % spread);
}

absl::Duration OutageRetry::OnRefused(JobId job, absl::Time now) {
  if (now - last_refused_ > options_.quiet) {
    began_ = now;
    refused_ = 0;
  }
  last_refused_ = now;
  return absl::Seconds(
      OutageRetrySeconds(options_, job, now - began_, refused_++));
}

}  // namespace keelbridge
