#include "keelbridge/coordination/planner.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace keelbridge {
namespace {

// The forecast stops after this many starts and ends. Later starts are reported
// as beyond the forecast.
constexpr int kMaxForecastEvents = 60000;
constexpr int kDecideBudget = 4000;
constexpr int kMaxWorkersShown = 4;
constexpr int32_t kFirstForecastGroup = 1 << 30;
// Time that a preempted task takes to stop in the forecast.
constexpr absl::Duration kForecastStopTime = absl::Seconds(1);

int64_t MonoMillis(Now now) { return ToMillis(now.mono); }

bool IsWork(const Intent& intent) {
  return intent.kind == IntentKind::kService ||
         intent.kind == IntentKind::kBatch;
}

// Checks one intent against the state of the zone and appends every error to
// `faults`.
void CheckIntent(const Intent& intent, const PlanContext& context,
                 std::vector<std::string>& faults) {
  const auto fault = [&](const std::string& what) {
    faults.push_back(absl::StrCat("intent ", intent.id, ": ", what));
  };
  const Decider& decider = context.decider;
  if (intent.zone != context.zone) {
    fault(absl::StrCat("zone is ", intent.zone, ", but this scheduler serves ",
                       context.zone, "; send it to a scheduler of that zone"));
  }
  if (IsWork(intent)) {
    if (context.state.work().count(intent.id) > 0)
      fault("the id is in use; choose another, or resize that intent");
    if (decider.FindTeam(intent.team) < 0)
      fault(absl::StrCat("team ", intent.team, " is not in the configuration"));
    const auto workers = static_cast<WorkerId>(decider.cell().size());
    bool fits = false;
    for (WorkerId w = 0; w < workers && !fits; ++w)
      fits = intent.resources.FitsIn(decider.cell().Total(w));
    if (!fits)
      fault(
          "no worker of the zone is large enough for one task, even when "
          "empty");
    return;
  }
  if (intent.kind == IntentKind::kDrainHost &&
      decider.cell().Find(intent.subject) == kNoWorker) {
    fault(absl::StrCat("worker ", intent.subject,
                       " is not in the configuration of this zone"));
  }
  const bool names_work = intent.kind == IntentKind::kResize ||
                          intent.kind == IntentKind::kPriority;
  const bool known = context.state.work().count(intent.subject) > 0;
  const bool drained =
      context.state.drained_hosts().count(intent.subject) > 0 ||
      context.state.drained_targets().count(intent.subject) > 0;
  if (names_work && !known)
    fault(absl::StrCat("there is no intent ", intent.subject));
  if (intent.kind == IntentKind::kCancel && !known && !drained) {
    fault(absl::StrCat("there is no intent and no drain of ", intent.subject));
  }
}

// Forecast for one intent.
struct ForecastSummary {
  int64_t started = 0;
  int64_t started_at_once = 0;
  int64_t last_end_ms = 0;
  int64_t last_start_ms = 0;
  std::map<std::string, int64_t> workers;
};

// Simulates a copy of the decision core on a virtual clock.
class Forecast {
 public:
  Forecast(const Decider& decider, Now now)
      : decider_(decider), start_ms_(MonoMillis(now)), now_ms_(start_ms_) {
    for (WorkerId w = 0; w < static_cast<WorkerId>(decider_.cell().size());
         ++w) {
      for (const TaskHandle id : decider_.TasksOn(w)) ScheduleEnd(id);
    }
  }

  void Submit(const Intent& intent, int32_t group, Now now) {
    const int16_t team = decider_.FindTeam(intent.team);
    for (int64_t i = 0; i < intent.tasks; ++i)
      submitted_[decider_.Submit(MakeTaskSpec(intent, group, team, now),
                                 now_ms_)] = group;
  }

  void Drain(const std::string& worker) {
    const WorkerId id = decider_.cell().Find(worker);
    if (id == kNoWorker) return;
    decider_.SetSchedulable(id, false);
    drained_ += static_cast<int64_t>(decider_.TasksOn(id).size());
    const std::vector<TaskHandle> tasks = decider_.TasksOn(id);
    for (const TaskHandle task : tasks)
      decider_.OnStopped(task, decider_.task(task).saved_progress_ms, now_ms_);
  }

  void Run() {
    int events = 0;
    while (events < kMaxForecastEvents) {
      for (const Order& order : decider_.Decide(now_ms_, kDecideBudget)) {
        ++events;
        ApplyOrder(order);
      }
      const bool more = !ends_.empty() && WaitingSubmitted() > 0;
      if (!more) break;
      now_ms_ = std::max(now_ms_, ends_.top().first);
      while (!ends_.empty() && ends_.top().first <= now_ms_) {
        const TaskHandle id = ends_.top().second;
        ends_.pop();
        ++events;
        EndTask(id);
      }
    }
  }

