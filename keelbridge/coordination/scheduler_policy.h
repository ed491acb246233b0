// Mechanisms of the site's scheduler that can be switched off individually, to
// measure the effect of each (scripts/ablation). All of them are on in
// production.
//
//   SchedulerPolicy policy;
//   for (const PolicySwitch& one : PolicySwitches())
//     reader.OptionalBoolean(one.name, &(policy.*one.on));

#ifndef KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
#define KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_

#include <vector>

namespace keelbridge {

struct SchedulerPolicy {
  // Determines the outcome of an unanswered order within milliseconds by
  // further observations.
  bool settle_soon = true;
  // An advice call names all workers whose naming costs little compared with
  // the call itself.
  bool name_by_cost = true;
  // Blocked single tasks, like gangs, reserve capacity ahead of work that is
  // ordered after them.
  bool hold_room = true;
  // Less urgent runs that save their progress are preempted for blocked steps.
  bool make_room = true;
};

struct PolicySwitch {
  const char* name;  // Name in the settings.
  bool SchedulerPolicy::*on;
};

inline std::vector<PolicySwitch> PolicySwitches() {
  return {{"settle_soon", &SchedulerPolicy::settle_soon},
          {"name_by_cost", &SchedulerPolicy::name_by_cost},
          {"hold_room", &SchedulerPolicy::hold_room},
          {"make_room", &SchedulerPolicy::make_room}};
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
