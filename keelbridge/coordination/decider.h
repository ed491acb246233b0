// Decides where tasks run, when they start and which tasks are preempted: the
// decision core of a zone.
//
// The class is pure and copyable, so that a plan can be computed by running a
// copy. It owns the accounting of the cell's capacity. Its caller carries out
// the returned orders and reports what happened to the tasks (ended, stopped,
// lost, or failed to start).
//
//   Decider decider(options);
//   TaskHandle id = decider.Submit(spec, now_ms);
//   for (const Order& order : decider.Decide(now_ms, 100)) CarryOut(order);
//   decider.OnEnded(id, now_ms);

#ifndef KEELBRIDGE_COORDINATION_DECIDER_H_
#define KEELBRIDGE_COORDINATION_DECIDER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "keelbridge/coordination/decision.h"
#include "keelbridge/coordination/task_queue.h"
#include "keelbridge/coordination/task_table.h"
#include "keelbridge/coordination/victim_search.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/state/cell.h"

namespace keelbridge {

struct TaskSpec {
  Resources need;
  int32_t group = -1;
  int16_t team = 0;
  WorkClass work_class = WorkClass::kStandard;
  bool checkpoints = false;
  bool spread = false;
  // Never preempted, because the task could not be run again.
  bool non_preemptible = false;
  int64_t duration_ms = 0;  // 0 for a service.
  double estimate_error = 0;
  int64_t deadline_ms = kNever;  // Monotonic clock.
  int64_t saved_progress_ms = 0;
};

// Parameters of a scheduling policy. The suffixes `_ms` and `_s` stand for
// milliseconds and seconds.
struct DeciderOptions {
  // Number of suitable workers that are scored for one placement.
  int candidates = 12;
  // After this many workers have been examined, the first suitable one is
  // taken.
  int max_examined = 48;
  // Best fit: prefer the worker with the least remaining capacity. Otherwise
  // worst fit: prefer the one with the most.
  bool best_fit = true;
  // Apply best fit to services too. Otherwise they are placed by worst fit.
  bool pack_services = false;
  // Fraction of the cell's processors that standard and bulk tasks leave free.
  double headroom = 0;
  // Interactive tasks may preempt others. Urgent tasks always may.
  bool interactive_preempts = true;
  // A team below its quota may preempt tasks of teams above theirs.
  bool reclaim = true;
  // Number of suitable workers that are compared for a preemption or a
  // reservation.
  int max_workers_compared = 48;
  // A task that started less than this time ago is preempted only if preempting
  // other tasks does not suffice.
  int64_t preemption_protection_ms = 30000;
  // Fixed cost of preempting one task, in seconds of its work.
  double preemption_base_cost_s = 5;
  // Factor by which preempting interactive work costs more than preempting
  // standard work.
  double interactive_cost_factor = 10;
  // Maximum number of concurrent preemptions on one worker.
  int max_preemptions_per_worker = 8;
  // Each earlier preemption of a task increases its cost by this multiple.
  double repeat_preemption_factor = 1;
  int max_reservations = 16;
  // Interval at which waiting tasks are tried on every worker again.
  int64_t full_pass_interval_ms = 1000;
  // Number of most recent decisions that are kept for explanations.
  int max_decisions_kept = 4096;
  TaskQueue::Options queue;

  static DeciderOptions ForPolicy(PolicyKind policy);
};

// An action that the caller has to carry out.
struct Order {
  enum class Kind { kStart, kPreempt };
  Kind kind = Kind::kStart;
  TaskHandle task = kNoTask;
  WorkerId worker = kNoWorker;
  // For `kPreempt`: the task saves a checkpoint before it stops.
  bool checkpoint = false;
  // For `kPreempt`: the task for which capacity is freed.
  TaskHandle preemptor = kNoTask;
};

struct DeciderCounts {
  int64_t placements = 0;
  int64_t examined = 0;
  int64_t preempted = 0;
  double preemption_cost_s = 0;
  int64_t decisions = 0;
};

class Decider {
 public:
  explicit Decider(DeciderOptions options);

  // Adds a team, or changes the quota of a known one. `quota` is the fraction
  // of the cell that the team can always reclaim.
  int16_t AddTeam(const std::string& name, double quota);
  int16_t FindTeam(const std::string& name) const;
  WorkerId AddWorker(const std::string& name, const std::string& rack,
                     const Resources& total);
  void SetSchedulable(WorkerId worker, bool schedulable);
  void SetTotal(WorkerId worker, const Resources& total);

  TaskHandle Submit(const TaskSpec& spec, int64_t now_ms);
  // Adds a task that was found running on `worker`, where it already holds a
  // lease.
  TaskHandle Adopt(const TaskSpec& spec, WorkerId worker, int64_t started_ms,
                   int64_t now_ms);

  // Tries at most `budget` placements. Returns the orders to carry out.
  std::vector<Order> Decide(int64_t now_ms, int budget);

  // Requeues a task whose start was refused or certainly did not happen.
  void OnStartFailed(TaskHandle task, int64_t now_ms);
  // Requeues a task that has certainly stopped, after it saved the given
  // progress.
  void OnStopped(TaskHandle task, int64_t saved_progress_ms, int64_t now_ms);
  // Removes a task that has certainly ended: it finished, failed, or was
  // cancelled while waiting.
  void OnEnded(TaskHandle task, int64_t now_ms);
  void SetClass(TaskHandle task, WorkClass work_class, int64_t now_ms);

