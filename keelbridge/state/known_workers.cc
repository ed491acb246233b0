#include "keelbridge/state/known_workers.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr char kPrefix[] = "w/";

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
  if (known.closed) value["closed"] = true;
  if (known.keeps_placements) value["keeps_placements"] = true;
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

std::optional<KnownWorker> KnownWorkerFrom(const Record& record) {
  if (!IsKnownWorkerKey(record.key) || !record.value) return std::nullopt;
  const JsonDocument document = JsonDocument::Parse(*record.value, record.key);
  if (!document.faults().empty()) return std::nullopt;
  const Json::Value& value = document.root();
  KnownWorker known;
  if (value.isMember("epoch")) known.epoch = value["epoch"].asInt64();
  known.closed = value["closed"].asBool();
  known.keeps_placements = value["keeps_placements"].asBool();
  for (const Json::Value& text : value["last_tasks"]) {
    TaskId task;
    if (!ParseTaskId(text.asString(), &task)) return std::nullopt;
    known.last_tasks.push_back(task);
  }
  WorkerRecord& worker = known.worker;
  worker.id = record.key.substr(sizeof(kPrefix) - 1);
  worker.machine = value["machine"].asString();
  worker.address = value["address"].asString();
  worker.zone = value["zone"].asString();
  worker.pool = value["pool"].asString();
  worker.rack = value["rack"].asString();
  for (const Json::Value& label : value["labels"])
    worker.labels.push_back(label.asString());
  worker.capacity = ResourcesFromJson(value);
  return known;
}

}  // namespace keelbridge
