#include "keelbridge/protocol/intent.h"

#include <algorithm>
#include <array>
#include <set>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr std::array<const char*, 7> kKindNames = {
    "service", "batch",  "drain_host", "drain_target",
    "cancel",  "resize", "priority"};
constexpr std::array<const char*, kWorkClasses> kClassNames = {
    "urgent", "interactive", "standard", "bulk"};
constexpr int64_t kMaxTasks = 1000000;
constexpr int64_t kMaxDurationMs = int64_t{366} * 24 * 3600 * 1000;
constexpr int kMilliPerCore = 1000;
constexpr int kMibPerGib = 1024;

template <size_t N>
std::vector<std::string> ToVector(const std::array<const char*, N>& names) {
  return {names.begin(), names.end()};
}

template <typename E, size_t N>
E EnumFromName(const std::array<const char*, N>& names, const std::string& name,
               E fallback) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? fallback : static_cast<E>(it - names.begin());
}

void ReadClass(JsonReader& reader, Intent& intent) {
  std::string name = "standard";
  reader.OneOf("class", ToVector(kClassNames), &name);
  intent.work_class = EnumFromName(kClassNames, name, WorkClass::kStandard);
}

void ReadWork(JsonReader& reader, Intent& intent) {
  double cores = 0;
  double memory_gib = 0;
  int64_t accelerators = 0;
  reader.String("team", &intent.team);
  ReadClass(reader, intent);
  reader.Integer("tasks", 1, kMaxTasks, &intent.tasks);
  reader.Number("cpu_cores", 0.001, 4096, &cores);
  reader.Number("memory_gib", 0.001, 65536, &memory_gib);
  reader.OptionalInteger("accelerators", 0, 1024, &accelerators);
  intent.resources = {static_cast<int32_t>(cores * kMilliPerCore),
                      static_cast<int32_t>(memory_gib * kMibPerGib),
                      static_cast<int32_t>(accelerators)};
  reader.OptionalBool("spread_racks", &intent.spread_racks);
  reader.OptionalBool("exclusive", &intent.exclusive);
  reader.OptionalBool("repeatable", &intent.repeatable);
  reader.OptionalBool("checkpoints", &intent.checkpoints);
  if (intent.kind != IntentKind::kBatch) return;
  int64_t duration_ms = 0;
  reader.Integer("task_duration_ms", 1, kMaxDurationMs, &duration_ms);
  intent.task_duration = absl::Milliseconds(duration_ms);
  reader.OptionalNumber("estimate_error", 0, 10, &intent.estimate_error);
  reader.OptionalMillis("deadline_in_ms", 1, kMaxDurationMs,
                        &intent.deadline_in);
}

Intent ReadIntent(JsonReader& reader) {
  Intent intent;
  std::string kind;
  reader.String("id", &intent.id);
  if (intent.id.find('/') != std::string::npos)
    reader.ReportFault("id", "must not hold '/', which separates task numbers");
  reader.OneOf("kind", ToVector(kKindNames), &kind);
  intent.kind = EnumFromName(kKindNames, kind, IntentKind::kService);
  reader.String("zone", &intent.zone);
  switch (intent.kind) {
    case IntentKind::kService:
    case IntentKind::kBatch:
      ReadWork(reader, intent);
      break;
    case IntentKind::kResize:
      reader.String("subject", &intent.subject);
      reader.Integer("tasks", 0, kMaxTasks, &intent.tasks);
      break;
    case IntentKind::kPriority:
      reader.String("subject", &intent.subject);
      ReadClass(reader, intent);
      break;
    case IntentKind::kDrainHost:
    case IntentKind::kDrainTarget:
    case IntentKind::kCancel:
      reader.String("subject", &intent.subject);
      break;
  }
  return intent;
}

template <typename T, typename Convert>
Json::Value ListToJson(const std::vector<T>& items, Convert convert) {
  Json::Value out(Json::arrayValue);
  for (const T& item : items) out.append(convert(item));
  return out;
}

std::vector<std::string> TextsFromJson(const Json::Value& in) {
  std::vector<std::string> out;
  for (const Json::Value& item : in) out.push_back(item.asString());
  return out;
}

}  // namespace

const char* IntentKindName(IntentKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}
const char* WorkClassName(WorkClass work_class) {
  return kClassNames[static_cast<size_t>(work_class)];
}