  const Cell& cell() const { return cell_; }
  const TaskRow& task(TaskHandle id) const { return tasks_[id]; }
  const std::vector<TaskHandle>& TasksOn(WorkerId worker) const {
    return on_worker_[worker];
  }
  size_t waiting() const { return queue_.size(); }
  size_t live() const { return tasks_.live(); }
  const DeciderCounts& counts() const { return counts_; }
  // Returns the team's dominant share of the cell, from 0 to 1.
  double ShareOf(int16_t team) const;
  double QuotaOf(int16_t team) const { return teams_[team].quota; }
  const std::string& TeamName(int16_t team) const { return teams_[team].name; }
  int Teams() const { return static_cast<int>(teams_.size()); }
  // Returns the most recent decision about `task`, or nullopt if it is no
  // longer kept.
  std::optional<Decision> LastDecision(TaskHandle task) const;
  const std::deque<Decision>& decisions() const { return decisions_; }

 private:
  struct Team {
    std::string name;
    double quota = 0;
    std::array<int64_t, 3> used{};
  };
  // Capacity that is reserved on a worker for a task that fits nowhere at
  // present.
  struct Reservation {
    TaskHandle task = kNoTask;
    WorkerId worker = kNoWorker;
    int64_t start_ms = 0;
    // Capacity that remains beside the task at `start_ms`, for work that does
    // not end before then.
    Resources spare;
  };
  // Tasks on one worker that are being preempted for one other task.
  struct Preemption {
    // `kNoTask` if the preemptor ended or was cancelled meanwhile.
    TaskHandle preemptor = kNoTask;
    WorkerId worker = kNoWorker;
    // Resources that the preemptor needs.
    Resources need;
    // Victims that have not stopped yet.
    std::vector<TaskHandle> victims;
  };
  struct SearchResult {
    WorkerId worker = kNoWorker;
    int fitting = 0;
    Decision record;
  };

  TaskHandle AddRow(const TaskSpec& spec, int64_t now_ms);
  int32_t ShapeOf(const TaskRow& row);
  void AllocateCapacity(TaskHandle id, WorkerId worker, int64_t now_ms);
  void ReleaseCapacity(TaskHandle id);
  void AddUsage(const TaskRow& row, int sign);
  void UpdateShare(int16_t team);
  void OnCapacityFreed(WorkerId worker);
  void Detach(TaskHandle id, int64_t now_ms);
  void OnVictimStopped(TaskHandle victim, int64_t now_ms);
  void UpdateReserved(WorkerId worker);
  // Returns the capacity that is neither allocated nor reserved for preemptors.
  Resources UnreservedCapacity(WorkerId worker) const {
    return cell_.Free(worker) - reserved_[worker];
  }

  enum class PlacementOutcome { kDone, kWaitsForCapacity, kWaitsForOtherCause };
  PlacementOutcome TryPlace(const TaskQueue::Offer& offer, int64_t now_ms,
                            std::vector<Order>& orders);
  SearchResult FindWorker(TaskHandle id,
                          const std::vector<WorkerId>& candidate_workers,
                          int64_t now_ms) const;
  // Scores one worker for a task. Returns false when the search can end.
  bool EvaluateWorker(const TaskRow& row, WorkerId worker, int64_t now_ms,
                      SearchResult& found) const;
  std::optional<Rejection> FindRejection(const TaskRow& row, WorkerId worker,
                                         int64_t now_ms) const;
  bool RespectsReservation(const TaskRow& row, const Reservation& reservation,
                           int64_t now_ms) const;
  double Score(const TaskRow& row, WorkerId worker) const;
  bool UsesBestFit(const TaskRow& row) const;
  bool ViolatesHeadroom(const TaskRow& row) const;
  bool ViolatesSpread(const TaskRow& row, WorkerId worker) const;
  void Start(TaskHandle id, const SearchResult& found, int64_t now_ms,
             std::vector<Order>& orders);

  bool MayPreempt(const TaskRow& row) const;
  bool IsPreemptibleBy(const TaskRow& victim, const TaskRow& row) const;
  double PreemptionCost(const TaskRow& victim, int64_t now_ms) const;
  bool PreemptFor(TaskHandle id, int64_t now_ms, std::vector<Order>& orders);
  VictimSet FindVictimsOn(WorkerId worker, const TaskRow& row,
                          bool include_protected, int64_t now_ms) const;

  void Reserve(TaskHandle id, int64_t now_ms);
  void DropReservation(TaskHandle id);
  int64_t EarliestStart(WorkerId worker, const Resources& need, int64_t now_ms,
                        Resources* spare) const;
  void Record(const Decision& decision);

  DeciderOptions options_;
  Cell cell_;
  TaskTable tasks_;
  TaskQueue queue_;
  std::vector<Team> teams_;
  // Indexed by team: dominant share divided by quota.
  std::vector<double> shares_;
  absl::flat_hash_map<std::string, int16_t> team_by_name_;
  std::vector<std::vector<TaskHandle>> on_worker_;
  absl::flat_hash_map<Resources, int32_t> shapes_;
  // Number of tasks of each group, indexed by rack.
  absl::flat_hash_map<int32_t, std::vector<int32_t>> group_by_rack_;
  absl::flat_hash_map<int32_t, int32_t> group_size_;
  std::vector<Reservation> reservations_;
  std::vector<Preemption> preemptions_;
  // Indexed by worker: capacity reserved for preemptors.
  std::vector<Resources> reserved_;
  // Start orders that became possible outside `Decide`.
  std::vector<Order> pending_orders_;
  std::deque<Decision> decisions_;
  DeciderCounts counts_;
  int64_t next_full_pass_ms_ = 0;
  bool budget_used_up_ = false;  // In the last call of Decide().
  int32_t sequence_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_DECIDER_H_
