// Tracks which task holds which lease on which worker, as far as one leader
// knows.
//
// The worker's own table is authoritative. If the answer to a start is lost,
// the lease is *unresolved*: it counts neither as running nor as free until a
// worker report resolves it. That report must have been requested after the
// last moment at which the start could take effect. A worker that stops
// answering is *unresponsive*: its leases have certainly ended only when the
// last message that could have renewed them has expired. Until then no
// exclusive task of that worker starts elsewhere.
//
//   LeaseTracker tracker(options);
//   tracker.BeginLeadership(now);
//   tracker.OnStartSent(task, attempt, worker, resources, decision, now);
//   for (const LeaseEvent& event :
//        tracker.OnHoldReply(worker, mode, sent_at, reply, now)) {
//     Handle(event);
//   }

#ifndef KEELBRIDGE_COORDINATION_LEASE_TRACKER_H_
#define KEELBRIDGE_COORDINATION_LEASE_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/worker_messages.h"

namespace keelbridge {

enum class LeasePhase {
  kStarting,    // The start command was sent.
  kUnresolved,  // The answer to the start command was lost.
  kRunning,
  kStopping,  // Asked to stop, or to save its progress and stop.
};

struct Lease {
  std::string task;
  int64_t attempt = 0;
  std::string worker;
  Resources resources;
  LeasePhase phase = LeasePhase::kStarting;
  // When the phase began. A worker report requested before then says nothing
  // about it.
  absl::Time phase_since;
  // For `kUnresolved`: if a worker report requested between `resolvable_after`
  // and the expiry of the lease, counted from `sent_at`, lacks the task, the
  // task never started. If a later report lacks it, the lease may have lapsed.
  absl::Time resolvable_after;
  absl::Time sent_at;
  // Incarnation of the worker to which the start was sent.
  uint64_t incarnation = 0;
  // On the worker's wall clock.
  int64_t started_ms = 0;
  std::string decision;
  StopMode stop_mode = StopMode::kStop;
  // When to send the next stop command.
  absl::Time next_stop;
};

enum class LeaseEventKind {
  kRunning,     // The start took effect.
  kNotStarted,  // The attempt certainly did not start and never will.
  kFinished,    // The worker reports that the task finished or failed.
  kStopped,     // The worker reports that the task stopped; `progress_ms` is
                // saved.
  kVanished,    // The task certainly ended, but its progress is unknown.
  kFound,       // The worker runs a lease that is not tracked.
  // The worker's table is known, either for the first time in this leadership
  // or again after a time in which it was uncertain.
  kReconciled,
  // The worker does not answer, so the state of its leases is unknown.
  kUnresponsive,
  // Every lease that the unresponsive worker may have had has certainly ended.
  kLapsed,
};

struct LeaseEvent {
  LeaseEventKind kind = LeaseEventKind::kRunning;
  std::string worker;
  std::string task;
  int64_t attempt = 0;
  bool failed = false;
  int64_t progress_ms = 0;
  std::string refusal;  // For `kNotStarted`: why the start was refused.
  LeaseRow row;         // The row that the worker reported.
};

// Pure: does no I/O and gets the time from its caller. Times are on the
// monotonic clock.
class LeaseTracker {
 public:
  struct Options {
    absl::Duration lease_ttl = absl::Seconds(10);
    // Time from sending a command to its not-after time.
    absl::Duration command_validity = absl::Seconds(1);
    // Maximum difference of a wall clock from true time.
    absl::Duration clock_error = absl::Milliseconds(250);
    absl::Duration margin = absl::Milliseconds(250);
    // Number of consecutive unanswered holds after which a worker is
    // unresponsive.
    int unresponsive_after = 3;
    // For tests only. If false, an unresolved start counts as not started at
    // once, and the leases of an unresponsive worker count as ended at once.
    bool wait_for_certainty = true;
  };

  explicit LeaseTracker(Options options) : options_(options) {}

  // Discards all state, so that each worker has to be reconciled again.
  void BeginLeadership(absl::Time now);
  void SetWorkers(const std::vector<std::string>& names);

