// A list of members with versions, which one node keeps and others copy.
//
// A copy is brought up to date with the changes since its version, so that a
// message about a list that did not change is short whatever the number of
// members. A version is named by a state, which includes a digest of the list:
// two lists with the same state hold the same members. If the owner no longer
// knows the state of a copy, it sends the whole list.
//
// MemberList performs no I/O and reads no clock.
//
//   MemberList list;
//   list.Set(member);
//   MemberUpdate update = list.UpdateSince(copy.state());
//   MemberList::ApplyResult result = copy.Apply(update);

#ifndef KEELBRIDGE_MEMBERSHIP_MEMBER_LIST_H_
#define KEELBRIDGE_MEMBERSHIP_MEMBER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "keelbridge/membership/site_member.h"

namespace keelbridge {

// Identifies a version of a list.
struct ListState {
  // Identifies the owner of the list: the epoch of a leader, or the incarnation
  // of a process. 0: nothing is known of the list.
  uint64_t owner = 0;
  int64_t version = 0;  // Number of changes.
  uint64_t digest = 0;  // Of the members; independent of their order.
};
bool operator==(const ListState& a, const ListState& b);
inline bool operator!=(const ListState& a, const ListState& b) {
  return !(a == b);
}

// The changes from one state of a list to a later one.
struct MemberUpdate {
  bool whole_list = false;  // `changed` holds all members.
  ListState base;           // The state to which the changes apply.
  ListState state;          // The state that they result in.
  std::vector<SiteMember> changed;
  std::vector<std::string> removed;  // Names.

  bool empty() const { return !whole_list && base == state; }
};

class MemberList {
 public:
  // A longer list is refused, so that a faulty message cannot exhaust memory.
  static constexpr size_t kMaxMembers = 20000;
  // Number of changes that are remembered for copies that are behind.
  static constexpr size_t kMaxHistory = 2048;

  enum class ApplyResult {
    kApplied,
    kOtherBase,       // The update applies to another state of the list.
    kTooLong,         // The list would exceed kMaxMembers.
    kDuplicate,       // A member is named twice.
    kDigestMismatch,  // The members are not those of the update's state.
  };

  // Adds or replaces a member. Returns false if it is unchanged.
  bool Set(const SiteMember& member);
  bool Remove(const std::string& name);
  // Keeps only the members for which `keep` returns true.
  void RemoveUnless(const std::function<bool(const SiteMember&)>& keep);
  // Makes `owner` the owner of the list; the members and the history stay.
  void SetOwner(uint64_t owner) { state_.owner = owner; }

  // Returns the changes since `known`, or the whole list if `known` is not in
  // the history.
  MemberUpdate UpdateSince(const ListState& known) const;
  // Applies the update of the list's owner. Unless the result is kApplied, the
  // list is unchanged; after any other result than kOtherBase its state is
  // reset, so that the next update holds the whole list.
  ApplyResult Apply(const MemberUpdate& update);

  const SiteMember* Find(const std::string& name) const;
  const std::map<std::string, SiteMember>& members() const { return members_; }
  size_t size() const { return members_.size(); }
  const ListState& state() const { return state_; }
  // Number of times that the members changed; unlike the version, it never
  // decreases.
  int64_t changes() const { return changes_; }

 private:
  struct Change {
    std::string name;  // The member that was set or removed.
    ListState after;
  };
  // Returns the index of the first change after `known`, or -1 if `known` is
  // not in the history.
  std::ptrdiff_t FindInHistory(const ListState& known) const;
  void RecordChange(const std::string& name);
  // Returns the digest of the members once `update` has been applied.
  uint64_t DigestAfter(const MemberUpdate& update) const;
  // Resets the state, so that the next update holds the whole list.
  ApplyResult Fail(ApplyResult result);

  std::map<std::string, SiteMember> members_;  // By name.
  ListState state_;
  std::deque<Change> history_;
  int64_t changes_ = 0;
};

const char* ApplyResultName(MemberList::ApplyResult result);

}  // namespace keelbridge

#endif  // KEELBRIDGE_MEMBERSHIP_MEMBER_LIST_H_
