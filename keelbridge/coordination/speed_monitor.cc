#include "keelbridge/coordination/speed_monitor.h"

#include <algorithm>

namespace keelbridge {

void SpeedMonitor::OnProbe(absl::Duration took) {
  if (took < options_.min_probe) return;
  fastest_ = std::min(fastest_, took);
  recent_.push_back(took);
  if (recent_.size() > options_.probes) recent_.pop_front();
}

double SpeedMonitor::RelativeSpeed() const {
  if (recent_.size() < options_.probes) return 1;
  const absl::Duration shortest =
      *std::min_element(recent_.begin(), recent_.end());
  const double factor = absl::FDivDuration(shortest, fastest_);
  return factor >= options_.slow_factor ? 1 / factor : 1;
}

}  // namespace keelbridge