Result<std::vector<Intent>> ParseIntents(const std::string& text,
                                         const std::string& source) {
  JsonDocument document = JsonDocument::Parse(text, source);
  if (!document.faults().empty()) return document.FaultError();
  std::vector<Intent> out;
  std::set<std::string> ids;
  JsonReader reader(document, document.root(), "");
  reader.ObjectList("intents", [&](JsonReader& r) {
    out.push_back(ReadIntent(r));
    if (!ids.insert(out.back().id).second)
      r.ReportFault("id", "must be unique in its file");
  });
  reader.Finish();
  if (!document.faults().empty()) return document.FaultError();
  return out;
}

Json::Value ToJson(const Intent& intent) {
  Json::Value out;
  out["id"] = intent.id;
  out["kind"] = static_cast<int>(intent.kind);
  out["zone"] = intent.zone;
  out["team"] = intent.team;
  out["class"] = static_cast<int>(intent.work_class);
  out["tasks"] = static_cast<Json::Int64>(intent.tasks);
  out["resources"] = ToJson(intent.resources);
  out["task_duration_ms"] =
      static_cast<Json::Int64>(absl::ToInt64Milliseconds(intent.task_duration));
  out["estimate_error"] = intent.estimate_error;
  out["deadline_ms"] = static_cast<Json::Int64>(intent.deadline_ms);
  out["deadline_in_ms"] =
      static_cast<Json::Int64>(absl::ToInt64Milliseconds(intent.deadline_in));
  out["spread_racks"] = intent.spread_racks;
  out["exclusive"] = intent.exclusive;
  out["repeatable"] = intent.repeatable;
  out["checkpoints"] = intent.checkpoints;
  out["subject"] = intent.subject;
  return out;
}

Intent IntentFromJson(const Json::Value& in) {
  Intent intent;
  intent.id = in["id"].asString();
  intent.kind = static_cast<IntentKind>(std::clamp(
      in["kind"].asInt(), 0, static_cast<int>(kKindNames.size()) - 1));
  intent.zone = in["zone"].asString();
  intent.team = in["team"].asString();
  intent.work_class = static_cast<WorkClass>(
      std::clamp(in["class"].asInt(), 0, kWorkClasses - 1));
  intent.tasks = in["tasks"].asInt64();
  intent.resources = ResourcesFromJson(in["resources"]);
  intent.task_duration = absl::Milliseconds(in["task_duration_ms"].asInt64());
  intent.estimate_error = in["estimate_error"].asDouble();
  intent.deadline_ms = in["deadline_ms"].asInt64();
  intent.deadline_in = absl::Milliseconds(in["deadline_in_ms"].asInt64());
  intent.spread_racks = in["spread_racks"].asBool();
  intent.exclusive = in["exclusive"].asBool();
  intent.repeatable = in["repeatable"].asBool();
  intent.checkpoints = in["checkpoints"].asBool();
  intent.subject = in["subject"].asString();
  return intent;
}

Json::Value ToJson(const Plan& plan) {
  Json::Value out;
  out["id"] = plan.id;
  out["zone"] = plan.zone;
  out["base"] = static_cast<Json::Int64>(plan.base);
  out["intents"] = ListToJson(
      plan.intents, [](const Intent& intent) { return ToJson(intent); });
  out["steps"] = ListToJson(plan.steps, [](const PlanStep& step) {
    Json::Value row;
    row["what"] = step.action;
    row["intent"] = step.intent;
    row["worker"] = step.worker;
    row["tasks"] = static_cast<Json::Int64>(step.tasks);
    row["start_in_ms"] = static_cast<Json::Int64>(step.start_in_ms);
    row["detail"] = step.detail;
    return row;
  });
  const auto text = [](const std::string& line) { return Json::Value(line); };
  out["risks"] = ListToJson(plan.risks, text);
  out["weighed"] = ListToJson(plan.rejected_alternatives, text);
  out["quotas"] = ListToJson(plan.quotas, text);
  return out;
}

Plan PlanFromJson(const Json::Value& in) {
  Plan plan;
  plan.id = in["id"].asString();
  plan.zone = in["zone"].asString();
  plan.base = in["base"].asInt64();
  for (const Json::Value& intent : in["intents"])
    plan.intents.push_back(IntentFromJson(intent));
  for (const Json::Value& row : in["steps"]) {
    plan.steps.push_back({row["what"].asString(), row["intent"].asString(),
                          row["worker"].asString(), row["tasks"].asInt64(),
                          row["start_in_ms"].asInt64(),
                          row["detail"].asString()});
  }
  plan.risks = TextsFromJson(in["risks"]);
  plan.rejected_alternatives = TextsFromJson(in["weighed"]);
  plan.quotas = TextsFromJson(in["quotas"]);
  return plan;
}

}  // namespace keelbridge
