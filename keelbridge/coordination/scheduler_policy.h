// Mechanisms of the site's scheduler that can be switched off individually, to
// measure the effect of each (scripts/ablation). All of them are on in
// production.
//
//   SchedulerPolicy policy;
//   std::vector<std::string> names;
//   if (reader.Has("switched_off")) reader.StringList("switched_off", &names);
//   for (const std::string& name : names) {
//     for (const PolicySwitch& policy_switch : PolicySwitches()) {
//       if (name == policy_switch.name) policy.*policy_switch.enabled = false;
//     }
//   }

#ifndef KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
#define KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_

#include <vector>

namespace keelbridge {

struct SchedulerPolicy {
  // Determines the outcome of an unanswered order within milliseconds by
  // further observations.
  bool resolve_unanswered_orders = true;
  // An advice call names all workers whose naming costs little compared with
  // the call itself.
  bool name_extra_workers = true;
  // Blocked single tasks, like gangs, reserve capacity ahead of work that is
  // ordered after them.
  bool reserve_for_single_tasks = true;
  // Less urgent runs that save their progress are preempted for blocked steps.
  bool preempt_runs = true;
  // While all capacity is in demand, tasks of accounts that hold more than
  // their share are placed after those of others with the same priority.
  bool share_by_weight = true;
  // A status call waits for the pending end of its job.
  bool await_pending_ends = true;
};

struct PolicySwitch {
  const char* name;  // Name in the settings.
  bool SchedulerPolicy::*enabled;
};

inline std::vector<PolicySwitch> PolicySwitches() {
  return {{"settle_soon", &SchedulerPolicy::resolve_unanswered_orders},
          {"name_by_cost", &SchedulerPolicy::name_extra_workers},
          {"hold_room", &SchedulerPolicy::reserve_for_single_tasks},
          {"make_room", &SchedulerPolicy::preempt_runs},
          {"share_by_weight", &SchedulerPolicy::share_by_weight},
          {"await_ends", &SchedulerPolicy::await_pending_ends}};
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
