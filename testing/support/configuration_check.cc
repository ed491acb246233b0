#include "testing/support/configuration_check.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {
namespace {

int64_t Milliseconds(absl::Duration time) {
  return absl::ToInt64Milliseconds(time);
}

// The node was in trouble for a part of the call at least.
bool Disturbed(const ConfigurationCheck::Sight& sight) {
  return sight.before.since == absl::InfiniteFuture() ||
         sight.before.since != sight.after.since;
}

// From when on the node must serve by what was written at `written`.
absl::Time DueAt(absl::Time written, const ConfigurationCheck::Sight& sight) {
  return std::max(written + ConfigurationCheck::kApply,
                  sight.before.since + ConfigurationCheck::kInTouch);
}

}  // namespace

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
  if (fault.empty()) fault = CheckRefusal(sight);
  return fault;
}

std::string ConfigurationCheck::CheckBack(const Sight& sight) {
  Best& best = best_[static_cast<size_t>(sight.node)];
  if (best.life != sight.before.life) best = {sight.before.life, 0};
  // Refusing because it may be behind is not serving by an older version; see
  // `CheckRefusal`.
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
  if (sight.version == 0 || Disturbed(sight)) return "";
  for (auto it = written_.upper_bound(sight.version); it != written_.end();
       ++it) {
    if (sight.asked <= DueAt(it->second, sight)) continue;
    return absl::StrCat(
        "CONFIG: node ", sight.node, " serves by version ", sight.version, ", ",
        Milliseconds(sight.asked - it->second), " ms after version ", it->first,
        " was written, undisturbed for ",
        Milliseconds(sight.asked - sight.before.since), " ms");
  }
  return "";
}

std::string ConfigurationCheck::CheckRefusal(const Sight& sight) const {
  if (sight.version != 0 || Disturbed(sight) || written_.empty()) return "";
  if (sight.asked <= DueAt(written_.begin()->second, sight)) return "";
  return absl::StrCat(
      "CONFIG: node ", sight.node,
      " refuses a call since its configuration may be old, undisturbed for ",
      Milliseconds(sight.asked - sight.before.since), " ms");
}

}  // namespace keelbridge::testing
