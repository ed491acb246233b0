#include "keelbridge/state/zone_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Maximum number of incomplete snapshots that are kept. If there are more, the
// one whose id sorts first is dropped.
constexpr size_t kMaxIncompleteSnapshots = 4;

uint64_t Checksum(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::vector<SnapshotEntry> SplitSnapshot(const ZoneState& state,
                                         const std::string& id,
                                         size_t max_bytes) {
  const std::string text = state.Snapshot();
  const auto count =
      static_cast<int64_t>((text.size() + max_bytes - 1) / max_bytes);
  std::vector<SnapshotEntry> out;
  for (int64_t i = 0; i < count; ++i) {
    out.push_back({id, state.next_offset() - 1, i, count, Checksum(text),
                   text.substr(static_cast<size_t>(i) * max_bytes, max_bytes)});
  }
  return out;
}

void ZoneReplica::OnBatch(const LogBatch& batch) {
  first_retained_ = batch.first;
  if (batch.first > next_) {
    if (!awaiting_snapshot_) ++gaps_;
    awaiting_snapshot_ = true;
    next_ = batch.first;
  }
  for (const LogRecord& record : batch.records) {
    // Loading a snapshot moves `next_` back. The rest of the batch is then read
    // again.
    if (record.offset != next_) break;
    ++next_;
    ApplyRecord(record);
  }
  current_ = next_ >= batch.next;
}

void ZoneReplica::ApplyRecord(const LogRecord& record) {
  Result<Envelope> envelope = EnvelopeFromText(record.text);
  if (!envelope) {
    ++malformed_;
    return;
  }
  if (!awaiting_snapshot_) state_.Apply(record.offset, envelope.value());
  for (const LogEntry& entry : envelope.value().entries) {
    if (const auto* piece = std::get_if<SnapshotEntry>(&entry))
      OnSnapshotPiece(*piece);
  }
}

void ZoneReplica::OnSnapshotPiece(const SnapshotEntry& piece) {
  if (piece.covers <= last_snapshot_covers_ || piece.count <= 0) return;
  PartialSnapshot& pieces = pieces_[piece.id];
  pieces.by_index[piece.index] = piece;
  if (static_cast<int64_t>(pieces.by_index.size()) < piece.count) {
    if (pieces_.size() > kMaxIncompleteSnapshots)
      pieces_.erase(pieces_.begin());
    return;
  }
  const PartialSnapshot complete = std::move(pieces);
  pieces_.erase(piece.id);
  if (awaiting_snapshot_) {
    Load(complete);
  } else {
    last_snapshot_covers_ = piece.covers;
  }
}

void ZoneReplica::Load(const PartialSnapshot& pieces) {
  std::string text;
  for (const auto& [index, piece] : pieces.by_index) text += piece.text;
  const SnapshotEntry& first_piece = pieces.by_index.begin()->second;
  if (Checksum(text) != first_piece.checksum ||
      first_piece.covers + 1 < first_retained_)
    return;
  Result<ZoneState> state = ZoneState::Restore(text);
  if (!state) {
    ++malformed_;
    return;
  }
  state_ = std::move(state.value());
  last_snapshot_covers_ = first_piece.covers;
  next_ = first_piece.covers + 1;
  awaiting_snapshot_ = false;
}

}  // namespace keelbridge