  // Records that a start command is being sent.
  void OnStartSent(const std::string& task, int64_t attempt,
                   const std::string& worker, const Resources& resources,
                   const std::string& decision, absl::Time now);
  // Tracks a lease that was found running.
  void Adopt(const std::string& worker, const LeaseRow& row, absl::Time now);
  // Requests a stop. `TakeDueStops` repeats it until the worker's table shows
  // that the lease is gone.
  void RequestStop(const std::string& task, StopMode mode, absl::Time now);
  std::vector<Lease> TakeDueStops(absl::Time now);
  // Stops an unwanted lease that was found, in the same way as a tracked one.
  void StopUnwanted(const std::string& worker, const LeaseRow& row,
                    absl::Time now);

  // Records that a hold was sent. `mode` is the result of `HoldModeFor`.
  void OnHoldSent(const std::string& worker, HoldMode mode, absl::Time now);
  // Returns the mode in which to send the next hold. An unresponsive worker is
  // only queried, not renewed, so that its leases can lapse.
  HoldMode HoldModeFor(const std::string& worker) const;
  // Returns the digest that the worker's table has if it agrees with this
  // tracker. 0 requests the rows.
  uint64_t ExpectedDigest(const std::string& worker) const;
  // Returns attempts whose end has been processed. They are forgotten once the
  // worker has received the acknowledgement.
  std::vector<int64_t> Acknowledgements(const std::string& worker) const;
  void Acknowledge(const std::string& worker, int64_t attempt);

  std::vector<LeaseEvent> OnHoldReply(const std::string& worker, HoldMode mode,
                                      absl::Time sent_at,
                                      const std::optional<HoldReply>& reply,
                                      absl::Time now);
  std::vector<LeaseEvent> OnStartReply(const std::string& task, int64_t attempt,
                                       const std::optional<CommandReply>& reply,
                                       absl::Time now);
  std::vector<LeaseEvent> OnStopReply(const std::string& task, int64_t attempt,
                                      const std::optional<CommandReply>& reply);
  // Returns the events that the passing of time caused.
  std::vector<LeaseEvent> Tick(absl::Time now);

  // Stops tracking a lease whose task may run twice. If the worker reports it
  // again, it is found and stopped.
  void Abandon(const std::string& task) { Remove(task); }

  // Returns true if the worker answers and its table agrees with this tracker.
  bool IsReconciled(const std::string& worker) const;
  // Returns true while the worker runs an unwanted lease, which means that its
  // free capacity differs from the accounting.
  bool HasUnwanted(const std::string& worker) const;
  // Returns true while an unwanted lease of this task may still run somewhere.
  bool HasUnwantedOf(const std::string& task) const;
  // Returns true if every worker is reconciled or its leases have lapsed. A
  // task that was not found then runs nowhere.
  bool AllResolved() const;
  const Lease* Find(const std::string& task) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  // Returns the workers on which a stop is in progress, so that they can be
  // polled more often.
  std::set<std::string> WorkersWithPendingStops() const;

 private:
  enum class ContactState {
    kUnreconciled,
    kReconciled,
    kUnresponsive,
    kLapsed
  };
  struct WorkerView {
    ContactState contact = ContactState::kUnreconciled;
    // Last time at which a message of this leader or of the previous one may
    // take effect.
    absl::Time renewed_until;
    int missed_replies = 0;
    uint64_t incarnation = 0;  // As of the worker's last answer.
    bool needs_report = true;
    std::set<int64_t> acknowledged;
    std::set<std::string> tasks;
  };

  absl::Duration SafetyMargin() const {
    return 2 * options_.clock_error + options_.margin;
  }
  void Remove(const std::string& task);
  void ResolveStarts(WorkerView& view, absl::Time sent_at, absl::Time now,
                     std::vector<LeaseEvent>& events);
  void ApplyRows(WorkerView& view, const std::string& worker,
                 absl::Time sent_at, const HoldReply& reply, absl::Time now,
                 std::vector<LeaseEvent>& events);
  void ApplyEndedRow(WorkerView& view, const std::string& worker,
                     const LeaseRow& row, std::vector<LeaseEvent>& events);
  void OnMissedReply(WorkerView& view, const std::string& worker,
                     std::vector<LeaseEvent>& events);

  const Options options_;
  std::map<std::string, WorkerView> workers_;
  std::map<std::string, Lease> leases_;  // Keyed by task.
  std::set<std::string> stopping_;       // Tasks in phase `kStopping`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LEASE_TRACKER_H_
