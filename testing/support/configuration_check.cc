#include "testing/support/configuration_check.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {

void ConfigurationCheck::Written(int64_t version, absl::Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  written_[version] = now;
}

int64_t ConfigurationCheck::newest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return written_.empty() ? 0 : written_.rbegin()->first;
}

bool ConfigurationCheck::ServesNewest(int node, int life) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Best& best = best_[static_cast<size_t>(node)];
  return best.life == life && !written_.empty() &&
         best.version == written_.rbegin()->first;
}

absl::Duration ConfigurationCheck::slowest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return slowest_;
}

std::string ConfigurationCheck::Seen(const Sight& sight) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (sight.before.life != sight.after.life) return "";
  std::string fault = CheckBack(sight);
  if (fault.empty()) fault = CheckLate(sight);
  return fault;
}

std::string ConfigurationCheck::CheckBack(const Sight& sight) {
  Best& best = best_[static_cast<size_t>(sight.node)];
  if (best.life != sight.before.life) best = {sight.before.life, 0};
  // Refusing because it may be behind is not serving by an older version; it
  // may not last, which `CheckLate` sees to.
  if (sight.version == 0) return "";
  if (sight.version < best.version) {
    return absl::StrCat("CONFIG: node ", sight.node, " went back from version ",
                        best.version, " to ", sight.version);
  }
  const auto written = written_.find(sight.version);
  const bool first = sight.version > best.version && written != written_.end();
  if (first && sight.before.since < sight.asked)
    slowest_ = std::max(
        slowest_, sight.asked - std::max(written->second, sight.before.since));
  best.version = sight.version;
  return "";
}

std::string ConfigurationCheck::CheckLate(const Sight& sight) const {
  const bool disturbed = sight.before.since == absl::InfiniteFuture() ||
                         sight.before.since != sight.after.since;
  if (disturbed) return "";
  for (auto it = written_.upper_bound(sight.version); it != written_.end();
       ++it) {
    const absl::Time from = std::max(it->second, sight.before.since);
    const absl::Duration late = sight.asked - from;
    if (late <= kInTouch + kApply) continue;
    return absl::StrCat(
        "CONFIG: node ", sight.node, " serves by version ", sight.version, ", ",
        absl::ToInt64Milliseconds(sight.asked - it->second),
        " ms after version ", it->first, " was written, in touch for ",
        absl::ToInt64Milliseconds(sight.asked - sight.before.since), " ms");
  }
  return "";
}

}  // namespace keelbridge::testing
