// The part of `ZoneScheduler` that serves operators: plans, confirmations and
// explanations.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "keelbridge/coordination/zone_scheduler.h"

namespace keelbridge {

std::string ZoneScheduler::DecisionText(TaskHandle id) const {
  const std::optional<Decision> decision = decider_->LastDecision(id);
  return decision ? decision->ToText(decider_->cell())
                  : "the record of this decision is no longer kept";
}

Result<Plan> ZoneScheduler::Propose(const std::vector<Intent>& intents,
                                    Now now) {
  if (!leading_ || !Ready(now)) {
    return MakeError(ErrorCode::kUnavailable,
                     "this scheduler does not lead its zone", absl::Seconds(1));
  }
  if (synced_plan_ != replica_.state().last_plan()) SyncWork(now);
  if (std::exchange(workers_changed_, false)) RefreshSchedulable();
  PlanContext context{options_.zone, replica_.state(), *decider_,
                      [this](TaskHandle id) {
                        const auto it = names_.find(id);
                        return it == names_.end() ? std::string("new")
                                                  : it->second;
                      },
                      absl::StrFormat("%s-%x-%d", options_.zone,
                                      options_.incarnation, ++plans_made_)};
  return MakePlan(intents, context, now);
}

Result<void> ZoneScheduler::Confirm(const Plan& plan, Now now) {
  if (!leading_ || !Ready(now)) {
    return MakeError(ErrorCode::kUnavailable,
                     "this scheduler does not lead its zone", absl::Seconds(1));
  }
  if (LogDown(now.mono)) {
    return MakeError(ErrorCode::kUnavailable,
                     "the log does not answer, so nothing can be promised; "
                     "nothing was confirmed",
                     absl::Seconds(5));
  }
  if (GetPlanOutcome(plan.id) == ZoneState::PlanOutcome::kConfirmed)
    return Success();
  if (plan.base != replica_.state().last_plan()) {
    return MakeError(ErrorCode::kStale,
                     "another plan was confirmed since this one was made; look "
                     "at the fresh plan");
  }
  if (!writer_.Add(PlanEntry{plan.id, plan.base, plan.intents})) {
    return MakeError(ErrorCode::kOverloaded, "too much waits for the log",
                     absl::Seconds(2));
  }
  return Success();
}

Result<std::string> ZoneScheduler::Explain(const std::string& task) const {
  const bool synced = synced_plan_ == replica_.state().last_plan();
  if (!leading_ || !synced) {
    return MakeError(ErrorCode::kUnavailable,
                     "this scheduler does not lead its zone, or only just does",
                     absl::Seconds(1));
  }
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) {
    return MakeError(
        ErrorCode::kNotFound,
        absl::StrCat("no task ", task,
                     " is known here: it ended, was never confirmed, "
                     "or another zone has it; a task is named INTENT/NUMBER"));
  }
  const TaskEntry& entry = it->second;
  switch (entry.stage) {
    case Stage::kUnobserved:
      return std::string(
          "not started by this leader: it may still run on a worker that has "
          "not answered since the leader "
          "changed; it starts when that worker answers or its leases have "
          "lapsed for certain");
    case Stage::kWaiting:
      return DecisionText(entry.id);
    case Stage::kClaiming:
      return absl::StrCat(DecisionText(entry.id),
                          "; it must not be repeated, and starts when the log "
                          "has taken that down");
    case Stage::kLeased: {
      const Lease* lease = lease_tracker_.Find(task);
      return lease == nullptr ? DecisionText(entry.id)
                              : absl::StrCat("running ", lease->decision);
    }
    case Stage::kEnding:
      return absl::StrCat("ended (", entry.outcome,
                          "); the log is about to take that down");
  }
  return std::string();
}

std::vector<std::string> ZoneScheduler::Watch(int64_t after,
                                              int64_t* next) const {
  const auto& decisions = decider_->decisions();
  const int64_t total = decider_->counts().decisions;
  const int64_t first = total - static_cast<int64_t>(decisions.size());
  std::vector<std::string> out;
  const int64_t from = after > total ? first : std::max(after, first);
  for (int64_t i = from; i < total; ++i) {
    const Decision& decision = decisions[static_cast<size_t>(i - first)];
    const auto name = names_.find(decision.task);
    out.push_back(absl::StrCat("#", i, " ",
                               name == names_.end() ? "(ended)" : name->second,
                               ": ", decision.ToText(decider_->cell())));
  }
  *next = total;
  return out;
}

}  // namespace keelbridge
