#include "keelbridge/protocol/job.h"

#include <algorithm>
#include <initializer_list>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace keelbridge {
namespace {

constexpr size_t kJobIdDigits = 16;

Result<void> CheckStep(const StepSpec& step, size_t number) {
  const auto fault = [&](const std::string& what) {
    return MakeError(ErrorCode::kInvalid,
                     absl::StrCat("step ", number, ": ", what));
  };
  if (step.count < 1 || step.count > kMaxTasksPerStep)
    return fault(absl::StrCat("count must be from 1 to ", kMaxTasksPerStep));
  if (step.requested.cpu_milli < 0 || step.requested.memory_mib < 0 ||
      step.requested.accelerators < 0)
    return fault("resources must not be negative");
  for (const int32_t dependency : step.after) {
    if (dependency < 0 || static_cast<size_t>(dependency) >= number)
      return fault("may only depend on earlier steps");
  }
  if (step.gang && step.long_running) return fault("a gang cannot last");
  return Success();
}

// Writes a member only if it differs from its default, to keep records small.
template <typename T>
void SetIfNotDefault(Json::Value& out, const char* key, const T& value) {
  if (value != T()) out[key] = value;
}

Json::Value StepToJson(const StepSpec& step) {
  Json::Value out(Json::objectValue);
  out["count"] = step.count;
  SetIfNotDefault(out, "cpu_milli", step.requested.cpu_milli);
  SetIfNotDefault(out, "memory_mib", step.requested.memory_mib);
  SetIfNotDefault(out, "accelerators", step.requested.accelerators);
  if (step.estimated_ms != 0)
    out["estimated_ms"] = Json::Int64(step.estimated_ms);
  for (const int32_t dependency : step.after) out["after"].append(dependency);
  SetIfNotDefault(out, "checkpoints", step.checkpoints);
  SetIfNotDefault(out, "gang", step.gang);
  SetIfNotDefault(out, "same_rack", step.same_rack);
  SetIfNotDefault(out, "duplicates", step.duplicates);
  SetIfNotDefault(out, "lasting", step.long_running);
  SetIfNotDefault(out, "fills", step.best_effort);
  SetIfNotDefault(out, "label", step.label);
  SetIfNotDefault(out, "rack", step.rack);
  SetIfNotDefault(out, "most_per_worker", step.max_per_worker);
  SetIfNotDefault(out, "may_miss", step.max_down_tasks);
  if (step.target_ms != 0) out["target_ms"] = Json::Int64(step.target_ms);
  SetIfNotDefault(out, "image", step.image);
  return out;
}

StepSpec StepFromJson(const Json::Value& in) {
  StepSpec step;
  step.count = in["count"].asInt();
  step.requested = ResourcesFromJson(in);
  step.estimated_ms = in["estimated_ms"].asInt64();
  for (const Json::Value& dependency : in["after"])
    step.after.push_back(dependency.asInt());
  step.checkpoints = in["checkpoints"].asBool();
  step.gang = in["gang"].asBool();
  step.same_rack = in["same_rack"].asBool();
  step.duplicates = in["duplicates"].asBool();
  step.long_running = in["lasting"].asBool();
  step.best_effort = in["fills"].asBool();
  step.label = in["label"].asString();
  step.rack = in["rack"].asString();
  step.max_per_worker = in["most_per_worker"].asInt();
  step.max_down_tasks = in["may_miss"].asInt();
  step.target_ms = in["target_ms"].asInt64();
  step.image = in["image"].asString();
  return step;
}

// Whether each member that is present has the type that `StepToJson` writes.
bool HasValidStepTypes(const Json::Value& step) {
  if (!step.isObject()) return false;
  const auto all = [&step](std::initializer_list<const char*> keys,
                           bool (Json::Value::*is)() const) {
    return std::all_of(keys.begin(), keys.end(), [&](const char* key) {
      return !step.isMember(key) || (step[key].*is)();
    });
  };
  const Json::Value& after = step["after"];
  const bool has_valid_dependencies =
      !step.isMember("after") ||
      (after.isArray() &&
       std::all_of(after.begin(), after.end(),
                   [](const Json::Value& number) { return number.isInt(); }));
  return has_valid_dependencies && step["count"].isInt() &&
         all({"cpu_milli", "memory_mib", "accelerators", "most_per_worker",
              "may_miss"},
             &Json::Value::isInt) &&
         all({"estimated_ms", "target_ms"}, &Json::Value::isInt64) &&
         all({"checkpoints", "gang", "same_rack", "duplicates", "lasting",
              "fills"},
             &Json::Value::isBool) &&
         all({"label", "rack", "image"}, &Json::Value::isString);
}

}  // namespace

