// The plans that operators confirmed and the tasks that ended, as recorded in
// the log of a zone.
//
// All readers that apply the same records have the same state, to the byte of
// its snapshot text. Nothing here reads a clock. Entries that arrive too late
// (a stale plan, an entry of an earlier epoch) are refused by every reader
// alike.
//
//   ZoneState state;
//   state.Apply(offset, envelope);
//   std::string text = state.Snapshot();
//   Result<ZoneState> same = ZoneState::Restore(text);

#ifndef KEELBRIDGE_STATE_ZONE_STATE_H_
#define KEELBRIDGE_STATE_ZONE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "keelbridge/base/result.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/state/envelope_filter.h"

namespace keelbridge {

// A set of task numbers, stored as ranges of consecutive numbers, so that the
// record of a batch stays small whatever the order in which its tasks end.
class IndexRanges {
 public:
  void Insert(int64_t index);
  bool Contains(int64_t index) const;
  int64_t Count() const;
  std::string ToText() const;  // "0-9,12,20-31"
  static IndexRanges FromText(const std::string& text);

 private:
  // First number -> last number, inclusive.
  std::map<int64_t, int64_t> ranges_;
};

// A service or batch that an operator confirmed.
struct WorkRecord {
  Intent intent;  // With later resizes and priorities applied.
  int64_t confirmed_at = -1;
  IndexRanges ended;
  // The tasks in `ended` whose outcome is unknown: they may have run and must
  // not be repeated.
  IndexRanges unknown;
};

class ZoneState {
 public:
  // Applies one record. Returns false, without effect, if the envelope was
  // applied before.
  bool Apply(int64_t offset, const Envelope& envelope);

  int64_t next_offset() const { return next_offset_; }
  int64_t last_plan() const { return last_plan_; }
  int64_t epoch() const { return epoch_; }
  const std::string& leader() const { return leader_; }
  const std::map<std::string, WorkRecord>& work() const { return work_; }
  const std::set<std::string>& drained_hosts() const { return drained_hosts_; }
  const std::set<std::string>& drained_targets() const {
    return drained_targets_;
  }

  // Returns the attempt that may run a non-repeatable task, or 0 if no attempt
  // has claimed its start.
  int64_t ClaimedAttempt(const std::string& task) const;

  enum class PlanOutcome { kUnknown, kConfirmed, kStale };
  // Returns the outcome of a confirmed plan, or kUnknown if the plan is not
  // among the recent ones.
  PlanOutcome GetPlanOutcome(const std::string& plan) const;

  // Whether this envelope, or a later one of its writer, was applied.
  bool Applied(const EnvelopeId& id) const { return writers_.WasAccepted(id); }

  // Returns the tasks whose end was applied since the previous call. They are
  // not part of the state.
  std::vector<std::string> TakeEnded() { return std::exchange(ended_, {}); }

  std::string Snapshot() const;
  static Result<ZoneState> Restore(const std::string& text);

 private:
  void ApplyEntry(int64_t offset, const LogEntry& entry);
  void ApplyPlan(int64_t offset, const PlanEntry& entry);
  void ApplyIntent(int64_t offset, const Intent& intent);
  void ApplyEnded(const TaskEndedEntry& entry);
  void RecordPlanOutcome(const std::string& plan, PlanOutcome plan_outcome);

  int64_t next_offset_ = 0;
  int64_t last_plan_ = -1;
  int64_t epoch_ = 0;
  std::string leader_;
  std::map<std::string, WorkRecord> work_;
  std::set<std::string> drained_hosts_;
  std::set<std::string> drained_targets_;
  std::map<std::string, int64_t> claimed_attempts_;
  std::deque<std::pair<std::string, PlanOutcome>> plan_outcomes_;
  EnvelopeFilter writers_;
  std::vector<std::string> ended_;
};

// Returns "intent/number".
std::string TaskName(const std::string& intent, int64_t index);
// Returns false if `task` is not a task name.
bool SplitTaskName(const std::string& task, std::string* intent,
                   int64_t* index);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_ZONE_STATE_H_
