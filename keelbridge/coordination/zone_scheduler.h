// One scheduler of a zone: leadership, leases, the log and the decision core
// put together.
//
// Pure: whoever drives it passes events and the time, carries out the actions
// and reports what came of them. It starts no thread and does bounded work a
// call, so that another event loop can drive it.
//
//   ZoneScheduler scheduler(options);
//   scheduler.OnConfiguration(configuration, now);
//   for (const Action& action : scheduler.Tick(now)) CarryOut(action);

#ifndef KEELBRIDGE_COORDINATION_ZONE_SCHEDULER_H_
#define KEELBRIDGE_COORDINATION_ZONE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/result.h"
#include "keelbridge/coordination/decider.h"
#include "keelbridge/coordination/leadership.h"
#include "keelbridge/coordination/lease_tracker.h"
#include "keelbridge/coordination/log_writer.h"
#include "keelbridge/coordination/planner.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/protocol/worker_messages.h"
#include "keelbridge/state/zone_replica.h"

namespace keelbridge {

struct SendHold {
  std::string worker;
  HoldRequest request;
};
struct SendStart {
  std::string worker;
  StartRequest request;
};
struct SendStop {
  std::string worker;
  StopRequest request;
};
// To the zone's stream; the answer goes to `OnAppendAnswer`.
struct SendAppend {
  Envelope envelope;
};
using Action = std::variant<SendHold, SendStart, SendStop, SendAppend>;

// Counts since this process started.
struct ZoneSchedulerCounts {
  int64_t leaderships = 0;
  int64_t starts = 0;
  int64_t restarts = 0;  // Starts of a task that had started before.
  int64_t holds = 0;
  int64_t hold_rows = 0;  // Rows that travelled with hold replies.
  int64_t vanished = 0;
};

class ZoneScheduler {
 public:
  struct Options {
    std::string name;
    std::string zone;
    uint64_t incarnation = 1;
    uint64_t seed = 1;
    Leadership::Options leadership;
    LeaseTracker::Options leases;
    LogWriter::Options log;
    absl::Duration stopping_poll_interval = absl::Milliseconds(
        250);  // How often a worker is asked while tasks stop on it.
    absl::Duration log_down_after = absl::Seconds(
        2);  // After so long without an answer the log counts as down.
    absl::Duration drain_grace = absl::Seconds(
        30);  // A task that ends within this is not stopped by a drain.
    int decide_budget = 400;        // Placements tried in one tick.
    int64_t snapshot_every = 2000;  // Records.
    absl::Duration snapshot_interval =
        absl::Minutes(10);  // Well under half of the log's retention.
    size_t snapshot_piece_bytes = 64 << 10;
  };

  explicit ZoneScheduler(Options options);

  void OnConfiguration(const Configuration& configuration);
  // Workers that the platform lists as leaving.
  void OnLeaving(const std::set<std::string>& names);
  // A read of the zone's stream from `replica().next()`.
  void OnLogBatch(const LogBatch& batch, Now now);
  void OnAppendAnswer(std::optional<int64_t> offset, Now now);
  // Replies carry the action back; nothing means that no answer came.
  void OnHoldReply(const SendHold& sent, absl::Time sent_at,
                   const std::optional<HoldReply>& reply, Now now);
  void OnStartReply(const SendStart& sent,
                    const std::optional<CommandReply>& reply, Now now);
  void OnStopReply(const SendStop& sent,
                   const std::optional<CommandReply>& reply, Now now);

  // The actions that are due. Call at least every 50 ms or so, and after
  // replies.
  std::vector<Action> Tick(Now now);

  // Gives up leadership for a planned stop. Carry out the actions, then stop.
  std::vector<Action> HandOver(Now now);

  Result<Plan> Propose(const std::vector<Intent>& intents, Now now);
  // Puts the confirmation on its way to the log; `GetPlanOutcome` tells what
  // became of it. Only the leader does this.
  Result<void> Confirm(const Plan& plan, Now now);
  ZoneState::PlanOutcome GetPlanOutcome(const std::string& plan) const {
    return replica_.state().GetPlanOutcome(plan);
  }

  // Why a task is where it is, or why it waits.
  Result<std::string> Explain(const std::string& task) const;
  // Decisions in the order in which they were taken, from number `after` on,
  // and the number to ask from next.
  std::vector<std::string> Watch(int64_t after, int64_t* next) const;

  bool Leads(absl::Time now) const { return leadership_.Leads(now); }
  int64_t epoch() const { return leadership_.epoch(); }
  const ZoneReplica& replica() const { return replica_; }
  const LogWriter& writer() const { return writer_; }
  const LeaseTracker& leases() const { return lease_tracker_; }
  const Decider& decider() const { return *decider_; }
  const ZoneSchedulerCounts& counts() const { return counts_; }
  bool LogDown(absl::Time now) const {
    return now - last_log_answer_ > options_.log_down_after;
  }
  const Options& options() const { return options_; }

