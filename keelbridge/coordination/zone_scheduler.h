// A scheduler of one zone. Combines leadership, leases, the log and the
// decision core.
//
// The class is pure: its caller passes events and the time, carries out the
// returned actions and reports their results. It starts no thread and does a
// bounded amount of work per call, so that any event loop can drive it.
//
//   ZoneScheduler scheduler(options);
//   scheduler.OnConfiguration(configuration);
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
// Appends to the zone's stream. The answer goes to `OnAppendAnswer`.
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
  int64_t hold_rows = 0;  // Rows received in hold replies.
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
    // Interval at which a worker is polled while tasks are stopping on it.
    absl::Duration stopping_poll_interval = absl::Milliseconds(250);
    // The log counts as down after this time without an answer.
    absl::Duration log_down_after = absl::Seconds(2);
    // A drain does not stop a task that is due to end within this time.
    absl::Duration drain_grace = absl::Seconds(30);
    int decide_budget = 400;  // Maximum number of placements tried per tick.
    // A snapshot is taken after this many records.
    int64_t records_per_snapshot = 2000;
    // Must be well under half of the log's retention time.
    absl::Duration snapshot_interval = absl::Minutes(10);
    size_t snapshot_piece_bytes = 64 << 10;
  };

  explicit ZoneScheduler(Options options);

  void OnConfiguration(const Configuration& configuration);
  // Sets the workers that the platform lists as leaving.
  void OnLeaving(const std::set<std::string>& names);
  // Handles records read from the zone's stream, starting at
  // `replica().next()`.
  void OnLogBatch(const LogBatch& batch, Now now);
  void OnAppendAnswer(std::optional<int64_t> offset, Now now);
  // Handle the reply to an action. A nullopt reply means that no answer
  // arrived.
  void OnHoldReply(const SendHold& sent, absl::Time sent_at,
                   const std::optional<HoldReply>& reply, Now now);
  void OnStartReply(const SendStart& sent,
                    const std::optional<CommandReply>& reply, Now now);
  void OnStopReply(const SendStop& sent,
                   const std::optional<CommandReply>& reply, Now now);

  // Returns the actions that are due. Must be called about every 50 ms or more
  // often, and after replies.
  std::vector<Action> Tick(Now now);

  // Gives up leadership for a planned stop. The caller carries out the actions
  // and then stops.
  std::vector<Action> HandOver(Now now);

  Result<Plan> Propose(const std::vector<Intent>& intents, Now now);
  // Queues the confirmation for the log. `GetPlanOutcome` returns its outcome.
  // Only the leader can confirm a plan.
  Result<void> Confirm(const Plan& plan, Now now);
  ZoneState::PlanOutcome GetPlanOutcome(const std::string& plan) const {
    return replica_.state().GetPlanOutcome(plan);
  }

  // Explains why a task runs where it does, or why it waits.
  Result<std::string> Explain(const std::string& task) const;
  // Returns decisions in order, from number `after` on. Sets `next` to the
  // number from which to continue.
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
    // May run on a worker that has not reported in this leadership.
    kUnobserved,
    // Waiting in the decision core.
    kWaiting,
    // Placed; the record that permits its start is being written to the log.
    kClaiming,
    // Tracked by `lease_tracker_`.
    kLeased,
    // Ended; the record of its end is being written to the log.
    kEnding,
  };
  struct TaskEntry {
    std::string intent;
    int64_t index = 0;
    Stage stage = Stage::kUnobserved;
    TaskHandle id = kNoTask;
    WorkerId worker = kNoWorker;
    int64_t attempt = 0;
    int starts = 0;
    bool repeatable = true;
    bool exclusive = true;
    int64_t progress_ms = 0;
    // Cancelled; its entry is removed when it has stopped.
    bool unwanted = false;
    // The log writer has accepted the record of its end.
    bool end_queued = false;
    // How it ended.
    std::string outcome;
    // The worker to acknowledge when the record of the end is in the log.
    std::string ending_worker;
  };

  // Returns true if the zone's work is known well enough to act on it.
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
  // Stops a leased task, or else forgets it. Returns false if nothing of the
  // task remains, so that its entry can be erased.
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
  std::string DecisionText(TaskHandle id) const;
  const WorkRecord* FindWorkRecord(const std::string& intent) const;

  // No plan has this offset; -1 means that no plan has been confirmed.
  static constexpr int64_t kNeverSynced = -2;

  const Options options_;
  Configuration configuration_;
  Leadership leadership_;
  LeaseTracker lease_tracker_;
  LogWriter writer_;
  ZoneReplica replica_;
  std::unique_ptr<Decider> decider_;
  std::map<std::string, TaskEntry> tasks_;
  absl::flat_hash_map<TaskHandle, std::string> names_;
  // Numbers of the current intents, used by the decision core.
  absl::flat_hash_map<std::string, int32_t> groups_;
  int32_t next_group_ = 0;
  // Events of leases that were found, or that ended, before the zone's state
  // was known. Keyed by worker and attempt, because each worker report repeats
  // them.
  std::map<std::pair<std::string, int64_t>, LeaseEvent> deferred_events_;
  std::set<std::string> leaving_;
  std::set<std::string> holds_in_flight_;
  std::map<std::string, absl::Time> next_extra_hold_;
  bool leading_ = false;
  int64_t led_epoch_ = 0;
  // Tasks of plans confirmed after this offset were never started by an earlier
  // leader.
  int64_t leader_offset_ = INT64_MAX;
  // The confirmed plan that the tasks reflect.
  int64_t synced_plan_ = kNeverSynced;
  // The log has been read to its end at least once.
  bool was_current_ = false;
  int64_t next_attempt_ = 0;
  std::set<std::string> unobserved_;  // Tasks in stage `kUnobserved`.
  bool ready_ = false;
  int64_t snapshot_seen_ = -1;
  absl::Time snapshot_seen_at_ = absl::InfinitePast();
  bool workers_changed_ = true;
  std::set<std::string> claiming_;
  std::set<std::string> ending_;
  // Intents as last copied from the zone's state.
  std::map<std::string, Intent> synced_;
  int64_t plans_made_ = 0;
  absl::Time last_log_answer_ = absl::InfinitePast();
  ZoneSchedulerCounts counts_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ZONE_SCHEDULER_H_
