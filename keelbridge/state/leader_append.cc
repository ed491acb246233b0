#include "keelbridge/state/leader_append.h"

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr char kKey[] = "a/leader";

}  // namespace

bool IsLeaderAppendKey(const std::string& key) { return key == kKey; }

Record LeaderAppendRecord(const LeaderTime& appended) {
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::Int64(appended.epoch);
  value["at_ms"] = Json::Int64(CeilToMillis(appended.at));
  return Record{kKey, ToJsonText(value)};
}

std::optional<LeaderTime> ParseLeaderAppend(const Record& record) {
  if (!IsLeaderAppendKey(record.key) || !record.value) return std::nullopt;
  const JsonDocument document = JsonDocument::Parse(*record.value, record.key);
  const Json::Value& value = document.root();
  const bool valid = document.faults().empty() && value.isObject() &&
                     value["epoch"].isInt64() && value["at_ms"].isInt64();
  if (!valid) return std::nullopt;
  return LeaderTime{value["epoch"].asInt64(),
                    absl::FromUnixMillis(value["at_ms"].asInt64())};
}

}  // namespace keelbridge
