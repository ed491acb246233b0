#include "keelbridge/daemon/membership_messages.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

// Positions of the fields of a member, and of a list's state below. A list has
// many members, so they are arrays without names.
enum MemberField : Json::ArrayIndex {
  kName,
  kAddress,
  kZone,
  kStoreOk,
  kCapacity,
  kMemberFields
};
enum StateField : Json::ArrayIndex { kOwner, kVersion, kDigest, kStateFields };

Json::Value MemberToJson(const SiteMember& member) {
  Json::Value row(Json::arrayValue);
  row[kName] = member.name;
  row[kAddress] = member.address;
  row[kZone] = member.zone;
  row[kStoreOk] = member.store_ok;
  row[kCapacity] = member.capacity;
  return row;
}

Result<SiteMember> MemberFromJson(const Json::Value& row) {
  const bool readable = row.isArray() && row.size() == kMemberFields &&
                        row[kName].isString() && row[kAddress].isString() &&
                        row[kZone].isString() && row[kStoreOk].isBool() &&
                        row[kCapacity].isNumeric();
  if (!readable || row[kName].asString().empty())
    return MakeError(ErrorCode::kInvalid, "not a member");
  return SiteMember{row[kName].asString(), row[kAddress].asString(),
                    row[kZone].asString(), row[kStoreOk].asBool(),
                    row[kCapacity].asDouble()};
}

Json::Value StateToJson(const ListState& state) {
  Json::Value out(Json::arrayValue);
  out[kOwner] = Json::UInt64(state.owner);
  out[kVersion] = Json::Int64(state.version);
  out[kDigest] = Json::UInt64(state.digest);
  return out;
}

Result<ListState> StateFromJson(const Json::Value& in) {
  const bool readable = in.isArray() && in.size() == kStateFields &&
                        in[kOwner].isUInt64() && in[kVersion].isInt64() &&
                        in[kDigest].isUInt64();
  if (!readable) return MakeError(ErrorCode::kInvalid, "not a state of a list");
  return ListState{in[kOwner].asUInt64(), in[kVersion].asInt64(),
                   in[kDigest].asUInt64()};
}

Json::Value UpdateToJson(const MemberUpdate& update) {
  Json::Value out(Json::objectValue);
  out["whole_list"] = update.whole_list;
  out["base"] = StateToJson(update.base);
  out["state"] = StateToJson(update.state);
  out["changed"] = Json::Value(Json::arrayValue);
  for (const SiteMember& member : update.changed)
    out["changed"].append(MemberToJson(member));
  out["removed"] = Json::Value(Json::arrayValue);
  for (const std::string& name : update.removed) out["removed"].append(name);
  return out;
}

Result<MemberUpdate> UpdateFromJson(const Json::Value& in) {
  const bool readable = in.isObject() && in["whole_list"].isBool() &&
                        in["changed"].isArray() && in["removed"].isArray();
  if (!readable)
    return MakeError(ErrorCode::kInvalid, "not an update of a list");
  const size_t rows = in["changed"].size() + in["removed"].size();
  if (rows > MemberList::kMaxMembers)
    return MakeError(ErrorCode::kInvalid,
                     absl::StrCat("an update of ", rows, " members"));
  MemberUpdate update;
  update.whole_list = in["whole_list"].asBool();
  auto base = StateFromJson(in["base"]);
  if (!base) return base.error();
  update.base = base.value();
  auto state = StateFromJson(in["state"]);
  if (!state) return state.error();
  update.state = state.value();
  if (update.state.owner == 0)
    return MakeError(ErrorCode::kInvalid, "a list without an owner");
  for (const Json::Value& row : in["changed"]) {
    auto member = MemberFromJson(row);
    if (!member) return member.error();
    update.changed.push_back(std::move(member.value()));
  }
  for (const Json::Value& name : in["removed"]) {
    if (!name.isString()) return MakeError(ErrorCode::kInvalid, "not a name");
    update.removed.push_back(name.asString());
  }
  return update;
}

}  // namespace

Json::Value ToJson(const HeartbeatReport& report) {
  Json::Value out(Json::objectValue);
  out["sender"] = MemberToJson(report.sender);
  out["known_members"] = StateToJson(report.known_members);
  if (!report.subtree.empty()) out["subtree"] = UpdateToJson(report.subtree);
  return out;
}

Result<HeartbeatReport> HeartbeatReportFromJson(const Json::Value& in) {
  if (!in.isObject()) return MakeError(ErrorCode::kInvalid, "not a heartbeat");
  HeartbeatReport report;
  auto sender = MemberFromJson(in["sender"]);
  if (!sender) return sender.error();
  report.sender = std::move(sender.value());
  auto known = StateFromJson(in["known_members"]);
  if (!known) return known.error();
  report.known_members = known.value();
  if (!in.isMember("subtree")) return report;
  auto subtree = UpdateFromJson(in["subtree"]);
  if (!subtree) return subtree.error();
  report.subtree = std::move(subtree.value());
  return report;
}

Result<HeartbeatReport> EarlierHeartbeatFromJson(const Json::Value& in) {
  const bool readable = in.isObject() && in["node"].isString() &&
                        !in["node"].asString().empty() &&
                        in["address"].isString() && in["zone"].isString() &&
                        in["store_ok"].isBool() && in["capacity"].isNumeric();
  if (!readable) return MakeError(ErrorCode::kInvalid, "not a heartbeat");
  HeartbeatReport report;
  report.sender = {in["node"].asString(), in["address"].asString(),
                   in["zone"].asString(), in["store_ok"].asBool(),
                   in["capacity"].asDouble()};
  return report;
}

Json::Value ToJson(const HeartbeatReportAnswer& answer) {
  Json::Value out(Json::objectValue);
  out["known_subtree"] = StateToJson(answer.known_subtree);
  if (answer.members) out["members"] = UpdateToJson(*answer.members);
  if (answer.parent) out["parent"] = MemberToJson(*answer.parent);
  return out;
}

Result<HeartbeatReportAnswer> HeartbeatReportAnswerFromJson(
    const Json::Value& in) {
  if (!in.isObject()) return MakeError(ErrorCode::kInvalid, "not an answer");
  HeartbeatReportAnswer answer;
  auto known = StateFromJson(in["known_subtree"]);
  if (!known) return known.error();
  answer.known_subtree = known.value();
  if (in.isMember("members")) {
    auto members = UpdateFromJson(in["members"]);
    if (!members) return members.error();
    answer.members = std::move(members.value());
  }
  if (in.isMember("parent")) {
    auto parent = MemberFromJson(in["parent"]);
    if (!parent) return parent.error();
    answer.parent = std::move(parent.value());
  }
  return answer;
}

}  // namespace keelbridge
