#include "keelbridge/state/leader_append.h"

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr char kKey[] = "a/leader";

}  // namespace

bool IsLeaderAppendKey(const std::string& key) { return key == kKey; }

Record LeaderAppendRecord(const LeaderAppend& append) {
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::Int64(append.begun.epoch);
  value["at_ms"] = Json::Int64(CeilToMillis(append.begun.at));
  if (append.leases_over)
    value["leases_over_ms"] = Json::Int64(CeilToMillis(*append.leases_over));
  return Record{kKey, ToJsonText(value)};
}

std::optional<LeaderAppend> ParseLeaderAppend(const Record& record) {
  if (!IsLeaderAppendKey(record.key) || !record.value) return std::nullopt;
  const JsonDocument document = JsonDocument::Parse(*record.value, record.key);
  const Json::Value& value = document.root();
  const bool valid =
      document.faults().empty() && value.isObject() &&
      value["epoch"].isInt64() && value["at_ms"].isInt64() &&
      (!value.isMember("leases_over_ms") || value["leases_over_ms"].isInt64());
  if (!valid) return std::nullopt;
  LeaderAppend append;
  append.begun = {value["epoch"].asInt64(),
                  absl::FromUnixMillis(value["at_ms"].asInt64())};
  if (value.isMember("leases_over_ms"))
    append.leases_over =
        absl::FromUnixMillis(value["leases_over_ms"].asInt64());
  return append;
}

}  // namespace keelbridge
