#include "keelbridge/state/zone_replica.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Incomplete snapshots that are kept at a time; the oldest goes first.
constexpr size_t kMostOpenSnapshots = 4;

uint64_t Checksum(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::vector<SnapshotEntry> CutSnapshot(const ZoneState& state,
                                       const std::string& id,
                                       size_t most_bytes) {
  const std::string text = state.Snapshot();
  const auto count =
      static_cast<int64_t>((text.size() + most_bytes - 1) / most_bytes);
  std::vector<SnapshotEntry> out;
  for (int64_t i = 0; i < count; ++i) {
    out.push_back(
        {id, state.next_offset() - 1, i, count, Checksum(text),
         text.substr(static_cast<size_t>(i) * most_bytes, most_bytes)});
  }
  return out;
}

void ZoneReplica::OnBatch(const LogBatch& batch) {
  first_retained_ = batch.first;
  if (batch.first > next_) {
    if (!seeking_) ++gaps_;
    seeking_ = true;
    next_ = batch.first;
  }
  for (const LogRecord& record : batch.records) {
    // A snapshot that was just loaded moves `next_` back; the rest of the batch
    // is then read again.
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
  if (!seeking_) state_.Apply(record.offset, envelope.value());
  for (const LogEntry& entry : envelope.value().entries) {
    if (const auto* piece = std::get_if<SnapshotEntry>(&entry))
      OnSnapshotPiece(*piece);
  }
}

void ZoneReplica::OnSnapshotPiece(const SnapshotEntry& piece) {
  if (piece.covers <= last_snapshot_covers_ || piece.count <= 0) return;
  Pieces& pieces = pieces_[piece.id];
  pieces.by_index[piece.index] = piece;
  if (static_cast<int64_t>(pieces.by_index.size()) < piece.count) {
    if (pieces_.size() > kMostOpenSnapshots) pieces_.erase(pieces_.begin());
    return;
  }
  const Pieces complete = std::move(pieces);
  pieces_.erase(piece.id);
  if (seeking_) {
    Load(complete);
  } else {
    last_snapshot_covers_ = piece.covers;
  }
}

void ZoneReplica::Load(const Pieces& pieces) {
  std::string text;
  for (const auto& [index, piece] : pieces.by_index) text += piece.text;
  const SnapshotEntry& any = pieces.by_index.begin()->second;
  if (Checksum(text) != any.checksum || any.covers + 1 < first_retained_)
    return;
  Result<ZoneState> state = ZoneState::Restore(text);
  if (!state) {
    ++malformed_;
    return;
  }
  state_ = std::move(state.value());
  last_snapshot_covers_ = any.covers;
  next_ = any.covers + 1;
  seeking_ = false;
}

}  // namespace keelbridge
