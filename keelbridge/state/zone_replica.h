// Follows a zone's stream in the log and keeps a `ZoneState` in step with it.
//
// When the log no longer has what comes next (a gap, or a fresh start on an old
// log), the replica looks for the newest complete snapshot, loads it and reads
// on from what it covers.
//
//   ZoneReplica replica;
//   replica.OnBatch(batch);            // Ask the log again from
//   replica.next(). if (replica.Current()) Use(replica.state());

#ifndef KEELBRIDGE_STATE_ZONE_REPLICA_H_
#define KEELBRIDGE_STATE_ZONE_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "keelbridge/state/zone_state.h"

namespace keelbridge {

// Cuts a snapshot of `state` into entries of at most `max_bytes` of text each.
std::vector<SnapshotEntry> SplitSnapshot(const ZoneState& state,
                                         const std::string& id,
                                         size_t max_bytes);

class ZoneReplica {
 public:
  // Takes what the log answered to a read from `next()`. Malformed records are
  // counted and passed over.
  void OnBatch(const LogBatch& batch);

  int64_t next() const { return next_; }
  const ZoneState& state() const { return state_; }
  std::vector<std::string> TakeEnded() { return state_.TakeEnded(); }
  // True when everything up to the end of the log, as of the last batch, is
  // applied and nothing is missing.
  bool Current() const { return current_ && !awaiting_snapshot_; }
  // Offsets since the last complete snapshot that this replica has seen.
  int64_t OffsetsSinceSnapshot() const { return next_ - last_snapshot_covers_; }
  int64_t first_retained() const { return first_retained_; }
  int64_t last_snapshot_covers() const { return last_snapshot_covers_; }
  int gaps() const { return gaps_; }
  int malformed() const { return malformed_; }

 private:
  struct PartialSnapshot {
    std::map<int64_t, SnapshotEntry> by_index;
  };

  void ApplyRecord(const LogRecord& record);
  void OnSnapshotPiece(const SnapshotEntry& piece);
  void Load(const PartialSnapshot& pieces);

  ZoneState state_;
  int64_t next_ = 0;
  bool current_ = false;
  bool awaiting_snapshot_ =
      false;  // State is incomplete; only snapshots are of use.
  std::map<std::string, PartialSnapshot> pieces_;
  int64_t last_snapshot_covers_ = -1;
  int64_t first_retained_ = 0;
  int gaps_ = 0;
  int malformed_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_ZONE_REPLICA_H_
