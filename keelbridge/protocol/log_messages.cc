#include "keelbridge/protocol/log_messages.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

Json::Int64 Int(int64_t v) { return static_cast<Json::Int64>(v); }

struct EntryToJson {
  Json::Value operator()(const LeaderEntry& e) const {
    Json::Value out;
    out["kind"] = "leader";
    out["epoch"] = Int(e.epoch);
    out["scheduler"] = e.scheduler;
    return out;
  }
  Json::Value operator()(const PlanEntry& e) const {
    Json::Value out;
    out["kind"] = "plan";
    out["plan"] = e.plan;
    out["base"] = Int(e.base);
    for (const Intent& intent : e.intents)
      out["intents"].append(ToJson(intent));
    return out;
  }
  Json::Value operator()(const TaskEndedEntry& e) const {
    Json::Value out;
    out["kind"] = "ended";
    out["epoch"] = Int(e.epoch);
    out["task"] = e.task;
    out["outcome"] = e.outcome;
    return out;
  }
  Json::Value operator()(const StartClaimEntry& e) const {
    return StartAttemptEntry("once_start", e.epoch, e.task, e.attempt);
  }
  Json::Value operator()(const StartReleaseEntry& e) const {
    return StartAttemptEntry("once_release", e.epoch, e.task, e.attempt);
  }
  Json::Value operator()(const SnapshotEntry& e) const {
    Json::Value out;
    out["kind"] = "snapshot";
    out["id"] = e.id;
    out["covers"] = Int(e.covers);
    out["index"] = Int(e.index);
    out["count"] = Int(e.count);
    out["checksum"] = static_cast<Json::UInt64>(e.checksum);
    out["text"] = e.text;
    return out;
  }
  Json::Value operator()(const ConfigurationEntry& e) const {
    Json::Value out;
    out["kind"] = "configuration";
    out["base"] = Int(e.base);
    out["version"] = Int(e.version);
    out["text"] = e.text;
    return out;
  }
  Json::Value operator()(const KeyClaimEntry& e) const {
    return KeyEntry("claim", e.key, e.gateway);
  }
  Json::Value operator()(const KeyReleaseEntry& e) const {
    return KeyEntry("release", e.key, e.gateway);
  }

 private:
  static Json::Value StartAttemptEntry(const char* kind, int64_t epoch,
                                       const std::string& task,
                                       int64_t attempt) {
    Json::Value out;
    out["kind"] = kind;
    out["epoch"] = Int(epoch);
    out["task"] = task;
    out["attempt"] = Int(attempt);
    return out;
  }
  static Json::Value KeyEntry(const char* kind, const std::string& key,
                              uint64_t gateway) {
    Json::Value out;
    out["kind"] = kind;
    out["key"] = key;
    out["gateway"] = static_cast<Json::UInt64>(gateway);
    return out;
  }
};

LogEntry EntryFromJson(const Json::Value& in) {
  const std::string kind = in["kind"].asString();
  if (kind == "leader")
    return LeaderEntry{in["epoch"].asInt64(), in["scheduler"].asString()};
  if (kind == "plan") {
    PlanEntry entry{in["plan"].asString(), in["base"].asInt64(), {}};
    for (const Json::Value& intent : in["intents"])
      entry.intents.push_back(IntentFromJson(intent));
    return entry;
  }
  if (kind == "ended")
    return TaskEndedEntry{in["epoch"].asInt64(), in["task"].asString(),
                          in["outcome"].asString()};
  if (kind == "once_start") {
    return StartClaimEntry{in["epoch"].asInt64(), in["task"].asString(),
                           in["attempt"].asInt64()};
  }
  if (kind == "once_release") {
    return StartReleaseEntry{in["epoch"].asInt64(), in["task"].asString(),
                             in["attempt"].asInt64()};
  }
  if (kind == "snapshot") {
    return SnapshotEntry{in["id"].asString(),       in["covers"].asInt64(),
                         in["index"].asInt64(),     in["count"].asInt64(),
                         in["checksum"].asUInt64(), in["text"].asString()};
  }
  if (kind == "configuration") {
    return ConfigurationEntry{in["base"].asInt64(), in["version"].asInt64(),
                              in["text"].asString()};
  }
  if (kind == "claim")
    return KeyClaimEntry{in["key"].asString(), in["gateway"].asUInt64()};
  if (kind == "release")
    return KeyReleaseEntry{in["key"].asString(), in["gateway"].asUInt64()};
  throw Json::RuntimeError("unknown kind of entry: " + kind);
}

}  // namespace

std::string EnvelopeToText(const Envelope& envelope) {
  Json::Value out;
  out["incarnation"] = static_cast<Json::UInt64>(envelope.id.incarnation);
  out["sequence"] = Int(envelope.id.sequence);
  out["entries"] = Json::Value(Json::arrayValue);
  for (const LogEntry& entry : envelope.entries)
    out["entries"].append(std::visit(EntryToJson(), entry));
  return ToJsonText(out);
}

Result<Envelope> EnvelopeFromText(const std::string& text) {
  const JsonDocument document = JsonDocument::Parse(text, "log record");
  if (!document.faults().empty()) return document.FaultError();
  try {
    Envelope out;
    out.id = {document.root()["incarnation"].asUInt64(),
              document.root()["sequence"].asInt64()};
    for (const Json::Value& entry : document.root()["entries"])
      out.entries.push_back(EntryFromJson(entry));
    return out;
  } catch (const Json::Exception& e) {
    return MakeError(ErrorCode::kInvalid,
                     absl::StrCat("log record: ", e.what()));
  }
}

Json::Value ToJson(const LogBatch& batch) {
  Json::Value out;
  out["first"] = Int(batch.first);
  out["next"] = Int(batch.next);
  out["records"] = Json::Value(Json::arrayValue);
  for (const LogRecord& record : batch.records) {
    Json::Value row;
    row["offset"] = Int(record.offset);
    row["text"] = record.text;
    out["records"].append(row);
  }
  return out;
}

LogBatch LogBatchFromJson(const Json::Value& in) {
  LogBatch batch;
  batch.first = in["first"].asInt64();
  batch.next = in["next"].asInt64();
  for (const Json::Value& row : in["records"]) {
    batch.records.push_back({row["offset"].asInt64(), row["text"].asString()});
  }
  return batch;
}

}  // namespace keelbridge
