#include "keelbridge/membership/member_list.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace keelbridge {
namespace {

bool NamesRepeat(const MemberUpdate& update) {
  std::set<std::string> names;
  for (const SiteMember& member : update.changed) {
    if (!names.insert(member.name).second) return true;
  }
  for (const std::string& name : update.removed) {
    if (!names.insert(name).second) return true;
  }
  return false;
}

}  // namespace

bool operator==(const ListState& a, const ListState& b) {
  return std::tie(a.owner, a.version, a.digest) ==
         std::tie(b.owner, b.version, b.digest);
}

bool MemberList::Set(const SiteMember& member) {
  const auto [entry, added] = members_.try_emplace(member.name, member);
  if (!added) {
    if (entry->second == member) return false;
    state_.digest -= HashOf(entry->second);
    entry->second = member;
  }
  state_.digest += HashOf(member);
  RecordChange(member.name);
  return true;
}

bool MemberList::Remove(const std::string& name) {
  const auto found = members_.find(name);
  if (found == members_.end()) return false;
  state_.digest -= HashOf(found->second);
  members_.erase(found);
  RecordChange(name);
  return true;
}

void MemberList::RemoveUnless(
    const std::function<bool(const SiteMember&)>& keep) {
  std::vector<std::string> removed;
  for (const auto& [name, member] : members_) {
    if (!keep(member)) removed.push_back(name);
  }
  for (const std::string& name : removed) Remove(name);
}

void MemberList::RecordChange(const std::string& name) {
  ++changes_;
  ++state_.version;
  history_.push_back({name, state_});
  if (history_.size() > kMaxHistory) history_.pop_front();
}

std::ptrdiff_t MemberList::FindInHistory(const ListState& known) const {
  // The owner is not compared: a new owner continues the list of the last one.
  if (known.owner == 0) return -1;
  if (known.version == state_.version && known.digest == state_.digest)
    return static_cast<std::ptrdiff_t>(history_.size());
  const auto next =
      std::upper_bound(history_.begin(), history_.end(), known.version,
                       [](int64_t version, const Change& c) {
                         return version < c.after.version;
                       });
  if (next == history_.begin()) return -1;
  const ListState& before = std::prev(next)->after;
  const bool found =
      before.version == known.version && before.digest == known.digest;
  return found ? next - history_.begin() : -1;
}

MemberUpdate MemberList::UpdateSince(const ListState& known) const {
  MemberUpdate update;
  update.base = known;
  update.state = state_;
  const std::ptrdiff_t first = FindInHistory(known);
  if (first < 0) {
    update.whole_list = true;
    for (const auto& [name, member] : members_)
      update.changed.push_back(member);
    return update;
  }
  std::set<std::string> names;
  for (auto change = history_.begin() + first; change != history_.end();
       ++change)
    names.insert(change->name);
  for (const std::string& name : names) {
    const SiteMember* member = Find(name);
    if (member != nullptr)
      update.changed.push_back(*member);
    else
      update.removed.push_back(name);
  }
  return update;
}

MemberList::ApplyResult MemberList::Fail(ApplyResult result) {
  state_ = ListState();
  history_.clear();
  // The digest keeps describing the members, for the changes to come.
  for (const auto& [name, member] : members_) state_.digest += HashOf(member);
  return result;
}

uint64_t MemberList::DigestAfter(const MemberUpdate& update) const {
  uint64_t digest = update.whole_list ? 0 : state_.digest;
  const auto subtract = [&](const std::string& name) {
    const SiteMember* member = update.whole_list ? nullptr : Find(name);
    if (member != nullptr) digest -= HashOf(*member);
  };
  for (const SiteMember& member : update.changed) {
    subtract(member.name);
    digest += HashOf(member);
  }
  for (const std::string& name : update.removed) subtract(name);
  return digest;
}

MemberList::ApplyResult MemberList::Apply(const MemberUpdate& update) {
  if (!update.whole_list && update.base != state_)
    return ApplyResult::kOtherBase;
  const size_t kept = update.whole_list ? 0 : members_.size();
  if (kept + update.changed.size() > kMaxMembers)
    return Fail(ApplyResult::kTooLong);
  if (NamesRepeat(update)) return Fail(ApplyResult::kDuplicate);
  if (DigestAfter(update) != update.state.digest)
    return Fail(ApplyResult::kDigestMismatch);
  if (update.whole_list) {
    members_.clear();
    history_.clear();
  }
  // The history serves the copies of this copy.
  for (const SiteMember& member : update.changed) {
    members_[member.name] = member;
    history_.push_back({member.name, update.state});
  }
  for (const std::string& name : update.removed) {
    members_.erase(name);
    history_.push_back({name, update.state});
  }
  while (history_.size() > kMaxHistory) history_.pop_front();
  state_ = update.state;
  ++changes_;
  return ApplyResult::kApplied;
}

const SiteMember* MemberList::Find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

const char* ApplyResultName(MemberList::ApplyResult result) {
  switch (result) {
    case MemberList::ApplyResult::kApplied:
      return "applied";
    case MemberList::ApplyResult::kOtherBase:
      return "applies to another state of the list";
    case MemberList::ApplyResult::kTooLong:
      return "too many members";
    case MemberList::ApplyResult::kDuplicate:
      return "a member is named twice";
    case MemberList::ApplyResult::kDigestMismatch:
      return "the digest does not match";
  }
  return "unknown";
}

}  // namespace keelbridge
