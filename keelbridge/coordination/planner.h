// Computes what confirming intents would do, by running a copy of the decision
// core ahead of time.
//
//   Result<Plan> plan = MakePlan(intents, state, decider, now);

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
  // The task's name, for people.
  std::function<std::string(TaskId)> name_of;
  std::string plan_id;
};

// Refuses intents that cannot be carried out at all, with every reason at once.
// A deadline that cannot be kept is no refusal: the plan says so under `risks`,
// with the earliest time that can be kept.
Result<Plan> MakePlan(std::vector<Intent> intents, const PlanContext& context,
                      Now now);

// How the decision core sees one task of `intent`.
TaskSpec MakeTaskSpec(const Intent& intent, int32_t group, int16_t team,
                      Now now);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_PLANNER_H_
