#include "keelbridge/coordination/order_routing.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace keelbridge {
namespace {

// Chooses by rendezvous hashing: if one relay is lost, the workers of the
// others keep theirs, and with them their connections.
const OrderRouting::Node* ChooseRelay(
    const std::vector<const OrderRouting::Node*>& relays,
    const std::string& worker) {
  return *std::max_element(
      relays.begin(), relays.end(),
      [&worker](const OrderRouting::Node* a, const OrderRouting::Node* b) {
        const auto weight = [&worker](const OrderRouting::Node* node) {
          const uint64_t seed = XXH64(node->name.data(), node->name.size(), 0);
          return XXH64(worker.data(), worker.size(), seed);
        };
        return weight(a) < weight(b);
      });
}

}  // namespace

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

void OrderRouting::RemoveAllWorkers() {
  zone_of_worker_.clear();
  workers_in_zone_.clear();
}

bool OrderRouting::UsesRelays() const {
  return static_cast<double>(zone_of_worker_.size()) >
         options_.direct_workers_per_processor * own_capacity_;
}

std::vector<const OrderRouting::Node*> OrderRouting::UsableNodes(
    const std::vector<Node>& nodes, size_t considered, size_t count,
    absl::Time now) const {
  std::vector<const Node*> usable;
  for (size_t i = 0; i < std::min(considered, nodes.size()); ++i) {
    if (usable.size() == count) break;
    const auto avoided = avoided_until_.find(nodes[i].name);
    if (avoided == avoided_until_.end() || avoided->second <= now)
      usable.push_back(&nodes[i]);
  }
  return usable;
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
  std::vector<const Node*> relays = UsableNodes(
      nodes->second, relay_count * options_.relay_attempts, relay_count, now);
  // A failure of the strongest nodes is reported soon. Without any relay, a
  // leader that overloads its link would send all orders over it.
  if (relays.empty()) {
    const size_t count = std::min(relay_count, nodes->second.size());
    for (size_t i = 0; i < count; ++i) relays.push_back(&nodes->second[i]);
  }
  return ChooseRelay(relays, worker);
}

bool OrderRouting::OnRelayFailure(const std::string& node, absl::Time now) {
  absl::Time& until =
      avoided_until_.try_emplace(node, absl::InfinitePast()).first->second;
  const bool newly_avoided = until <= now;
  until = now + options_.avoid_duration;
  return newly_avoided;
}

}  // namespace keelbridge
