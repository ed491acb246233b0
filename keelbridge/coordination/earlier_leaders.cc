#include "keelbridge/coordination/earlier_leaders.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Fraction by which the clock of another node may run faster than the local
// one. Leases allow for the same error (JobScheduler::Options::clock_error).
constexpr double kClockError = 0.02;

}  // namespace

EarlierLeaders::EarlierLeaders(std::vector<std::string> addresses,
                               absl::Time own_last_order)
    : unconfirmed_(std::move(addresses)), last_order_(own_last_order) {}

void EarlierLeaders::OnStopped(const std::string& address, absl::Duration idle,
                               absl::Time now) {
  const auto found =
      std::find(unconfirmed_.begin(), unconfirmed_.end(), address);
  if (found == unconfirmed_.end()) return;
  unconfirmed_.erase(found);
  const absl::Duration min_idle =
      std::max(idle, absl::ZeroDuration()) * (1.0 - kClockError);
  last_order_ = std::max(last_order_, now - min_idle);
}

}  // namespace keelbridge
