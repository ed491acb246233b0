#include "testing/workload/workload_run.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>

#include "absl/strings/str_cat.h"
#include "testing/workload/naive_decider.h"

namespace keelbridge::testing {
namespace {

// Time from a stop order to the end of the run, without a checkpoint and with
// one.
constexpr int64_t kStopDelayMs = 100;
constexpr int64_t kCheckpointDelayMs = 1000;
constexpr int kDecisionBudget = 100000;
constexpr double kMsPerHour = 3600 * 1000.0;

// Records the starts and ends of runs and computes the outcome from them, for
// both schedulers.
class OutcomeRecorder {
 public:
  explicit OutcomeRecorder(const Workload& workload) : workload_(workload) {
    for (const Resources& worker : workload.workers) total_ += worker;
    free_ = workload.workers;
    first_start_.assign(workload.arrivals.size(), -1);
    spent_ms_.assign(workload.arrivals.size(), 0);
  }

  // Moves the time to `now_ms` and accumulates the usage since the last call.
  // `waiting` tells whether any task was waiting during that time.
  void AdvanceTo(int64_t now_ms, bool waiting) {
    const double span = static_cast<double>(now_ms - now_ms_);
    now_ms_ = now_ms;
    if (waiting) {
      waiting_ms_ += span;
      used_cpu_ms_ += span * used_cpu_;
    }
    stranded_accelerator_ms_ += span * stranded_accelerators_;
    elapsed_ms_ += span;
  }

  void Start(size_t arrival, WorkerId worker) {
    if (first_start_[arrival] < 0) first_start_[arrival] = now_ms_;
    UpdateAllocation(arrival, worker, -1);
  }
  void End(size_t arrival, WorkerId worker, int64_t ran_ms, bool finished) {
    UpdateAllocation(arrival, worker, 1);
    spent_ms_[arrival] += ran_ms;
    if (!finished) return;
    const Arrival& a = workload_.arrivals[arrival];
    const double cores = a.spec.need.cpu_milli / 1000.0;
    out.work_done += cores * static_cast<double>(a.actual_ms) / kMsPerHour;
    out.rework_s +=
        cores * static_cast<double>(spent_ms_[arrival] - a.actual_ms) / 1000;
    if (a.spec.deadline_ms == kNever) return;
    ++deadlines_due_;
    deadlines_met_ += now_ms_ <= a.spec.deadline_ms ? 1 : 0;
    ended_with_deadline_.insert(arrival);
  }

  Outcome Finish() {
    std::array<std::vector<int64_t>, kWorkClasses> waits;
    for (size_t i = 0; i < workload_.arrivals.size(); ++i) {
      const Arrival& a = workload_.arrivals[i];
      const auto c = static_cast<size_t>(a.spec.work_class);
      if (a.spec.deadline_ms < now_ms_ && ended_with_deadline_.count(i) == 0)
        ++deadlines_due_;
      if (first_start_[i] < 0) {
        ++out.never_started[c];
        waits[c].push_back(now_ms_ - a.at_ms);
        continue;
      }
      ++out.started[c];
      waits[c].push_back(first_start_[i] - a.at_ms);
    }
    for (size_t c = 0; c < kWorkClasses; ++c) {
      if (waits[c].empty()) continue;
      std::sort(waits[c].begin(), waits[c].end());
      out.median_wait[c] = waits[c][waits[c].size() / 2];
      out.p99_wait[c] = waits[c][waits[c].size() * 99 / 100];
      out.max_wait[c] = waits[c].back();
    }
    out.deadlines_met = deadlines_due_ == 0
                            ? 1
                            : static_cast<double>(deadlines_met_) /
                                  static_cast<double>(deadlines_due_);
    out.used_while_waiting =
        waiting_ms_ == 0 ? 1 : used_cpu_ms_ / waiting_ms_ / total_.cpu_milli;
    out.stranded =
        total_.accelerators == 0
            ? 0
            : stranded_accelerator_ms_ / elapsed_ms_ / total_.accelerators;
    return out;
  }

  Outcome out;

 private:
  static int StrandedAccelerators(const Resources& free) {
    return free.cpu_milli < 1000 ? free.accelerators : 0;
  }

  void UpdateAllocation(size_t arrival, WorkerId worker, int sign) {
    const Resources& need = workload_.arrivals[arrival].spec.need;
    Resources& free = free_[worker];
    stranded_accelerators_ -= StrandedAccelerators(free);
    if (sign < 0) {
      free -= need;
    } else {
      free += need;
    }
    stranded_accelerators_ += StrandedAccelerators(free);
    used_cpu_ -= sign * need.cpu_milli;
    if (free.cpu_milli < 0 || free.memory_mib < 0 || free.accelerators < 0) {
      out.violations.push_back(
          absl::StrCat("worker ", worker, " is overcommitted at ms ", now_ms_));
    }
  }