std::string JobIdText(JobId id) { return absl::StrFormat("%016x", id); }

bool ParseJobId(const std::string& text, JobId* id) {
  if (text.size() != kJobIdDigits) return false;
  for (const char c : text) {
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(c))) return false;
  }
  return absl::SimpleHexAtoi(text, id);
}

std::string TaskIdText(const TaskId& id) {
  return absl::StrFormat("%016x.%d.%d.%d", id.job, id.round, id.step, id.index);
}

bool ParseTaskId(const std::string& text, TaskId* id) {
  const std::vector<std::string> parts = absl::StrSplit(text, '.');
  return parts.size() == 4 && ParseJobId(parts[0], &id->job) &&
         absl::SimpleAtoi(parts[1], &id->round) &&
         absl::SimpleAtoi(parts[2], &id->step) &&
         absl::SimpleAtoi(parts[3], &id->index);
}

Result<void> CheckJobSpec(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes)
    return MakeError(ErrorCode::kInvalid, "the payload is over 4000 bytes");
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps)
    return MakeError(ErrorCode::kInvalid,
                     absl::StrCat("a job has 1 to ", kMaxSteps, " steps"));
  if (spec.rounds < 0 || spec.rounds > kMaxRounds || spec.round_interval_ms < 0)
    return MakeError(ErrorCode::kInvalid, "rounds or their interval are wrong");
  for (size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto step = CheckStep(spec.steps[i], i); !step) return step.error();
  }
  return Success();
}

Json::Value ToJson(const JobSpec& spec) {
  Json::Value out(Json::objectValue);
  out["payload"] = spec.payload;
  out["steps"] = Json::Value(Json::arrayValue);
  for (const StepSpec& step : spec.steps) out["steps"].append(StepToJson(step));
  if (spec.rounds > 0) {
    out["rounds"] = spec.rounds;
    out["first_round_ms"] = Json::Int64(spec.first_round_ms);
    out["round_interval_ms"] = Json::Int64(spec.round_interval_ms);
  }
  return out;
}

bool ReadJobSpec(const Json::Value& json, JobSpec* spec) {
  const Json::Value& steps = json["steps"];
  const bool has_rounds = json.isMember("rounds");
  const bool has_valid_types =
      json["payload"].isString() && steps.isArray() &&
      std::all_of(steps.begin(), steps.end(), HasValidStepTypes) &&
      (!has_rounds ||
       (json["rounds"].isInt() && json["first_round_ms"].isInt64() &&
        json["round_interval_ms"].isInt64()));
  if (!has_valid_types) return false;
  *spec = JobSpecFromJson(json);
  return CheckJobSpec(*spec).has_value();
}

JobSpec JobSpecFromJson(const Json::Value& json) {
  JobSpec spec;
  spec.payload = json["payload"].asString();
  for (const Json::Value& step : json["steps"])
    spec.steps.push_back(StepFromJson(step));
  spec.rounds = json["rounds"].asInt();
  spec.first_round_ms = json["first_round_ms"].asInt64();
  spec.round_interval_ms = json["round_interval_ms"].asInt64();
  return spec;
}

}  // namespace keelbridge