 private:
  enum class Stage {
    kUnobserved,  // May run on a worker that has not been heard of in this
                  // leadership.
    kWaiting,     // With the decision core.
    kClaiming,    // Placed; the record that it may start is on its way to the
                  // log.
    kLeased,      // In the lease book.
    kEnding,      // Ended; the record is on its way to the log.
  };
  struct TaskEntry {
    std::string intent;
    int64_t index = 0;
    Stage stage = Stage::kUnobserved;
    TaskId id = kNoTask;
    WorkerId worker = kNoWorker;
    int64_t attempt = 0;
    int starts = 0;
    bool repeatable = true;
    bool exclusive = true;
    int64_t progress_ms = 0;
    bool unwanted = false;  // Cancelled: when it has stopped, it is forgotten.
    bool end_queued = false;    // The record of its end is with the log writer.
    std::string outcome;        // Of an ended task.
    std::string ending_worker;  // Who has to be told when the record of the end
                                // is in the log.
  };

  // Whether the zone's work is known well enough to act on it.
  bool Ready(Now now);
  bool Authoritative() const;
  bool IsWanted(const TaskEntry& entry) const;
  void BeginLeading(Now now);
  void StopLeading();
  void BuildDecider();
  void SyncWorkers();
  void SyncWork(Now now);
  void SyncIntent(const WorkRecord& record, Now now);
  void AddTask(const WorkRecord& record, int64_t index, Now now);
  void RemoveUnwanted(Now now);
  // False when nothing of the task is left and its entry can go.
  bool StopOrForget(const std::string& name, TaskEntry& entry, Now now);
  void ResolveUnobserved(Now now);
  void ResolveUnobservedTask(const std::string& name, TaskEntry& entry,
                             Now now);
  void Forget(const std::string& name, TaskEntry& entry, Now now);
  void SubmitTask(const std::string& name, TaskEntry& entry, Now now);
  int32_t GroupOf(const std::string& intent);

  void Handle(const LeaseEvent& event, Now now);
  void HandleFound(const LeaseEvent& event, Now now);
  bool AdoptFound(const LeaseEvent& event, Now now);
  void HandleEnded(const LeaseEvent& event, Now now);
  void Requeue(const std::string& name, TaskEntry& entry, int64_t progress_ms,
               bool may_have_run, Now now);
  void RecordEnd(const std::string& name, TaskEntry& entry,
                 const std::string& outcome, const std::string& worker,
                 int64_t attempt, Now now);
  void QueueEndRecord(const std::string& name, TaskEntry& entry);
  void OnEndRecorded(const std::string& name, Now now);
  void RefreshSchedulable();

  void TickLeader(Now now, std::vector<Action>& actions);
  void TickHolds(Now now, std::vector<Action>& actions);
  void TickClaims(Now now, std::vector<Action>& actions);
  void TickDrains(Now now);
  bool IsLeaving(const std::string& worker) const;
  void TickSnapshot(Now now);
  void CarryOut(const Order& order, Now now, std::vector<Action>& actions);
  void StartTask(const std::string& name, TaskEntry& entry, Now now,
                 std::vector<Action>& actions);
  void PushHold(const std::string& worker, HoldMode mode, int64_t epoch,
                Now now, std::vector<Action>& actions);
  int64_t NotAfter(Now now) const;
  std::string DecisionText(TaskId id) const;
  const WorkRecord* FindWorkRecord(const std::string& intent) const;

  // No plan has this offset, and -1 stands for "none yet".
  static constexpr int64_t kNeverSynced = -2;

  const Options options_;
  Configuration configuration_;
  Leadership leadership_;
  LeaseTracker lease_tracker_;
  LogWriter writer_;
  ZoneReplica replica_;
  std::unique_ptr<Decider> decider_;
  std::map<std::string, TaskEntry> tasks_;
  absl::flat_hash_map<TaskId, std::string> names_;
  // Numbers for the decision core, of intents that are there.
  absl::flat_hash_map<std::string, int32_t> groups_;
  int32_t next_group_ = 0;
  // Found, or ended, before the zone's state was known; by worker and attempt,
  // since each listing tells of them again.
  std::map<std::pair<std::string, int64_t>, LeaseEvent> deferred_events_;
  std::set<std::string> leaving_;
  std::set<std::string> holds_in_flight_;
  std::map<std::string, absl::Time> next_extra_hold_;
  bool leading_ = false;
  int64_t led_epoch_ = 0;
  int64_t leader_offset_ = INT64_MAX;   // Plans confirmed after this were never
                                        // started by an earlier leader.
  int64_t synced_plan_ = kNeverSynced;  // As of this confirmed plan.
  bool was_current_ = false;  // The log has been read to its end once.
  int64_t next_attempt_ = 0;
  std::set<std::string> unobserved_;  // Tasks in stage `kUnobserved`.
  bool ready_ = false;
  int64_t snapshot_seen_ = -1;
  absl::Time snapshot_seen_at_ = absl::InfinitePast();
  bool workers_changed_ = true;
  std::set<std::string> claiming_;
  std::set<std::string> ending_;
  std::map<std::string, Intent>
      synced_;  // As last taken over from the zone's state.
  int64_t plans_made_ = 0;
  absl::Time last_log_answer_ = absl::InfinitePast();
  ZoneSchedulerCounts counts_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ZONE_SCHEDULER_H_
