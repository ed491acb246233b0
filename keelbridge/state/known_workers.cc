#include "keelbridge/state/known_workers.h"

#include <algorithm>
#include <initializer_list>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr char kPrefix[] = "w/";

// Whether each member that is present has the type that `KnownWorkerRecord`
// writes.
bool HasValidTypes(const Json::Value& value) {
  const auto all = [&value](std::initializer_list<const char*> keys,
                            bool (Json::Value::*is)() const) {
    return std::all_of(keys.begin(), keys.end(), [&](const char* key) {
      return !value.isMember(key) || (value[key].*is)();
    });
  };
  const Json::Value& labels = value["labels"];
  const bool texts =
      !value.isMember("labels") ||
      (labels.isArray() &&
       std::all_of(labels.begin(), labels.end(),
                   [](const Json::Value& label) { return label.isString(); }));
  return texts &&
         all({"epoch", "lease_over_ms", "lease_over_clock"},
             &Json::Value::isInt64) &&
         all({"closed", "keeps_placements", "restarted"},
             &Json::Value::isBool) &&
         all({"machine", "address", "zone", "pool", "rack"},
             &Json::Value::isString) &&
         all({"cpu_milli", "memory_mib", "accelerators"}, &Json::Value::isInt);
}

// Returns false if `texts` is not a list of task ids.
bool ReadLastTasks(const Json::Value& texts, std::vector<TaskId>* tasks) {
  if (!texts.isNull() && !texts.isArray()) return false;
  for (const Json::Value& text : texts) {
    TaskId task;
    if (!text.isString() || !ParseTaskId(text.asString(), &task)) return false;
    tasks->push_back(task);
  }
  return true;
}

// Reads a record that satisfies `HasValidTypes`.
bool ReadKnown(const Json::Value& value, KnownWorker* known) {
  if (value.isMember("epoch")) known->epoch = value["epoch"].asInt64();
  known->retired = value["closed"].asBool();
  known->persists_placements = value["keeps_placements"].asBool();
  known->restarted = value["restarted"].asBool();
  if (value.isMember("lease_over_ms"))
    known->lease_over =
        LeaderTime{value["lease_over_clock"].asInt64(),
                   absl::FromUnixMillis(value["lease_over_ms"].asInt64())};
  WorkerRecord& worker = known->worker;
  worker.machine = value["machine"].asString();
  worker.address = value["address"].asString();
  worker.zone = value["zone"].asString();
  worker.pool = value["pool"].asString();
  worker.rack = value["rack"].asString();
  for (const Json::Value& label : value["labels"])
    worker.labels.push_back(label.asString());
  worker.capacity = ResourcesFromJson(value);
  return ReadLastTasks(value["last_tasks"], &known->last_tasks);
}

}  // namespace

std::string KnownWorkerKey(const std::string& worker_id) {
  return absl::StrCat(kPrefix, worker_id);
}

bool IsKnownWorkerKey(const std::string& key) {
  return absl::StartsWith(key, kPrefix);
}

Record KnownWorkerRecord(const KnownWorker& known) {
  const WorkerRecord& worker = known.worker;
  Json::Value value = ToJson(worker.capacity);
  value["epoch"] = Json::Int64(known.epoch);
  if (known.retired) value["closed"] = true;
  if (known.persists_placements) value["keeps_placements"] = true;
  if (known.restarted) value["restarted"] = true;
  if (known.lease_over) {
    value["lease_over_clock"] = Json::Int64(known.lease_over->epoch);
    value["lease_over_ms"] = Json::Int64(CeilToMillis(known.lease_over->at));
  }
  for (const TaskId& task : known.last_tasks)
    value["last_tasks"].append(TaskIdText(task));
  value["machine"] = worker.machine;
  value["address"] = worker.address;
  value["zone"] = worker.zone;
  value["pool"] = worker.pool;
  value["rack"] = worker.rack;
  for (const std::string& label : worker.labels) value["labels"].append(label);
  return Record{KnownWorkerKey(worker.id), ToJsonText(value)};
}

std::optional<KnownWorker> ParseKnownWorker(const Record& record) {
  if (!IsKnownWorkerKey(record.key) || !record.value) return std::nullopt;
  KnownWorker known;
  known.worker.id = record.key.substr(sizeof(kPrefix) - 1);
  if (known.worker.id.empty()) return std::nullopt;
  const JsonDocument document = JsonDocument::Parse(*record.value, record.key);
  const bool read = document.faults().empty() &&
                    HasValidTypes(document.root()) &&
                    ReadKnown(document.root(), &known);
  if (read) return known;
  // The members that were read before the invalid one cannot be trusted either.
  KnownWorker unreadable;
  unreadable.worker.id = known.worker.id;
  unreadable.unreadable = true;
  return unreadable;
}

}  // namespace keelbridge