  const Workload& workload_;
  Resources total_;
  std::vector<Resources> free_;
  std::vector<int64_t> first_start_;
  std::vector<int64_t> spent_ms_;
  std::set<size_t> ended_with_deadline_;
  int64_t now_ms_ = 0;
  double used_cpu_ = 0;
  double waiting_ms_ = 0;
  double used_cpu_ms_ = 0;
  double stranded_accelerator_ms_ = 0;
  double elapsed_ms_ = 0;
  int stranded_accelerators_ = 0;
  int64_t deadlines_due_ = 0;
  int64_t deadlines_met_ = 0;
};

struct End {
  int64_t at_ms;
  TaskHandle task;
  int64_t run;  // The number of the run that ends.
  bool preempted;
  bool operator>(const End& other) const { return at_ms > other.at_ms; }
};
using EndQueue = std::priority_queue<End, std::vector<End>, std::greater<>>;

// The state of a task from its arrival until it finishes.
struct TaskState {
  size_t arrival = 0;
  int64_t run = 0;
  int64_t started_ms = 0;
  int64_t remaining_ms = 0;
  int64_t saved_ms = 0;
  int64_t preempted = 0;
};

}  // namespace

Decider MakeDecider(const Workload& workload, DeciderOptions options) {
  Decider decider(options);
  for (size_t t = 0; t < workload.quotas.size(); ++t)
    decider.AddTeam(absl::StrCat("team", t), workload.quotas[t]);
  for (size_t w = 0; w < workload.workers.size(); ++w) {
    decider.AddWorker(absl::StrCat("w", w),
                      absl::StrCat("rack", w / workload.workers_per_rack),
                      workload.workers[w]);
  }
  return decider;
}

Outcome RunWorkload(const Workload& workload, DeciderOptions options) {
  Decider decider = MakeDecider(workload, options);
  OutcomeRecorder recorder(workload);
  EndQueue ends;
  std::map<TaskHandle, TaskState> tasks;
  // Run numbers are unique, whereas task ids are reused.
  int64_t next_run = 0;
  size_t next = 0;
  int64_t now = 0;
  while (now < workload.length_ms) {
    int64_t at = workload.length_ms;
    if (next < workload.arrivals.size())
      at = std::min(at, workload.arrivals[next].at_ms);
    if (!ends.empty()) at = std::min(at, ends.top().at_ms);
    now = std::max(now, at);
    recorder.AdvanceTo(now, decider.waiting() > 0);
    for (; next < workload.arrivals.size() &&
           workload.arrivals[next].at_ms <= now;
         ++next) {
      TaskState state;
      state.arrival = next;
      state.run = ++next_run;
      state.remaining_ms = workload.arrivals[next].actual_ms;
      tasks[decider.Submit(workload.arrivals[next].spec, now)] = state;
    }
    while (!ends.empty() && ends.top().at_ms <= now) {
      const End end = ends.top();
      ends.pop();
      const auto it = tasks.find(end.task);
      if (it == tasks.end() || it->second.run != end.run) continue;
      TaskState& state = it->second;
      const WorkerId worker = decider.task(end.task).worker;
      const int64_t ran = now - state.started_ms;
      recorder.End(state.arrival, worker, ran, !end.preempted);
      state.run = ++next_run;
      if (!end.preempted) {
        decider.OnEnded(end.task, now);
        tasks.erase(it);
        continue;
      }
      const bool saves = workload.arrivals[state.arrival].spec.checkpoints;
      if (saves) {
        state.saved_ms += ran;
        state.remaining_ms = std::max<int64_t>(1, state.remaining_ms - ran);
      }
      recorder.out.max_preemptions_per_task =
          std::max(recorder.out.max_preemptions_per_task, ++state.preempted);
      decider.OnStopped(end.task, state.saved_ms, now);
    }
    for (const Order& order : decider.Decide(now, kDecisionBudget)) {
      TaskState& state = tasks[order.task];
      if (order.kind == Order::Kind::kPreempt) {
        ends.push({now + (order.checkpoint ? kCheckpointDelayMs : kStopDelayMs),
                   order.task, state.run, true});
        continue;
      }
      recorder.Start(state.arrival, order.worker);
      state.started_ms = now;
      if (state.remaining_ms > 0)
        ends.push({now + state.remaining_ms, order.task, state.run, false});
    }
  }
  recorder.out.preempted = decider.counts().preempted;
  recorder.out.placements = decider.counts().placements;
  recorder.out.examined_per_placement =
      static_cast<double>(decider.counts().examined) /
      std::max<double>(1, static_cast<double>(recorder.out.placements));
  return recorder.Finish();
}

Outcome RunNaive(const Workload& workload) {
  NaiveDecider naive;
  for (const Resources& worker : workload.workers) naive.AddWorker(worker);
  OutcomeRecorder recorder(workload);
  EndQueue ends;
  std::vector<std::pair<WorkerId, int64_t>> started(workload.arrivals.size());
  size_t next = 0;
  int64_t now = 0;
  while (now < workload.length_ms) {
    int64_t at = workload.length_ms;
    if (next < workload.arrivals.size())
      at = std::min(at, workload.arrivals[next].at_ms);
    if (!ends.empty()) at = std::min(at, ends.top().at_ms);
    now = std::max(now, at);
    recorder.AdvanceTo(now, naive.waiting() > 0);
    // The naive scheduler numbers tasks in the order of their arrival, so a
    // task id is also an index into `arrivals`.
    for (; next < workload.arrivals.size() &&
           workload.arrivals[next].at_ms <= now;
         ++next) {
      naive.Submit(workload.arrivals[next].spec);
    }
    while (!ends.empty() && ends.top().at_ms <= now) {
      const TaskHandle task = ends.top().task;
      ends.pop();
      recorder.End(task, started[task].first, now - started[task].second, true);
      naive.OnEnded(task);
    }
    for (const auto& [task, worker] : naive.Decide()) {
      recorder.Start(task, worker);
      started[task] = {worker, now};
      ++recorder.out.placements;
      const int64_t length = workload.arrivals[task].actual_ms;
      if (length > 0) ends.push({now + length, task, 0, false});
    }
  }
  recorder.out.examined_per_placement =
      static_cast<double>(naive.examined) /
      std::max<double>(1, static_cast<double>(recorder.out.placements));
  return recorder.Finish();
}

}  // namespace keelbridge::testing