  const Decider& decider() const { return decider_; }
  ForecastSummary& summary(int32_t group) { return summaries_[group]; }
  int64_t WaitingSubmitted() const {
    int64_t waiting = static_cast<int64_t>(submitted_.size());
    for (const auto& [group, summary] : summaries_) waiting -= summary.started;
    return waiting;
  }
  int64_t drained() const { return drained_; }
  const std::vector<TaskHandle>& preempted() const { return preempted_; }
  double preemption_cost_s() const {
    return decider_.counts().preemption_cost_s;
  }

 private:
  using EndEvent = std::pair<int64_t, TaskHandle>;

  void ScheduleEnd(TaskHandle id) {
    const TaskRow& row = decider_.task(id);
    if (row.state == TaskState::kBeingPreempted) {
      ends_.emplace(now_ms_ + absl::ToInt64Milliseconds(kForecastStopTime), id);
    } else if (!row.service && row.state == TaskState::kPlaced) {
      ends_.emplace(std::max(now_ms_ + 1, row.started_ms + row.duration_ms),
                    id);
    }
  }

  void ApplyOrder(const Order& order) {
    if (order.kind == Order::Kind::kPreempt) {
      preempted_.push_back(order.task);
      ScheduleEnd(order.task);
      return;
    }
    ScheduleEnd(order.task);
    const auto it = submitted_.find(order.task);
    if (it == submitted_.end()) return;
    ForecastSummary& summary = summaries_[it->second];
    ++summary.started;
    if (now_ms_ <= start_ms_ + absl::ToInt64Milliseconds(kForecastStopTime))
      ++summary.started_at_once;
    summary.last_start_ms = now_ms_ - start_ms_;
    summary.last_end_ms = std::max(
        summary.last_end_ms,
        now_ms_ - start_ms_ + decider_.task(order.task).max_duration_ms);
    ++summary.workers[decider_.cell().Name(order.worker)];
  }

  void EndTask(TaskHandle id) {
    const TaskRow& row = decider_.task(id);
    if (row.state == TaskState::kBeingPreempted) {
      decider_.OnStopped(
          id,
          row.checkpoints ? row.saved_progress_ms + (now_ms_ - row.started_ms)
                          : row.saved_progress_ms,
          now_ms_);
    } else if (row.state == TaskState::kPlaced &&
               row.started_ms + row.duration_ms <= now_ms_) {
      decider_.OnEnded(id, now_ms_);
    }
  }

  Decider decider_;
  const int64_t start_ms_;
  int64_t now_ms_;
  std::map<TaskHandle, int32_t> submitted_;
  std::map<int32_t, ForecastSummary> summaries_;
  std::priority_queue<EndEvent, std::vector<EndEvent>, std::greater<>> ends_;
  std::vector<TaskHandle> preempted_;
  int64_t drained_ = 0;
};

std::string Seconds(int64_t ms) {
  return absl::FormatDuration(absl::Seconds((ms + 999) / 1000));
}

std::string WorkersText(const ForecastSummary& summary) {
  std::vector<std::pair<std::string, int64_t>> workers(summary.workers.begin(),
                                                       summary.workers.end());
  std::sort(workers.begin(), workers.end(),
            [](const auto& a, const auto& b) { return a.second > b.second; });
  std::vector<std::string> parts;
  for (size_t i = 0; i < workers.size() && i < kMaxWorkersShown; ++i) {
    parts.push_back(absl::StrCat(workers[i].first, " ", workers[i].second));
  }
  if (workers.size() > kMaxWorkersShown) {
    parts.push_back(
        absl::StrCat(workers.size() - kMaxWorkersShown, " workers more"));
  }
  return absl::StrJoin(parts, ", ");
}

void DescribeWork(const Intent& intent, ForecastSummary& summary, Now now,
                  Plan& plan) {
  if (summary.started_at_once > 0) {
    plan.steps.push_back({"start", intent.id, "", summary.started_at_once, 0,
                          "on " + WorkersText(summary)});
  }
  const int64_t later = summary.started - summary.started_at_once;
  if (later > 0) {
    plan.steps.push_back({"wait", intent.id, "", later, summary.last_start_ms,
                          absl::StrCat("the last of them starts in about ",
                                       Seconds(summary.last_start_ms))});
  }
  const int64_t unplaced = intent.tasks - summary.started;
  if (unplaced > 0) {
    plan.risks.push_back(
        absl::StrCat(intent.id, ": ", unplaced,
                     " tasks find no room within the forecast; add workers, or "
                     "cancel other work"));
  }
  if (intent.deadline_ms == 0 || intent.kind != IntentKind::kBatch) return;
  const int64_t deadline_in = intent.deadline_ms - ToMillis(now.wall);
  if (unplaced == 0 && summary.last_end_ms <= deadline_in) return;
  const std::string earliest = unplaced > 0
                                   ? "none within the forecast"
                                   : Seconds(summary.last_end_ms) + " from now";
  plan.risks.push_back(
      absl::StrCat(intent.id, ": the deadline in ", Seconds(deadline_in),
                   " cannot be kept; the earliest that can: ", earliest));
}

void DescribePreemptions(const Forecast& forecast, const PlanContext& context,
                         Plan& plan) {
  std::map<std::string, int64_t> by_intent;
  for (const TaskHandle id : forecast.preempted()) {
    const std::string name = context.name_of(id);
    ++by_intent[name.substr(0, name.rfind('/'))];
  }
  for (const auto& [intent, tasks] : by_intent) {
    plan.steps.push_back({"yield", intent, "", tasks, 0,
                          "makes room and waits for its turn again"});
  }
  if (!by_intent.empty()) {
    plan.rejected_alternatives.push_back(
        absl::StrFormat("yields lose about %.0f s of work; waiting for room in "
                        "place of them was weighed "
                        "and ruled out by the class of the new work",
                        forecast.preemption_cost_s()));
  }
}

void DescribeQuotas(const Decider& before, const Decider& after, Plan& plan) {
  const auto teams = static_cast<int16_t>(before.Teams());
  for (int16_t team = 0; team < teams; ++team) {
    const double from = before.ShareOf(team);
    const double to = after.ShareOf(team);
    if (from == to) continue;
    plan.quotas.push_back(
        absl::StrFormat("%s: %.1f%% -> %.1f%% of the zone at the end of the "
                        "forecast (quota %.1f%%)",
                        before.TeamName(team), 100 * from, 100 * to,
                        100 * before.QuotaOf(team)));
  }
}

// Describes an intent that changes existing work. Such an intent needs no
// simulation.
void DescribeChange(const Intent& intent, Plan& plan) {
  const std::string kind = IntentKindName(intent.kind);
  std::string detail = kind + " " + intent.subject;
  if (intent.kind == IntentKind::kResize)
    absl::StrAppend(&detail, " to ", intent.tasks, " tasks");
  if (intent.kind == IntentKind::kPriority)
    absl::StrAppend(&detail, " to ", WorkClassName(intent.work_class));
  plan.steps.push_back({kind, intent.id, "", 0, 0, detail});
}

}  // namespace

