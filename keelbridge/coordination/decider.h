// Decides where tasks run, when they start and what yields: the decision core
// of a zone.
//
// Pure and copyable: a plan is computed by running a copy. It owns the cell's
// accounts; whoever drives it tells it what really happened (started, ended,
// stopped, lost) and carries out its orders.
//
//   Decider decider(options);
//   TaskId id = decider.Submit(spec, now_ms);
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
  bool non_preemptible = false;  // Never yields: it could not be run again.
  int64_t duration_ms = 0;       // 0: a service.
  double estimate_error = 0;
  int64_t deadline_ms = kNever;  // Monotonic.
  int64_t saved_progress_ms = 0;
};

// What a policy weighs. Times in milliseconds.
struct DeciderOptions {
  int candidates = 12;  // Workers that fit, compared for one placement.
  int max_examined =
      48;  // Workers looked at before the first that fits is taken.
  bool best_fit = true;        // Otherwise the roomiest.
  bool pack_services = false;  // Services too; otherwise they get the roomiest.
  double headroom =
      0;  // Share of processors that standard and bulk work leaves free.
  bool interactive_preempts =
      true;  // Interactive work may make others yield; urgent work always may.
  bool reclaim = true;  // A team below its quota may take room back from teams
                        // above theirs.
  int max_workers_compared = 48;  // Workers that are weighed for a yield.
  int64_t preemption_protection_ms = 30000;  // A task that started within this
                                             // yields only if nothing else can.
  double preemption_base_cost_s =
      5;  // Cost of touching one task, in seconds of its work.
  double interactive_cost_factor = 10;  // Times as dear as standard work.
  int max_preemptions_per_worker = 8;   // At a time.
  double repeat_preemption_factor =
      1;  // How much each earlier yield of a task adds to its cost.
  int max_reservations = 16;
  int64_t full_pass_interval_ms =
      1000;  // When waiting work looks at every worker again.
  int max_decisions_kept = 4096;  // Decisions kept for `explain`.
  TaskQueue::Options queue;

  static DeciderOptions ForPolicy(PolicyKind policy);
};

// What to carry out.
struct Order {
  enum class Kind { kStart, kPreempt };
  Kind kind = Kind::kStart;
  TaskId task = kNoTask;
  WorkerId worker = kNoWorker;
  bool checkpoint = false;     // Of a yield: save progress first.
  TaskId preemptor = kNoTask;  // Of a yield.
};

struct DeciderCounts {
  int64_t placements = 0;
  int64_t examined = 0;
  int64_t yields = 0;
  double preemption_cost_s = 0;
  int64_t decisions = 0;
};

class Decider {
 public:
  explicit Decider(DeciderOptions options);

  // Quota: the share of the cell that the team can always get back.
  int16_t AddTeam(const std::string& name, double quota);
  int16_t FindTeam(const std::string& name) const;
  WorkerId AddWorker(const std::string& name, const std::string& rack,
                     const Resources& total);
  void SetSchedulable(WorkerId worker, bool schedulable);
  void SetTotal(WorkerId worker, const Resources& total);

  TaskId Submit(const TaskSpec& spec, int64_t now_ms);
  // Takes in a task that was found running, as a lease that already stands.
  TaskId Adopt(const TaskSpec& spec, WorkerId worker, int64_t started_ms,
               int64_t now_ms);

  // The orders that are due, after at most `budget` placements tried.
  std::vector<Order> Decide(int64_t now_ms, int budget);

  // A start was refused, or proved not to have happened: back to the queue.
  void OnStartFailed(TaskId task, int64_t now_ms);
  // Stopped for certain, with the progress it saved: back to the queue.
  void OnStopped(TaskId task, int64_t saved_progress_ms, int64_t now_ms);
  // Gone for certain: finished, failed, or cancelled while waiting.
  void OnEnded(TaskId task, int64_t now_ms);
  void SetClass(TaskId task, WorkClass work_class, int64_t now_ms);

