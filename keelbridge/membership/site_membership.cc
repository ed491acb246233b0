#include "keelbridge/membership/site_membership.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Number of unanswered heartbeats in a row after which a parent is avoided.
constexpr int kMaxUnanswered = 2;

// Returns true if a copy in state `a` is more recent than one in state `b`.
bool IsNewer(const ListState& a, const ListState& b) {
  if (a.owner != b.owner) return a.owner > b.owner;
  return a.version > b.version;
}

}  // namespace

SiteMembership::SiteMembership(SiteMember self, uint64_t incarnation,
                               Options options)
    : incarnation_(incarnation), options_(options), self_(std::move(self)) {
  subtree_.SetOwner(incarnation_);
}

void SiteMembership::SetSelf(const SiteMember& self) {
  if (self == self_) return;
  self_ = self;
  merge_due_ = merge_due_ || leads_;
}

void SiteMembership::OnLeader(const std::string& leader, int64_t epoch,
                              bool leads, absl::Time now) {
  if (epoch <= epoch_) return;
  const std::string previous = std::exchange(leader_, leader);
  epoch_ = epoch;
  leads_ = leads;
  assigned_parent_.reset();
  // Whoever was out of contact with the previous leader may reach this one.
  avoided_until_.clear();
  if (!previous.empty() && previous != leader)
    avoided_until_[previous] = now + options_.avoid_duration;
  merge_due_ = true;
  if (!leads_) return;
  members_.SetOwner(static_cast<uint64_t>(epoch));
  inherited_until_ = now + options_.inherited_timeout;
  // Likely the reason for the change. It returns with its next heartbeat.
  if (previous != self_.name) members_.Remove(previous);
}

void SiteMembership::Update(absl::Time now) {
  ForgivePause(now);
  ExpireChildren(now);
  if (leads_ && inherited_until_ <= now &&
      inherited_until_ != absl::InfinitePast()) {
    inherited_until_ = absl::InfinitePast();
    merge_due_ = true;
  }
  if (std::exchange(merge_due_, false)) {
    const std::map<std::string, SiteMember> vouched = VouchedMembers(now);
    if (leads_)
      MergeIntoMembers(vouched, now);
    else
      MergeIntoSubtree(vouched);
  }
  RebuildTree();
}

void SiteMembership::ForgivePause(absl::Time now) {
  const absl::Duration gap = now - std::exchange(last_update_, now);
  if (gap <= options_.pause_threshold || gap == absl::InfiniteDuration())
    return;
  for (auto& [name, child] : children_)
    child.last_report = std::min(now, child.last_report + gap);
  if (leads_) inherited_until_ += gap;
}

void SiteMembership::ExpireChildren(absl::Time now) {
  if (now < next_expiry_) return;
  next_expiry_ = absl::InfiniteFuture();
  for (auto it = children_.begin(); it != children_.end();) {
    const absl::Time silent_at =
        it->second.last_report + options_.member_timeout;
    const absl::Time gone_at =
        it->second.last_report + options_.descendant_timeout;
    if (gone_at <= now) {
      it = children_.erase(it);
      merge_due_ = true;
      continue;
    }
    if (silent_at <= now) merge_due_ = true;
    next_expiry_ =
        std::min(next_expiry_, silent_at <= now ? gone_at : silent_at);
    ++it;
  }
}

std::map<std::string, SiteMember> SiteMembership::VouchedMembers(
    absl::Time now) const {
  std::map<std::string, SiteMember> vouched;
  for (const auto& [name, child] : children_) {
    for (const auto& [below, member] : child.subtree.members())
      vouched.try_emplace(below, member);
  }
  // A child knows its own state best.
  for (const auto& [name, child] : children_) {
    const bool responds = now - child.last_report < options_.member_timeout;
    if (responds) vouched[name] = child.member;
  }
  vouched.erase(self_.name);
  return vouched;
}

void SiteMembership::MergeIntoMembers(
    const std::map<std::string, SiteMember>& vouched, absl::Time now) {
  const int64_t before = members_.changes();
  members_.RemoveUnless([&](const SiteMember& member) {
    return member.name == self_.name || now < inherited_until_ ||
           vouched.count(member.name) > 0;
  });
  members_lost_ += members_.changes() - before;
  for (const auto& [name, member] : vouched) members_.Set(member);
  members_.Set(self_);
}

void SiteMembership::MergeIntoSubtree(
    const std::map<std::string, SiteMember>& vouched) {
  subtree_.RemoveUnless(
      [&](const SiteMember& member) { return vouched.count(member.name) > 0; });
  for (const auto& [name, member] : vouched) subtree_.Set(member);
}

void SiteMembership::RebuildTree() {
  if (tree_changes_ == members_.changes() && tree_leader_ == leader_) return;
  tree_changes_ = members_.changes();
  tree_leader_ = leader_;
  tree_ = HeartbeatTree(members_.members(), leader_, options_.tree);
}

