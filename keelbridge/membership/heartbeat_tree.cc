#include "keelbridge/membership/heartbeat_tree.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace keelbridge {
namespace {

// Orders the members of a zone by closeness to the root: the leader, then by
// descending capacity. The hash spreads equal members over the tree.
std::vector<const SiteMember*> InTreeOrder(
    const std::vector<const SiteMember*>& members, const std::string& leader) {
  std::vector<std::tuple<bool, double, uint64_t, const SiteMember*>> ordered;
  ordered.reserve(members.size());
  for (const SiteMember* member : members) {
    ordered.emplace_back(member->name != leader, -member->capacity,
                         SaltedNameHash(member->name, 0), member);
  }
  std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
    const auto key = [](const auto& entry) {
      return std::tie(std::get<0>(entry), std::get<1>(entry),
                      std::get<2>(entry), std::get<3>(entry)->name);
    };
    return key(a) < key(b);
  });
  std::vector<const SiteMember*> out;
  out.reserve(ordered.size());
  for (const auto& entry : ordered) out.push_back(std::get<3>(entry));
  return out;
}

}  // namespace

HeartbeatTree::HeartbeatTree(const std::map<std::string, SiteMember>& members,
                             const std::string& leader,
                             const Options& options) {
  nodes_.reserve(members.size());
  if (members.size() <= options.max_flat_site) {
    for (const auto& [name, member] : members) nodes_[name] = Node();
    return;
  }
  std::map<std::string, std::vector<const SiteMember*>> zones;
  for (const auto& [name, member] : members)
    zones[member.zone].push_back(&member);
  for (const auto& [zone, nodes] : zones)
    AddZone(InTreeOrder(nodes, leader), leader, options.max_children);
}

void HeartbeatTree::AddZone(const std::vector<const SiteMember*>& members,
                            const std::string& leader, size_t max_children) {
  const size_t first_parent = parents_.size();
  const size_t parent_count =
      (members.size() + max_children - 1) / max_children;
  for (size_t i = 0; i < parent_count; ++i) parents_.push_back(*members[i]);
  for (size_t i = 0; i < members.size(); ++i) {
    Node node;
    const SiteMember* parent =
        i == 0 ? nullptr : &parents_[first_parent + (i - 1) / max_children];
    if (parent != nullptr && parent->name != leader) {
      node.parent = parent;
      node.depth = nodes_.at(parent->name).depth + 1;
    }
    nodes_.emplace(members[i]->name, node);
  }
}

const SiteMember* HeartbeatTree::ParentOf(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? nullptr : found->second.parent;
}

int HeartbeatTree::DepthOf(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found == nodes_.end() ? 1 : found->second.depth;
}

}  // namespace keelbridge