TaskSpec MakeTaskSpec(const Intent& intent, int32_t group, int16_t team,
                      Now now) {
  TaskSpec spec;
  spec.need = intent.resources;
  spec.group = group;
  spec.team = team;
  spec.work_class = intent.work_class;
  spec.checkpoints = intent.checkpoints;
  spec.spread = intent.spread_racks;
  spec.non_preemptible = !intent.repeatable && !intent.checkpoints;
  spec.duration_ms = absl::ToInt64Milliseconds(intent.task_duration);
  spec.estimate_error = intent.estimate_error;
  if (intent.deadline_ms != 0)
    spec.deadline_ms =
        MonoMillis(now) + intent.deadline_ms - ToMillis(now.wall);
  return spec;
}

Result<Plan> MakePlan(std::vector<Intent> intents, const PlanContext& context,
                      Now now) {
  std::vector<std::string> faults;
  std::set<std::string> ids;
  for (Intent& intent : intents) {
    CheckIntent(intent, context, faults);
    if (!ids.insert(intent.id).second)
      faults.push_back(
          absl::StrCat("intent ", intent.id, ": the id stands twice"));
    if (intent.deadline_ms == 0 && intent.deadline_in > absl::ZeroDuration()) {
      intent.deadline_ms = ToMillis(now.wall + intent.deadline_in);
    }
  }
  if (!faults.empty())
    return MakeError(ErrorCode::kInvalid, absl::StrJoin(faults, "\n"));

  Plan plan;
  plan.id = context.plan_id;
  plan.zone = context.zone;
  plan.base = context.state.last_plan();
  Forecast forecast(context.decider, now);
  for (const Intent& intent : intents) {
    if (intent.kind == IntentKind::kDrainHost) forecast.Drain(intent.subject);
  }
  for (size_t i = 0; i < intents.size(); ++i) {
    if (IsWork(intents[i]))
      forecast.Submit(intents[i], kFirstForecastGroup + static_cast<int32_t>(i),
                      now);
  }
  forecast.Run();
  for (size_t i = 0; i < intents.size(); ++i) {
    if (IsWork(intents[i])) {
      DescribeWork(
          intents[i],
          forecast.summary(kFirstForecastGroup + static_cast<int32_t>(i)), now,
          plan);
    } else {
      DescribeChange(intents[i], plan);
    }
  }
  if (forecast.drained() > 0) {
    plan.steps.push_back(
        {"move", "", "", forecast.drained(), 0,
         "tasks of drained hosts stop there and start elsewhere"});
  }
  DescribePreemptions(forecast, context, plan);
  DescribeQuotas(context.decider, forecast.decider(), plan);
  plan.intents = std::move(intents);
  return plan;
}

}  // namespace keelbridge