  const Cell& cell() const { return cell_; }
  const TaskRow& task(TaskId id) const { return tasks_[id]; }
  const std::vector<TaskId>& TasksOn(WorkerId worker) const {
    return on_worker_[worker];
  }
  size_t waiting() const { return queue_.size(); }
  size_t live() const { return tasks_.live(); }
  const DeciderCounts& counts() const { return counts_; }
  // A team's dominant share of the cell, 0 to 1.
  double ShareOf(int16_t team) const;
  double ComputeWorkerQuota(int16_t team) const { return teams_[team].quota; }
  const std::string& TeamName(int16_t team) const { return teams_[team].name; }
  int Teams() const { return static_cast<int>(teams_.size()); }
  // The newest decision about `task` that is still kept.
  std::optional<Decision> LastDecision(TaskId task) const;
  const std::deque<Decision>& decisions() const { return decisions_; }

 private:
  struct Team {
    std::string name;
    double quota = 0;
    std::array<int64_t, 3> used{};
  };
  // Room that is kept on a worker for a task that fits nowhere now.
  struct Reservation {
    TaskId task = kNoTask;
    WorkerId worker = kNoWorker;
    int64_t start_ms = 0;
    Resources spare;  // What is left beside it at that time, for work that does
                      // not end before.
  };
  // Tasks of one worker that yield for one beneficiary.
  struct Preemption {
    TaskId preemptor = kNoTask;  // `kNoTask`: it went away meanwhile.
    WorkerId worker = kNoWorker;
    Resources need;               // Of the beneficiary.
    std::vector<TaskId> victims;  // That have not stopped yet.
  };
  struct SearchResult {
    WorkerId worker = kNoWorker;
    int fitting = 0;
    Decision record;
  };

  TaskId AddRow(const TaskSpec& spec, int64_t now_ms);
  int32_t ShapeOf(const TaskRow& row);
  void AllocateCapacity(TaskId id, WorkerId worker, int64_t now_ms);
  void ReleaseCapacity(TaskId id);
  void AddUsage(const TaskRow& row, int sign);
  void UpdateShare(int16_t team);
  void OnCapacityFreed(WorkerId worker);
  void Detach(TaskId id, int64_t now_ms);
  void OnVictimStopped(TaskId victim, int64_t now_ms);
  void UpdateReserved(WorkerId worker);
  // Room that is neither given out nor held for those that others yield for.
  Resources UnreservedCapacity(WorkerId worker) const {
    return cell_.Free(worker) - reserved_[worker];
  }

  enum class PlacementOutcome { kDone, kWaitsForCapacity, kWaitsForOtherCause };
  PlacementOutcome TryPlace(const TaskQueue::Offer& offer, int64_t now_ms,
                            std::vector<Order>& orders);
  SearchResult FindWorker(TaskId id, const std::vector<WorkerId>& only,
                          int64_t now_ms) const;
  // Weighs one worker; false when the search can end.
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
  void Start(TaskId id, const SearchResult& found, int64_t now_ms,
             std::vector<Order>& orders);

  bool MayPreempt(const TaskRow& row) const;
  bool IsPreemptibleBy(const TaskRow& victim, const TaskRow& row) const;
  double PreemptionCost(const TaskRow& victim, int64_t now_ms) const;
  bool PreemptFor(TaskId id, int64_t now_ms, std::vector<Order>& orders);
  VictimSet FindVictimsOn(WorkerId worker, const TaskRow& row,
                          bool include_protected, int64_t now_ms) const;

  void Reserve(TaskId id, int64_t now_ms);
  void DropReservation(TaskId id);
  int64_t EarliestStart(WorkerId worker, const Resources& need, int64_t now_ms,
                        Resources* spare) const;
  void Record(const Decision& decision);

  DeciderOptions options_;
  Cell cell_;
  TaskTable tasks_;
  TaskQueue queue_;
  std::vector<Team> teams_;
  std::vector<double> shares_;  // Of each team: dominant share over quota.
  absl::flat_hash_map<std::string, int16_t> team_by_name_;
  std::vector<std::vector<TaskId>> on_worker_;
  absl::flat_hash_map<Resources, int32_t> shapes_;
  absl::flat_hash_map<int32_t, std::vector<int32_t>>
      group_by_rack_;  // Tasks of a group on each rack.
  absl::flat_hash_map<int32_t, int32_t> group_size_;
  std::vector<Reservation> reservations_;
  std::vector<Preemption> preemptions_;
  std::vector<Resources> reserved_;  // By worker.
  std::vector<Order>
      pending_orders_;  // Starts that became possible outside `Decide`.
  std::deque<Decision> decisions_;
  DeciderCounts counts_;
  int64_t next_full_pass_ms_ = 0;
  int32_t sequence_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_DECIDER_H_
