// Mechanisms of the site's scheduler that settings switch individually. Most
// are on unless `switched_off` names them, to measure the effect of each
// (scripts/ablation). Those for sites that are overloaded at times are off
// unless `switched_on` names them.
//
//   SchedulerPolicy policy;
//   for (const std::string& name : names) {  // Those in `switched_on`.
//     for (const PolicySwitch& policy_switch : PolicySwitches()) {
//       if (name == policy_switch.name) policy.*policy_switch.enabled = true;
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

  // A job is admitted by the work ahead of it and the rate at which the site
  // does such work, and a refused client is told when to return.
  bool admit_by_work = false;
  // Objectives and expected ends use durations learned from earlier runs.
  bool learn_durations = false;
  // Client accounts share the site by what they received lately, not only by
  // what they have running now.
  bool share_over_time = false;
  // Clients that are refused in an outage are told different times to return.
  bool spread_retries = false;
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
          {"await_ends", &SchedulerPolicy::await_pending_ends},
          {"admit_by_work", &SchedulerPolicy::admit_by_work},
          {"learn_durations", &SchedulerPolicy::learn_durations},
          {"share_over_time", &SchedulerPolicy::share_over_time},
          {"spread_retries", &SchedulerPolicy::spread_retries}};
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULER_POLICY_H_
