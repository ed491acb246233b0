#include "keelbridge/coordination/order_routing.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace keelbridge {

void OrderRouting::SetNodes(std::vector<Node> nodes, double own_capacity) {
  own_capacity_ = own_capacity;
  by_zone_.clear();
  for (Node& node : nodes) by_zone_[node.zone].push_back(std::move(node));
  for (auto& [zone, list] : by_zone_) {
    std::sort(list.begin(), list.end(), [](const Node& a, const Node& b) {
      return std::make_tuple(-a.capacity, a.name) <
             std::make_tuple(-b.capacity, b.name);
    });
  }
}

void OrderRouting::AddWorker(const std::string& worker,
                             const std::string& zone) {
  if (zone_of_worker_.try_emplace(worker, zone).second)
    ++workers_in_zone_[zone];
}

void OrderRouting::RemoveWorker(const std::string& worker) {
  const auto found = zone_of_worker_.find(worker);
  if (found == zone_of_worker_.end()) return;
  --workers_in_zone_[found->second];
  zone_of_worker_.erase(found);
}

bool OrderRouting::UsesRelays() const {
  return static_cast<double>(zone_of_worker_.size()) >
         options_.direct_workers_per_processor * own_capacity_;
}

const OrderRouting::Node* OrderRouting::RouteOf(const std::string& worker,
                                                const std::string& zone,
                                                absl::Time now) const {
  if (!UsesRelays()) return nullptr;
  const auto nodes = by_zone_.find(zone);
  const auto workers = workers_in_zone_.find(zone);
  if (nodes == by_zone_.end() || workers == workers_in_zone_.end())
    return nullptr;
  const size_t relay_count = 1 + workers->second / options_.workers_per_relay;
  const auto choose = [&](bool avoid) {
    std::vector<const Node*> candidates;
    for (const Node& node : nodes->second) {
      if (candidates.size() == relay_count) break;
      const auto avoided = avoided_until_.find(node.name);
      if (!avoid || avoided == avoided_until_.end() || avoided->second <= now)
        candidates.push_back(&node);
    }
    return candidates;
  };
  std::vector<const Node*> candidates = choose(true);
  if (candidates.empty()) candidates = choose(false);
  return candidates[std::hash<std::string>()(worker) % candidates.size()];
}

bool OrderRouting::OnRelayFailure(const std::string& node, absl::Time now) {
  absl::Time& until =
      avoided_until_.try_emplace(node, absl::InfinitePast()).first->second;
  const bool newly_avoided = until <= now;
  until = now + options_.avoid_duration;
  return newly_avoided;
}

}  // namespace keelbridge
