// Which task holds which lease on which worker, as far as can be known from
// here.
//
// The worker's own table is the truth; this book is what one leader knows of
// it. An answer that is lost leaves a lease *unsettled*: neither running nor
// free until a listing that was asked for after the command could no longer
// take effect says which. A worker that stops answering is *silent*: its leases
// end for certain only when the last message that could have renewed them has
// lapsed; until then nothing exclusive of it starts elsewhere.
//
//   LeaseTracker book(options);
//   book.BeginLeadership(epoch, now);
//   book.Starting(task, attempt, worker, need, sent_at);
//   for (const LeaseEvent& event : book.OnHoldReply(worker, sent_at, reply,
//   now)) Handle(event);

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
  kStarting,    // The start is on its way.
  kUnresolved,  // Its answer was lost.
  kRunning,
  kStopping,  // Asked to stop, or to save its progress and stop.
};

struct Lease {
  std::string task;
  int64_t attempt = 0;
  std::string worker;
  Resources resources;
  LeasePhase phase = LeasePhase::kStarting;
  absl::Time phase_since;  // When the phase began; a listing asked for earlier
                           // says nothing about it.
  // Of an unsettled one: a listing asked for between these times proves by the
  // task's absence that it never started. Later, its lease may have lapsed.
  absl::Time resolvable_after;
  absl::Time sent_at;
  uint64_t incarnation = 0;  // Of the worker that the start was sent to.
  int64_t started_ms = 0;    // Wall clock of the worker.
  std::string decision;
  StopMode stop_mode = StopMode::kStop;
  absl::Time next_stop;  // When to ask again.
};

enum class LeaseEventKind {
  kRunning,     // The start took effect.
  kNotStarted,  // It is certain that the attempt did not start and will not.
  kFinished,    // The worker says that it finished, or failed.
  kStopped,     // The worker says that it stopped; `progress_ms` is saved.
  kVanished,    // It ended for certain, and nobody knows how far it came.
  kFound,       // The worker runs a lease that this book does not know.
  kReconciled,  // The worker's table is known, anew after a doubt or for the
                // first time in this leadership.
  kUnresponsive,  // The worker does not answer; its leases are unknown.
  kLapsed,  // Every lease that the silent worker may have had has ended for
            // certain.
};

struct LeaseEvent {
  LeaseEventKind kind = LeaseEventKind::kRunning;
  std::string worker;
  std::string task;
  int64_t attempt = 0;
  bool failed = false;
  int64_t progress_ms = 0;
  std::string refusal;  // Of a start that was refused: why.
  LeaseRow row;         // Of a lease that was found.
};

// Pure. Times are monotonic.
class LeaseTracker {
 public:
  struct Options {
    absl::Duration lease_ttl = absl::Seconds(10);
    absl::Duration command_validity =
        absl::Seconds(1);  // From sending a command to its not-after.
    absl::Duration clock_error = absl::Milliseconds(
        250);  // Most that two wall clocks differ from true time.
    absl::Duration margin = absl::Milliseconds(250);
    int unresponsive_after = 3;  // Holds without answer.
    // Test builds only: without it an unsettled start counts as not started at
    // once, and a silent worker's leases as ended.
    bool wait_for_certainty = true;
  };

  explicit LeaseTracker(Options options) : options_(options) {}

  // Forgets everything: each worker has to be sealed anew.
  void BeginLeadership(absl::Time now);
  void SetWorkers(const std::vector<std::string>& names);

  // A start is being sent.
  void OnStartSent(const std::string& task, int64_t attempt,
                   const std::string& worker, const Resources& resources,
                   const std::string& decision, absl::Time now);
  // Takes in a lease that was found, as running.
  void Adopt(const std::string& worker, const LeaseRow& row, absl::Time now);
  // A stop is wanted; `TakeDueStops` repeats it until the worker's table says
  // that the lease is gone.
  void RequestStop(const std::string& task, StopMode mode, absl::Time now);
  std::vector<Lease> TakeDueStops(absl::Time now);
  // A found lease that nobody wants; it is stopped like one of ours.
  void StopUnwanted(const std::string& worker, const LeaseRow& row,
                    absl::Time now);

  // A hold was sent; `mode` is what `HoldModeFor` said.
  void OnHoldSent(const std::string& worker, HoldMode mode, absl::Time now);
  // What to send in place of a renewal: a silent worker is only asked, so that
  // its leases can lapse.
  HoldMode HoldModeFor(const std::string& worker) const;
  // The digest that the worker's table has if it agrees with this book; 0 asks
  // for the rows.
  uint64_t ExpectedDigest(const std::string& worker) const;
  // Attempts whose end is dealt with. They are forgotten when the worker has
  // taken them in.
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
  // What ended because time passed.
  std::vector<LeaseEvent> Tick(absl::Time now);

  // Forgets a lease whose task may run twice; should the worker come back with
  // it, it is found and stopped.
  void Abandon(const std::string& task) { Remove(task); }

  // The worker answers, and its table is as this book says.
  bool IsReconciled(const std::string& worker) const;
  // True while the worker runs a lease that nobody wants: its room is not what
  // the accounts say.
  bool HasUnwanted(const std::string& worker) const;
  // True while an unwanted lease of this task may still run somewhere.
  bool HasUnwantedOf(const std::string& task) const;
  // Every worker is sealed, or what it had has lapsed: a task that nobody has
  // found runs nowhere.
  bool AllResolved() const;
  const Lease* Find(const std::string& task) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  // Workers on which a stop is under way, so that it is worth asking them more
  // often.
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
    absl::Time renewed_until;  // The last moment at which a message of ours, or
                               // of the leader before, may take effect.
    int missed_replies = 0;
    uint64_t incarnation = 0;  // As of the last answer.
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
  std::map<std::string, Lease> leases_;  // By task.
  std::set<std::string> stopping_;       // Those in phase `kStopping`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LEASE_TRACKER_H_
