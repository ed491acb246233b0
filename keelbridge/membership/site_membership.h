// What a node knows of the other nodes of its site.
//
// Heartbeats travel up a tree to the leader (see `heartbeat_tree.h`). A
// heartbeat vouches for its sender and for all members below it, and names only
// those that changed. Its answer carries the changes of the leader's list of
// all members. So the leader knows of each node that appears or stops
// responding after a few heartbeats, all nodes copy its list, and the number
// and the size of the messages of a node do not depend on the size of the site
// while nothing changes.
//
// A parent that does not respond is passed over in favor of its own parent.
// A node that is not in the list yet, or has outdated knowledge of the tree,
// sends its heartbeats to the leader, which names its parent in the answer.
//
// SiteMembership performs no I/O and reads no clock. Times are monotonic.
//
//   SiteMembership membership(self, incarnation, SiteMembership::Options());
//   membership.OnLeader("node-b", epoch, false, now);
//   const SiteMember* parent = membership.Parent(now);  // Null: the leader.
//   Send(membership.MakeReport(name));              // Then OnAnswer().
//   Reply(membership.HandleReport(report, now));    // On the parent.

#ifndef KEELBRIDGE_MEMBERSHIP_SITE_MEMBERSHIP_H_
#define KEELBRIDGE_MEMBERSHIP_SITE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/membership/heartbeat_tree.h"
#include "keelbridge/membership/member_list.h"
#include "keelbridge/membership/site_member.h"

namespace keelbridge {

// What a heartbeat states about members.
struct HeartbeatReport {
  SiteMember sender;
  ListState known_members;  // The sender's copy of the leader's list.
  // Changes of the members below the sender, since the state that the receiver
  // has acknowledged.
  MemberUpdate subtree;
};

// What the answer to a heartbeat states about members.
struct HeartbeatReportAnswer {
  ListState known_subtree;  // The state of the sender's subtree known here.
  std::optional<MemberUpdate> members;  // Changes of the leader's list.
  // The node to send heartbeats to instead.
  std::optional<SiteMember> parent;
};

class SiteMembership {
 public:
  struct Options {
    HeartbeatTree::Options tree;
    // A member that sent no heartbeat for this long does not respond.
    absl::Duration member_timeout = absl::Milliseconds(1200);
    // The members below it remain for this long: they notice the loss of their
    // parent and report elsewhere in the meantime.
    absl::Duration descendant_timeout = absl::Milliseconds(2400);
    // A new leader assumes for this long that the members in the list of the
    // previous leader are running.
    absl::Duration inherited_timeout = absl::Milliseconds(2400);
    // A parent that did not respond receives no heartbeats for this long.
    absl::Duration avoid_duration = absl::Seconds(3);
    // If two calls of Update() are further apart than this, the process was
    // paused, and heartbeats may wait unread in its sockets.
    absl::Duration pause_threshold = absl::Milliseconds(500);
  };

  SiteMembership(SiteMember self, uint64_t incarnation, Options options);

  // Sets the state of this node.
  void SetSelf(const SiteMember& self);
  // Records that `leader` leads under `epoch`. `leads` is true if this process
  // is that leader.
  void OnLeader(const std::string& leader, int64_t epoch, bool leads,
                absl::Time now);
  // Removes members that do not respond. Call it periodically.
  void Update(absl::Time now);

  // Returns the node to send heartbeats to; nullptr: the leader.
  const SiteMember* Parent(absl::Time now) const;
  // Returns true if the parent does not know the present members below this
  // node yet.
  bool HasNews() const;
  // Returns what a heartbeat to the node `to` states.
  HeartbeatReport MakeReport(const std::string& to);
  // Handles the answer of the node `from`. Returns whether its update of the
  // list could be applied.
  MemberList::ApplyResult OnAnswer(const std::string& from,
                                   const HeartbeatReportAnswer& answer);
  // Records that a heartbeat to `name` got no answer. A parent that leaves two
  // in a row unanswered, or whose process is gone (`refused`), is avoided.
  void OnNoAnswer(const std::string& name, bool refused, absl::Time now);
  // Records that the parent `name` responds but does not reach the leader.
  void OnParentWithoutLeader(const std::string& name, absl::Time now);

  // Handles the heartbeat of another node. Its subtree is ignored if it cannot
  // be applied, and is then requested again as a whole; `result` is set to the
  // reason.
  HeartbeatReportAnswer HandleReport(const HeartbeatReport& report,
                                     absl::Time now,
                                     MemberList::ApplyResult* result);

  // The members as of the leader's list, including this node once it is listed.
  const MemberList& members() const { return members_; }
  const SiteMember& self() const { return self_; }
  // True if all nodes send their heartbeats to the leader.
  bool is_flat() const {
    return members_.size() <= options_.tree.max_flat_site;
  }
  // Number of hops between `name` and the leader.
  int DepthOf(const std::string& name) const { return tree_.DepthOf(name); }
  // Number of members that stopped responding to this node as their leader.
  int64_t members_lost() const { return members_lost_; }

 private:
  // A node that sends its heartbeats to this one.
  struct Child {
    SiteMember member;
    MemberList subtree;
    absl::Time last_report;
  };

  // Shifts the times of all reports after a pause of this process.
  void ForgivePause(absl::Time now);
  // Removes children and records that the members must be merged.
  void ExpireChildren(absl::Time now);
  // Returns the members that children vouch for.
  std::map<std::string, SiteMember> VouchedMembers(absl::Time now) const;
  void MergeIntoMembers(const std::map<std::string, SiteMember>& vouched,
                        absl::Time now);
  void MergeIntoSubtree(const std::map<std::string, SiteMember>& vouched);
  void RebuildTree();
  void Avoid(const std::string& name, absl::Time now);
  bool Avoided(const std::string& name, absl::Time now) const;

  const uint64_t incarnation_;
  const Options options_;
  SiteMember self_;
  std::string leader_;
  int64_t epoch_ = 0;
  bool leads_ = false;  // This process is the leader.
  MemberList members_;
  MemberList subtree_;  // Members below this node while another node leads.
  std::map<std::string, Child> children_;  // By name.
  bool merge_due_ = false;
  absl::Time next_expiry_ = absl::InfinitePast();
  absl::Time last_update_ = absl::InfinitePast();
  absl::Time inherited_until_ = absl::InfinitePast();
  int64_t members_lost_ = 0;

  HeartbeatTree tree_;
  int64_t tree_changes_ = -1;  // MemberList::changes() as of `tree_`.
  std::string tree_leader_;
  std::map<std::string, absl::Time> avoided_until_;  // By name.
  std::optional<SiteMember> assigned_parent_;        // Named by the leader.
  int unanswered_ = 0;  // Heartbeats in a row to the same node.
  std::string acknowledged_by_;
  ListState acknowledged_subtree_;  // As of the last answer of that node.
};

// Returns up to `count` members in an order that depends on `salt`, without
// those named in `except`.
std::vector<const SiteMember*> SampleMembers(
    const MemberList& members, size_t count, uint64_t salt,
    const std::vector<std::string>& except);

}  // namespace keelbridge

#endif  // KEELBRIDGE_MEMBERSHIP_SITE_MEMBERSHIP_H_
