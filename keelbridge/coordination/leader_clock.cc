#include "keelbridge/coordination/leader_clock.h"

namespace keelbridge {
namespace {

// By which fraction the rates of two hosts' steady clocks may differ.
constexpr double kMaxRateDifference = 0.02;

}  // namespace

void LeaderClock::OnReading(absl::Time shown, absl::Time local) {
  reading_ = Reading{shown, local};
}

absl::Time LeaderClock::LatestLocalTime(absl::Time shown) const {
  if (!reading_) return absl::InfiniteFuture();
  const absl::Duration ahead = shown - reading_->shown;
  const double longest_per_second = ahead > absl::ZeroDuration()
                                        ? 1.0 + kMaxRateDifference
                                        : 1.0 - kMaxRateDifference;
  return reading_->local + ahead * longest_per_second;
}

std::optional<absl::Time> LeaderClock::ShownAt(absl::Time local) const {
  if (!reading_ || local < reading_->local) return std::nullopt;
  return reading_->shown +
         (local - reading_->local) * (1.0 - kMaxRateDifference);
}

}  // namespace keelbridge
