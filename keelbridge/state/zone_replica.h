// Follows the stream of a zone in the log and applies it to a `ZoneState`.
//
// If the log no longer has the next record (because of a gap, or because a new
// replica reads an old log), the replica looks for the newest complete
// snapshot, loads it and continues after the records that the snapshot covers.
//
//   ZoneReplica replica;
//   replica.OnBatch(batch);  // Read the next batch from replica.next().
//   if (replica.Current()) Use(replica.state());

#ifndef KEELBRIDGE_STATE_ZONE_REPLICA_H_
#define KEELBRIDGE_STATE_ZONE_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "keelbridge/state/zone_state.h"

namespace keelbridge {

// Splits a snapshot of `state` into entries of at most `max_bytes` of text
// each.
std::vector<SnapshotEntry> SplitSnapshot(const ZoneState& state,
                                         const std::string& id,
                                         size_t max_bytes);

class ZoneReplica {
 public:
  // Applies the log's answer to a read from offset `next()`. Malformed records
  // are counted and skipped.
  void OnBatch(const LogBatch& batch);

  int64_t next() const { return next_; }
  const ZoneState& state() const { return state_; }
  std::vector<std::string> TakeEnded() { return state_.TakeEnded(); }
  // Whether everything up to the end of the log, as of the latest batch, is
  // applied and nothing is missing.
  bool Current() const { return current_ && !awaiting_snapshot_; }
  // Number of offsets since the latest complete snapshot that this replica
  // read.
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
  // The state is incomplete, so only snapshots are read.
  bool awaiting_snapshot_ = false;
  std::map<std::string, PartialSnapshot> pieces_;
  int64_t last_snapshot_covers_ = -1;
  int64_t first_retained_ = 0;
  int gaps_ = 0;
  int malformed_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_ZONE_REPLICA_H_
