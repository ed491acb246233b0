// Mechanisms of the site's scheduler that can be switched off one by one, to
// measure what each is worth (scripts/ablation). In operation all are on.
//
//   SchedulerPolicy policy;
//   for (const PolicySwitch& one : PolicySwitches())
//     reader.OptionalBoolean(one.name, &(policy.*one.on));

#ifndef KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
#define KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_

#include <vector>

namespace keelbridge {

struct SchedulerPolicy {
  // An order without an answer is settled within milliseconds by further looks.
  bool settle_soon = true;
  // A call for advice names all workers whose naming costs little beside the
  // call itself.
  bool name_by_cost = true;
  // Blocked single tasks keep room from work that is ordered behind them, as
  // gangs do.
  bool hold_room = true;
  // Less urgent runs that save their progress yield to blocked steps.
  bool make_room = true;
};

struct PolicySwitch {
  const char* name;  // In settings.
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
