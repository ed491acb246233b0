#include "keelbridge/protocol/worker_messages.h"

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

Json::Int64 Millis(absl::Duration d) { return absl::ToInt64Milliseconds(d); }
absl::Duration FromMillis(const Json::Value& v) {
  return absl::Milliseconds(v.asInt64());
}

// Reads an enumerator. A value out of range yields `fallback`, which is always
// the harmless one.
template <typename E>
E EnumFrom(const Json::Value& in, E last, E fallback) {
  const int value = in.asInt();
  return value >= 0 && value <= static_cast<int>(last) ? static_cast<E>(value)
                                                       : fallback;
}

LeaseRow LeaseRowFromJson(const Json::Value& in) {
  LeaseRow row;
  row.task = in["task"].asString();
  row.attempt = in["attempt"].asInt64();
  row.resources = ResourcesFromJson(in["resources"]);
  row.state = EnumFrom(in["state"], LeaseState::kStopped, LeaseState::kRunning);
  row.progress_ms = in["progress_ms"].asInt64();
  row.started_ms = in["started_ms"].asInt64();
  row.decision = in["decision"].asString();
  return row;
}

// Writes the members that all commands have in common.
template <typename Command>
void WriteFence(const Command& command, Json::Value& out) {
  out["holder"] = command.holder;
  out["epoch"] = static_cast<Json::Int64>(command.epoch);
  out["not_after_ms"] = static_cast<Json::Int64>(command.not_after_ms);
}

template <typename Command>
void ReadFence(const Json::Value& in, Command& command) {
  command.holder = in["holder"].asString();
  command.epoch = in["epoch"].asInt64();
  command.not_after_ms = in["not_after_ms"].asInt64();
}

}  // namespace

const char* LeaseStateName(LeaseState state) {
  switch (state) {
    case LeaseState::kRunning:
      return "running";
    case LeaseState::kFinished:
      return "finished";
    case LeaseState::kFailed:
      return "failed";
    case LeaseState::kCheckpointed:
      return "checkpointed";
    case LeaseState::kStopped:
      return "stopped";
  }
  return "unknown";
}

uint64_t LeaseDigest(const std::vector<LeaseRow>& rows) {
  // A sum does not depend on the order of the rows. The digest of an empty
  // table is 1, so that 0 can mean that the rows are not known.
  uint64_t sum = 1;
  for (const LeaseRow& row : rows) {
    const std::string line = absl::StrCat(row.task, "|", row.attempt, "|",
                                          static_cast<int>(row.state));
    sum += XXH64(line.data(), line.size(), 0);
  }
  return sum;
}

Json::Value ToJson(const LeaseRow& row) {
  Json::Value out;
  out["task"] = row.task;
  out["attempt"] = static_cast<Json::Int64>(row.attempt);
  out["resources"] = ToJson(row.resources);
  out["state"] = static_cast<int>(row.state);
  out["progress_ms"] = static_cast<Json::Int64>(row.progress_ms);
  out["started_ms"] = static_cast<Json::Int64>(row.started_ms);
  out["decision"] = row.decision;
  return out;
}

Json::Value ToJson(const HoldRequest& request) {
  Json::Value out;
  WriteFence(request, out);
  out["mode"] = static_cast<int>(request.mode);
  out["hold_ttl_ms"] = Millis(request.hold_ttl);
  out["lease_ttl_ms"] = Millis(request.lease_ttl);
  out["known_digest"] = static_cast<Json::UInt64>(request.known_digest);
  for (const int64_t attempt : request.acknowledged)
    out["acknowledged"].append(static_cast<Json::Int64>(attempt));
  return out;
}

HoldRequest HoldRequestFromJson(const Json::Value& in) {
  HoldRequest request;
  ReadFence(in, request);
  request.mode = EnumFrom(in["mode"], HoldMode::kRelease, HoldMode::kQuery);
  request.hold_ttl = FromMillis(in["hold_ttl_ms"]);
  request.lease_ttl = FromMillis(in["lease_ttl_ms"]);
  request.known_digest = in["known_digest"].asUInt64();
  for (const Json::Value& attempt : in["acknowledged"])
    request.acknowledged.push_back(attempt.asInt64());
  return request;
}

