// What operators ask for, and the plan that answers.
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

// Order matters: a lower value goes first.
enum class WorkClass { kUrgent, kInteractive, kStandard, kBulk };
constexpr int kWorkClasses = 4;

struct Intent {
  std::string id;
  IntentKind kind = IntentKind::kService;
  std::string zone;
  std::string team;
  WorkClass work_class = WorkClass::kStandard;
  int64_t tasks = 0;
  Resources resources;  // Of each task.
  absl::Duration
      task_duration;          // The estimate for one task; zero for a service.
  double estimate_error = 0;  // 0.5: a task may take half as long again.
  int64_t deadline_ms = 0;  // Wall clock; 0: none. Files give "deadline_in_ms",
                            // counted from the plan.
  absl::Duration deadline_in;  // As the file gave it.
  bool spread_racks = false;  // At most an even share of the tasks in any rack.
  bool exclusive = true;      // A task never runs on two hosts at once.
  bool repeatable = true;     // A task that may have run can be run again.
  bool checkpoints = false;   // A task can save its progress before it stops.
  std::string subject;  // Of a drain, cancel, resize or priority: the host,
                        // target or intent.
};

const char* IntentKindName(IntentKind kind);
const char* WorkClassName(WorkClass work_class);

// Every fault of `text` at once, or its intents: {"intents": [...]}.
Result<std::vector<Intent>> ParseIntents(const std::string& text,
                                         const std::string& source);

Json::Value ToJson(const Intent& intent);
Intent IntentFromJson(const Json::Value& in);

// One line of a plan: what happens to a group of tasks.
struct PlanStep {
  std::string what;  // "start", "wait", "yield", "move", "drain", "cancel",
                     // "resize" or "priority".
  std::string intent;
  std::string worker;  // Empty when no single worker is meant.
  int64_t tasks = 0;
  int64_t start_in_ms = 0;
  std::string detail;
};

// What confirming would do. Nothing has changed yet.
struct Plan {
  std::string id;
  std::string zone;
  int64_t base = -1;  // The offset of the zone's last confirmed plan when this
                      // one was computed.
  std::vector<Intent> intents;
  std::vector<PlanStep> steps;
  std::vector<std::string>
      risks;  // Promises that are at risk, and the earliest that can be kept.
  std::vector<std::string>
      rejected_alternatives;        // What else was weighed, and why it lost.
  std::vector<std::string> quotas;  // Teams' shares before and after.
};

Json::Value ToJson(const Plan& plan);
Plan PlanFromJson(const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_INTENT_H_
