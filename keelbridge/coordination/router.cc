#include "keelbridge/coordination/router.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {

void Router::SetConfiguration(const Configuration& configuration,
                              const std::string& zone) {
  std::map<std::string, Target> targets;
  by_service_.clear();
  services_.clear();
  for (const ServiceConfig& service : configuration.services)
    services_[service.name] = service;
  for (const TargetConfig& config : configuration.targets) {
    if (config.zone != zone) continue;
    const auto previous = targets_.find(config.name);
    // Requests in flight stay counted when the configuration changes.
    Target target = previous == targets_.end() ? Target() : previous->second;
    target.config = config;
    UpdateShare(target);
    for (const std::string& service : config.services)
      by_service_[service].push_back(config.name);
    targets[config.name] = std::move(target);
  }
  // A target that is removed receives no more requests, but those in flight
  // count if it is added again before they are done.
  for (auto& [name, target] : targets_) {
    if (target.in_flight > 0) targets.try_emplace(name, std::move(target));
  }
  targets_ = std::move(targets);
}

void Router::SetShare(int index, int count) {
  index_ = index;
  count_ = std::max(1, count);
  for (auto& [name, target] : targets_) UpdateShare(target);
}

void Router::UpdateShare(Target& target) const {
  // The remainder is rotated by target name, so that no gateway always receives
  // it. The connection limit applies if it is lower than the number of slots.
  const int64_t limit =
      std::min(target.config.slots, target.config.connections);
  const int64_t rotation = static_cast<int64_t>(
      XXH64(target.config.name.data(), target.config.name.size(), 0) % count_);
  const int64_t position = (index_ + rotation) % count_;
  target.share = limit / count_ + (position < limit % count_ ? 1 : 0);
}

const ServiceConfig* Router::FindService(const std::string& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

Result<Router::Pick> Router::Choose(const std::string& service,
                                    const std::set<std::string>& tried,
                                    absl::Time now) {
  const auto names = by_service_.find(service);
  if (services_.count(service) == 0) {
    return MakeError(
        ErrorCode::kNotFound,
        absl::StrCat("no service ", service, " in the configuration in force"));
  }
  if (names == by_service_.end()) {
    return MakeError(ErrorCode::kUnavailable,
                     absl::StrCat("no target of this zone serves ", service),
                     options_.retry_after);
  }
  const auto usable = [&](const std::string& name) {
    return draining_targets_.count(name) == 0 && tried.count(name) == 0;
  };
  std::vector<Target*> free;
  size_t usable_count = 0;
  size_t healthy = 0;
  for (const std::string& name : names->second) {
    if (!usable(name)) continue;
    ++usable_count;
    Target& target = targets_[name];
    if (now < target.ejected_until) continue;
    ++healthy;
    if (target.in_flight < target.share) free.push_back(&target);
  }
  // If more than half of the usable targets are ejected, the fault is more
  // likely on this side, and all of them are used.
  if (usable_count > 0 && healthy * 2 < usable_count) {
    for (const std::string& name : names->second) {
      Target& target = targets_[name];
      if (usable(name) && now < target.ejected_until &&
          target.in_flight < target.share)
        free.push_back(&target);
    }
  }
  if (usable_count == 0) {
    return MakeError(ErrorCode::kUnavailable,
                     absl::StrCat("no target is left to try for ", service),
                     options_.retry_after);
  }
  if (free.empty()) {
    return MakeError(ErrorCode::kOverloaded,
                     absl::StrCat("all targets for ", service, " are busy"),
                     options_.retry_after);
  }
  std::uniform_int_distribution<size_t> random_index(0, free.size() - 1);
  Target* a = free[random_index(random_)];
  Target* b = free[random_index(random_)];
  // Compares the used fractions of the shares by cross multiplication.
  Target* pick = a->in_flight * b->share <= b->in_flight * a->share ? a : b;
  ++pick->in_flight;
  return Pick{pick->config.name, pick->config.address};
}

void Router::Done(const std::string& name, AttemptResult result,
                  absl::Time now) {
  const auto it = targets_.find(name);
  if (it == targets_.end()) return;
  Target& target = it->second;
  target.in_flight = std::max<int64_t>(0, target.in_flight - 1);
  if (result == AttemptResult::kAnswered) {
    target.failures = 0;
    target.ejections = 0;
    return;
  }
  // A refusal is not a failure: the target is full or draining.
  if (result == AttemptResult::kRefused ||
      ++target.failures < options_.eject_after)
    return;
  target.failures = 0;
  const absl::Duration ejection_duration =
      options_.initial_ejection * (1 << std::min(target.ejections++, 8));
  target.ejected_until =
      now + std::min(ejection_duration, options_.max_ejection);
}

bool Router::MayRetry(AttemptResult result, bool repeatable) {
  switch (result) {
    case AttemptResult::kAnswered:
      return false;
    case AttemptResult::kRefused:
    case AttemptResult::kUnreached:
      return true;
    case AttemptResult::kNoAnswer:
      return repeatable;
  }
  return false;
}

int64_t Router::InFlight(const std::string& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? 0 : it->second.in_flight;
}

int64_t Router::ShareOf(const std::string& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? 0 : it->second.share;
}

bool Router::Ejected(const std::string& target, absl::Time now) const {
  const auto it = targets_.find(target);
  return it != targets_.end() && now < it->second.ejected_until;
}

}  // namespace keelbridge
