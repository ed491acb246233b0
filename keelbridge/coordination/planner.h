// Computes what confirming intents would do, by simulating a copy of the
// decision core.
//
//   Result<Plan> plan = MakePlan(intents, context, now);

#ifndef KEELBRIDGE_COORDINATION_PLANNER_H_
#define KEELBRIDGE_COORDINATION_PLANNER_H_

#include <functional>
#include <string>
#include <vector>

#include "keelbridge/base/clock.h"
#include "keelbridge/base/result.h"
#include "keelbridge/coordination/decider.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/state/zone_state.h"

namespace keelbridge {

struct PlanContext {
  std::string zone;
  const ZoneState& state;
  const Decider& decider;
  // Returns the task's human-readable name.
  std::function<std::string(TaskHandle)> name_of;
  std::string plan_id;
};

// Returns the plan, or an error that lists every reason why the intents cannot
// be carried out. A deadline that cannot be met is not an error: the plan lists
// it under `risks`, with the earliest time that can be met.
Result<Plan> MakePlan(std::vector<Intent> intents, const PlanContext& context,
                      Now now);

// Returns the decision core's specification of one task of `intent`.
TaskSpec MakeTaskSpec(const Intent& intent, int32_t group, int16_t team,
                      Now now);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_PLANNER_H_
