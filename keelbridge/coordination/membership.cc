#include "keelbridge/coordination/membership.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

Json::Value MemberToJson(const Member& member) {
  Json::Value out;
  out["name"] = member.name;
  out["address"] = member.address;
  out["incarnation"] = static_cast<Json::UInt64>(member.incarnation);
  out["state"] = static_cast<int>(member.state);
  return out;
}

Member MemberFromJson(const Json::Value& in) {
  const int state =
      std::clamp(in["state"].asInt(), 0, static_cast<int>(MemberState::kLeft));
  return {in["name"].asString(), in["address"].asString(),
          in["incarnation"].asUInt64(), static_cast<MemberState>(state)};
}

// Returns true if `update` replaces `known`: it has a later incarnation, or the
// same incarnation and a later state in the order of MemberState.
bool Replaces(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation)
    return update.incarnation > known.incarnation;
  return update.state > known.state;
}

}  // namespace

Json::Value ToJson(const MemberMessage& message) {
  Json::Value out;
  out["sender"] = MemberToJson(message.sender);
  out["configuration_version"] =
      static_cast<Json::Int64>(message.configuration_version);
  for (const Member& member : message.changes)
    out["changes"].append(MemberToJson(member));
  return out;
}

MemberMessage MemberMessageFromJson(const Json::Value& in) {
  MemberMessage message;
  message.sender = MemberFromJson(in["sender"]);
  message.configuration_version = in["configuration_version"].asInt64();
  for (const Json::Value& member : in["changes"])
    message.changes.push_back(MemberFromJson(member));
  return message;
}

Membership::Membership(Options options, Member self,
                       std::vector<std::string> seeds, uint64_t seed)
    : options_(options),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed) {}

void Membership::QueueChange(const std::string& name) {
  const auto it = std::find_if(changes_.begin(), changes_.end(),
                               [&](const Change& c) { return c.name == name; });
  if (it != changes_.end()) {
    it->sends = 0;
  } else {
    changes_.push_back({name, 0});
  }
}

void Membership::ApplyUpdate(const Member& member, absl::Time now) {
  if (member.name.empty()) return;
  if (member.name == self_.name) {
    // Another host reports that this host is not alive, or knows an earlier
    // process of it under a higher incarnation. Refute it with an even higher
    // one.
    const bool reported_not_alive = member.state != MemberState::kAlive &&
                                    member.incarnation >= self_.incarnation;
    if (reported_not_alive && self_.state == MemberState::kAlive) {
      self_.incarnation = member.incarnation + 1;
      QueueChange(self_.name);
    }
    return;
  }
  const auto it = view_.find(member.name);
  if (it != view_.end() && !Replaces(member, it->second)) return;
  view_[member.name] = member;
  state_since_[member.name] = now;
  QueueChange(member.name);
}

MemberMessage Membership::MakeMessage() {
  MemberMessage message;
  message.sender = self_;
  message.configuration_version = version_;
  // Changes that have been sent in fewer messages come first.
  std::stable_sort(
      changes_.begin(), changes_.end(),
      [](const Change& a, const Change& b) { return a.sends < b.sends; });
  for (Change& change : changes_) {
    if (message.changes.size() >=
        static_cast<size_t>(options_.max_changes_per_message))
      break;
    ++change.sends;
    const auto it = view_.find(change.name);
    if (it != view_.end()) message.changes.push_back(it->second);
  }
  changes_.erase(std::remove_if(changes_.begin(), changes_.end(),
                                [this](const Change& c) {
                                  return c.sends >= options_.sends_per_change;
                                }),
                 changes_.end());
  return message;
}

std::optional<Membership::Probe> Membership::Tick(absl::Time now) {
  for (auto it = view_.begin(); it != view_.end();) {
    Member& member = it->second;
    const absl::Duration age = now - state_since_[member.name];
    if (member.state == MemberState::kSuspect &&
        age >= options_.suspect_timeout) {
      member.state = MemberState::kDead;
      state_since_[member.name] = now;
      QueueChange(member.name);
    }
    const bool gone = member.state == MemberState::kDead ||
                      member.state == MemberState::kLeft;
    if (gone && age >= options_.forget_after) {
      state_since_.erase(member.name);
      it = view_.erase(it);
    } else {
      ++it;
    }
  }
  if (now < next_probe_at_) return std::nullopt;
  next_probe_at_ = now + options_.probe_interval;
  if (probe_order_.empty()) {
    for (const auto& [name, member] : view_) {
      if (member.state == MemberState::kAlive ||
          member.state == MemberState::kSuspect)
        probe_order_.push_back(name);
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    // Probes one seed in each cycle, so that two partitions that lost contact
    // find each other again.
    if (!seeds_.empty()) {
      const std::string& address = seeds_[next_seed_++ % seeds_.size()];
      if (address != self_.address) return Probe{"", address, MakeMessage()};
    }
  }
  while (!probe_order_.empty()) {
    const std::string name = probe_order_.back();
    probe_order_.pop_back();
    const auto it = view_.find(name);
    if (it == view_.end()) continue;
    return Probe{name, it->second.address, MakeMessage()};
  }
  return std::nullopt;
}

void Membership::ApplyMessage(const MemberMessage& message, absl::Time now) {
  ApplyUpdate(message.sender, now);
  for (const Member& member : message.changes) ApplyUpdate(member, now);
  if (message.configuration_version > version_) {
    newer_configuration_at_ = message.sender.address;
  } else if (newer_configuration_at_ == message.sender.address) {
    newer_configuration_at_.reset();
  }
}

MemberMessage Membership::OnProbe(const MemberMessage& probe, absl::Time now) {
  ApplyMessage(probe, now);
  return MakeMessage();
}

void Membership::OnAnswer(const Probe& probe,
                          const std::optional<MemberMessage>& answer,
                          absl::Time now) {
  if (answer) return ApplyMessage(*answer, now);
  const auto it = view_.find(probe.name);
  if (it == view_.end() || it->second.state != MemberState::kAlive) return;
  it->second.state = MemberState::kSuspect;
  state_since_[probe.name] = now;
  QueueChange(probe.name);
}

MemberMessage Membership::MakeLeaveMessage() {
  self_.state = MemberState::kLeft;
  return MakeMessage();
}

std::vector<Member> Membership::Live() const {
  std::vector<Member> live = {self_};
  for (const auto& [name, member] : view_) {
    if (member.state == MemberState::kAlive ||
        member.state == MemberState::kSuspect)
      live.push_back(member);
  }
  std::sort(live.begin(), live.end(),
            [](const Member& a, const Member& b) { return a.name < b.name; });
  return live;
}

}  // namespace keelbridge