Json::Value ToJson(const HoldReply& reply) {
  Json::Value out;
  out["granted"] = reply.granted;
  out["refusal"] = reply.refusal;
  out["holder"] = reply.holder;
  out["epoch"] = static_cast<Json::Int64>(reply.epoch);
  out["hold_left_ms"] = Millis(reply.hold_remaining);
  out["incarnation"] = static_cast<Json::UInt64>(reply.incarnation);
  out["up_ms"] = Millis(reply.uptime);
  out["digest"] = static_cast<Json::UInt64>(reply.digest);
  if (reply.has_rows) {
    out["rows"] = Json::Value(Json::arrayValue);
    for (const LeaseRow& row : reply.rows) out["rows"].append(ToJson(row));
  }
  return out;
}

HoldReply HoldReplyFromJson(const Json::Value& in) {
  HoldReply reply;
  reply.granted = in["granted"].asBool();
  reply.refusal = in["refusal"].asString();
  reply.holder = in["holder"].asString();
  reply.epoch = in["epoch"].asInt64();
  reply.hold_remaining = FromMillis(in["hold_left_ms"]);
  reply.incarnation = in["incarnation"].asUInt64();
  reply.uptime = FromMillis(in["up_ms"]);
  reply.digest = in["digest"].asUInt64();
  reply.has_rows = in.isMember("rows");
  for (const Json::Value& row : in["rows"])
    reply.rows.push_back(LeaseRowFromJson(row));
  return reply;
}

Json::Value ToJson(const StartRequest& request) {
  Json::Value out;
  WriteFence(request, out);
  out["lease_ttl_ms"] = Millis(request.lease_ttl);
  out["task"] = request.task;
  out["attempt"] = static_cast<Json::Int64>(request.attempt);
  out["resources"] = ToJson(request.resources);
  out["work_ms"] = Millis(request.work);
  out["progress_ms"] = static_cast<Json::Int64>(request.progress_ms);
  out["decision"] = request.decision;
  out["traceparent"] = request.traceparent;
  return out;
}

StartRequest StartRequestFromJson(const Json::Value& in) {
  StartRequest request;
  ReadFence(in, request);
  request.lease_ttl = FromMillis(in["lease_ttl_ms"]);
  request.task = in["task"].asString();
  request.attempt = in["attempt"].asInt64();
  request.resources = ResourcesFromJson(in["resources"]);
  request.work = FromMillis(in["work_ms"]);
  request.progress_ms = in["progress_ms"].asInt64();
  request.decision = in["decision"].asString();
  request.traceparent = in["traceparent"].asString();
  return request;
}

Json::Value ToJson(const StopRequest& request) {
  Json::Value out;
  WriteFence(request, out);
  out["task"] = request.task;
  out["attempt"] = static_cast<Json::Int64>(request.attempt);
  out["mode"] = static_cast<int>(request.mode);
  return out;
}

StopRequest StopRequestFromJson(const Json::Value& in) {
  StopRequest request;
  ReadFence(in, request);
  request.task = in["task"].asString();
  request.attempt = in["attempt"].asInt64();
  request.mode = EnumFrom(in["mode"], StopMode::kStop, StopMode::kThrottle);
  return request;
}

Json::Value ToJson(const CommandReply& reply) {
  Json::Value out;
  out["done"] = reply.done;
  out["ended"] = reply.ended;
  out["progress_ms"] = static_cast<Json::Int64>(reply.progress_ms);
  out["refusal"] = reply.refusal;
  return out;
}

CommandReply CommandReplyFromJson(const Json::Value& in) {
  return {in["done"].asBool(), in["ended"].asBool(),
          in["progress_ms"].asInt64(), in["refusal"].asString()};
}

}  // namespace keelbridge
