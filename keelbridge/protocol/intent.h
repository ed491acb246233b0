// The intents of operators, and the plan that is computed from them.
//
//   Result<std::vector<Intent>> intents = ParseIntents(text, "tonight.json");

#ifndef KEELBRIDGE_PROTOCOL_INTENT_H_
#define KEELBRIDGE_PROTOCOL_INTENT_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

enum class IntentKind {
  kService,
  kBatch,
  kDrainHost,
  kDrainTarget,
  kCancel,
  kResize,
  kPriority
};

// A lower value has a higher priority.
enum class WorkClass { kUrgent, kInteractive, kStandard, kBulk };
constexpr int kWorkClasses = 4;

struct Intent {
  std::string id;
  IntentKind kind = IntentKind::kService;
  std::string zone;
  std::string team;
  WorkClass work_class = WorkClass::kStandard;
  int64_t tasks = 0;
  Resources resources;           // Of each task.
  absl::Duration task_duration;  // Estimate for one task; 0 for a service.
  double estimate_error = 0;     // 0.5: a task may take 50% longer.
  // Wall clock; 0 if there is no deadline. Files specify "deadline_in_ms",
  // which is relative to the time of the plan.
  int64_t deadline_ms = 0;
  absl::Duration deadline_in;  // As specified in the file.
  bool spread_racks = false;   // No rack gets more than an even share of tasks.
  bool exclusive = true;       // A task never runs on two hosts at once.
  bool repeatable = true;      // A task that may have run may be run again.
  bool checkpoints = false;    // A task can save its progress before it stops.
  // For a drain, cancel, resize or priority: the host, target or intent that it
  // applies to.
  std::string subject;
};

const char* IntentKindName(IntentKind kind);
const char* WorkClassName(WorkClass work_class);

// Returns the intents in `text`, {"intents": [...]}, or an error that lists
// every fault of `text`.
Result<std::vector<Intent>> ParseIntents(const std::string& text,
                                         const std::string& source);

Json::Value ToJson(const Intent& intent);
Intent IntentFromJson(const Json::Value& in);

// One step of a plan: what happens to a group of tasks.
struct PlanStep {
  std::string action;  // "start", "wait", "yield", "move", "drain", "cancel",
                       // "resize" or "priority".
  std::string intent;
  std::string worker;  // Empty if the step has no single worker.
  int64_t tasks = 0;
  int64_t start_in_ms = 0;
  std::string detail;
};

// The effects that confirming the intents would have. Computing a plan changes
// nothing.
struct Plan {
  std::string id;
  std::string zone;
  // Offset of the zone's latest confirmed plan when this plan was computed.
  int64_t base = -1;
  std::vector<Intent> intents;
  std::vector<PlanStep> steps;
  // Deadlines at risk, each with the earliest time that can be met.
  std::vector<std::string> risks;
  // Alternatives that were considered, and why they were rejected.
  std::vector<std::string> rejected_alternatives;
  std::vector<std::string> quotas;  // The teams' shares before and after.
};

Json::Value ToJson(const Plan& plan);
Plan PlanFromJson(const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_INTENT_H_