bool SiteMembership::Avoided(const std::string& name, absl::Time now) const {
  const auto found = avoided_until_.find(name);
  return found != avoided_until_.end() && now < found->second;
}

const SiteMember* SiteMembership::Parent(absl::Time now) const {
  if (assigned_parent_ && !Avoided(assigned_parent_->name, now))
    return &*assigned_parent_;
  const SiteMember* parent = tree_.ParentOf(self_.name);
  while (parent != nullptr && Avoided(parent->name, now))
    parent = tree_.ParentOf(parent->name);
  return parent;
}

bool SiteMembership::HasNews() const {
  return !leads_ && acknowledged_subtree_ != subtree_.state() &&
         subtree_.size() > 0;
}

HeartbeatReport SiteMembership::MakeReport(const std::string& to) {
  if (std::exchange(acknowledged_by_, to) != to) {
    acknowledged_subtree_ = ListState();
    unanswered_ = 0;
  }
  HeartbeatReport report;
  report.sender = self_;
  report.known_members = members_.state();
  report.subtree = subtree_.UpdateSince(acknowledged_subtree_);
  return report;
}

MemberList::ApplyResult SiteMembership::OnAnswer(
    const std::string& from, const HeartbeatReportAnswer& answer) {
  if (from == acknowledged_by_) {
    acknowledged_subtree_ = answer.known_subtree;
    unanswered_ = 0;
  }
  if (answer.parent && answer.parent->name != self_.name)
    assigned_parent_ = answer.parent;
  if (!answer.members || leads_) return MemberList::ApplyResult::kApplied;
  const auto result = members_.Apply(*answer.members);
  if (result == MemberList::ApplyResult::kApplied && !answer.parent &&
      members_.Find(self_.name) != nullptr)
    assigned_parent_.reset();
  return result;
}

void SiteMembership::OnNoAnswer(const std::string& name, bool refused,
                                absl::Time now) {
  ++unanswered_;
  if (refused || unanswered_ >= kMaxUnanswered) Avoid(name, now);
}

void SiteMembership::OnParentWithoutLeader(const std::string& name,
                                           absl::Time now) {
  Avoid(name, now);
}

void SiteMembership::Avoid(const std::string& name, absl::Time now) {
  avoided_until_[name] = now + options_.avoid_duration;
  if (assigned_parent_ && assigned_parent_->name == name)
    assigned_parent_.reset();
}

HeartbeatReportAnswer SiteMembership::HandleReport(
    const HeartbeatReport& report, absl::Time now,
    MemberList::ApplyResult* result) {
  *result = MemberList::ApplyResult::kApplied;
  HeartbeatReportAnswer answer;
  const std::string& sender = report.sender.name;
  if (sender.empty() || sender == self_.name) return answer;
  const auto [entry, added] = children_.try_emplace(sender);
  Child& child = entry->second;
  const bool returns = now - child.last_report >= options_.member_timeout;
  if (added || returns || child.member != report.sender) merge_due_ = true;
  child.member = report.sender;
  child.last_report = now;
  next_expiry_ = std::min(next_expiry_, now + options_.member_timeout);
  if (!report.subtree.empty()) {
    *result = child.subtree.Apply(report.subtree);
    merge_due_ = true;
  }
  answer.known_subtree = child.subtree.state();
  const bool is_assigned = is_flat() || tree_.Contains(sender);
  const SiteMember* parent = tree_.ParentOf(sender);
  if (leads_ && parent != nullptr) {
    answer.parent = *parent;
    return answer;
  }
  // A node that joins a large site gets the list from its parent.
  if (leads_ && !is_assigned) return answer;
  const bool is_behind = members_.state().owner != 0 &&
                         report.known_members != members_.state() &&
                         !IsNewer(report.known_members, members_.state());
  if (is_behind) answer.members = members_.UpdateSince(report.known_members);
  return answer;
}

std::vector<const SiteMember*> SampleMembers(
    const MemberList& members, size_t count, uint64_t salt,
    const std::vector<std::string>& except) {
  std::vector<std::pair<uint64_t, const SiteMember*>> ordered;
  for (const auto& [name, member] : members.members()) {
    const bool excluded =
        std::find(except.begin(), except.end(), name) != except.end();
    if (!excluded) ordered.emplace_back(SaltedNameHash(name, salt), &member);
  }
  count = std::min(count, ordered.size());
  std::partial_sort(ordered.begin(),
                    ordered.begin() + static_cast<std::ptrdiff_t>(count),
                    ordered.end());
  std::vector<const SiteMember*> sample;
  for (size_t i = 0; i < count; ++i) sample.push_back(ordered[i].second);
  return sample;
}

}  // namespace keelbridge
