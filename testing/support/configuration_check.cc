#include "testing/support/configuration_check.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {
namespace {

int64_t Milliseconds(absl::Duration time) {
  return absl::ToInt64Milliseconds(time);
}

// Returns whether the node was disturbed during at least a part of the call.
bool WasDisturbed(const ConfigurationCheck::Observation& observation) {
  return observation.before.undisturbed_since == absl::InfiniteFuture() ||
         observation.before.undisturbed_since !=
             observation.after.undisturbed_since;
}

// Returns when the node must start to serve by a version that was written at
// `written`.
absl::Time DueTime(absl::Time written,
                   const ConfigurationCheck::Observation& observation) {
  return std::max(
      written + ConfigurationCheck::kApplyTime,
      observation.before.undisturbed_since + ConfigurationCheck::kRecoveryTime);
}

}  // namespace

void ConfigurationCheck::RecordWrite(int64_t version, absl::Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  written_[version] = now;
}

int64_t ConfigurationCheck::newest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return written_.empty() ? 0 : written_.rbegin()->first;
}

bool ConfigurationCheck::ServesNewest(int node, int incarnation) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const NewestServed& newest_served = newest_served_[static_cast<size_t>(node)];
  return newest_served.incarnation == incarnation && !written_.empty() &&
         newest_served.version == written_.rbegin()->first;
}

absl::Duration ConfigurationCheck::max_delay() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return max_delay_;
}

std::string ConfigurationCheck::CheckObservation(
    const Observation& observation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (observation.before.incarnation != observation.after.incarnation)
    return "";
  std::string violation = CheckRegression(observation);
  if (violation.empty()) violation = CheckLateness(observation);
  if (violation.empty()) violation = CheckRefusal(observation);
  return violation;
}

std::string ConfigurationCheck::CheckRegression(
    const Observation& observation) {
  NewestServed& newest_served =
      newest_served_[static_cast<size_t>(observation.node)];
  if (newest_served.incarnation != observation.before.incarnation)
    newest_served = {observation.before.incarnation, 0};
  // A node that refuses a call because its configuration may be outdated does
  // not serve by an older version; `CheckRefusal` checks refusals.
  if (observation.version == 0) return "";
  if (observation.version < newest_served.version) {
    return absl::StrCat("CONFIG: node ", observation.node,
                        " went back from version ", newest_served.version,
                        " to ", observation.version);
  }
  const auto written = written_.find(observation.version);
  const bool first =
      observation.version > newest_served.version && written != written_.end();
  if (first && observation.before.undisturbed_since < observation.sent_at)
    max_delay_ = std::max(
        max_delay_,
        observation.sent_at -
            std::max(written->second, observation.before.undisturbed_since));
  newest_served.version = observation.version;
  return "";
}

std::string ConfigurationCheck::CheckLateness(
    const Observation& observation) const {
  if (observation.version == 0 || WasDisturbed(observation)) return "";
  for (auto it = written_.upper_bound(observation.version);
       it != written_.end(); ++it) {
    if (observation.sent_at <= DueTime(it->second, observation)) continue;
    return absl::StrCat("CONFIG: node ", observation.node, " serves version ",
                        observation.version, ", ",
                        Milliseconds(observation.sent_at - it->second),
                        " ms after version ", it->first,
                        " was written, undisturbed for ",
                        Milliseconds(observation.sent_at -
                                     observation.before.undisturbed_since),
                        " ms");
  }
  return "";
}

std::string ConfigurationCheck::CheckRefusal(
    const Observation& observation) const {
  if (observation.version != 0 || WasDisturbed(observation) || written_.empty())
    return "";
  if (observation.sent_at <= DueTime(written_.begin()->second, observation))
    return "";
  return absl::StrCat(
      "CONFIG: node ", observation.node,
      " refuses a call because its configuration may be outdated, undisturbed "
      "for ",
      Milliseconds(observation.sent_at - observation.before.undisturbed_since),
      " ms");
}

}  // namespace keelbridge::testing
