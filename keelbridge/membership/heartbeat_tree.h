// The tree along which the nodes of a site send heartbeats.
//
// Heartbeats of all nodes to one leader cost the leader a message per node and
// period. In a large site, a node therefore sends its heartbeats to a parent
// with a limited number of children. The tree has a part for each availability
// zone, whose root sends its heartbeats to the leader, so that a zone exchanges
// heartbeats with the others only through its root. Stronger nodes are closer
// to the root. In a small site all nodes send their heartbeats to the leader.
//
// All nodes with the same list of members compute the same tree.
//
// HeartbeatTree performs no I/O and reads no clock.
//
//   HeartbeatTree tree(members, "node-a", HeartbeatTree::Options());
//   const SiteMember* parent = tree.ParentOf("node-b");

#ifndef KEELBRIDGE_MEMBERSHIP_HEARTBEAT_TREE_H_
#define KEELBRIDGE_MEMBERSHIP_HEARTBEAT_TREE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "keelbridge/membership/site_member.h"

namespace keelbridge {

class HeartbeatTree {
 public:
  struct Options {
    // In a site with at most this many nodes, all send heartbeats to the
    // leader.
    size_t max_flat_site = 51;
    // Maximum number of children of a node in a larger site. The leader has
    // those of its own zone and the roots of the other zones.
    size_t max_children = 32;
  };

  HeartbeatTree() = default;
  HeartbeatTree(const std::map<std::string, SiteMember>& members,
                const std::string& leader, const Options& options);
  // Not copyable: nodes point to parents.
  HeartbeatTree(HeartbeatTree&&) = default;
  HeartbeatTree& operator=(HeartbeatTree&&) = default;

  bool Contains(const std::string& name) const { return nodes_.contains(name); }
  // Returns the node to which `name` sends its heartbeats. Returns nullptr if
  // that is the leader, and for the leader and nodes that are not members.
  const SiteMember* ParentOf(const std::string& name) const;
  // Returns the number of hops from `name` to the leader; 1 for a node that is
  // not a member.
  int DepthOf(const std::string& name) const;

 private:
  struct Node {
    const SiteMember* parent = nullptr;
    int depth = 1;
  };
  // Adds the members of one zone, which are ordered by closeness to the root.
  void AddZone(const std::vector<const SiteMember*>& members,
               const std::string& leader, size_t max_children);

  std::deque<SiteMember> parents_;
  absl::flat_hash_map<std::string, Node> nodes_;  // By name.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_MEMBERSHIP_HEARTBEAT_TREE_H_
