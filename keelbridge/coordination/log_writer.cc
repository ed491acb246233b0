#include "keelbridge/coordination/log_writer.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

constexpr int kMaxBackoffDoublings = 10;

// Estimates the size of an entry, to limit the size of envelopes. Only
// snapshots and configurations are large.
size_t SizeOf(const LogEntry& entry) {
  if (const auto* snapshot = std::get_if<SnapshotEntry>(&entry))
    return snapshot->text.size();
  if (const auto* configuration = std::get_if<ConfigurationEntry>(&entry))
    return configuration->text.size();
  constexpr size_t kSmallEntry = 128;
  return kSmallEntry;
}

}  // namespace

bool LogWriter::Add(LogEntry entry) {
  if (queue_.size() >= options_.max_queued_entries) return false;
  queue_.push_back(std::move(entry));
  return true;
}

std::optional<Envelope> LogWriter::Next(absl::Time now) {
  if (awaiting_answer_ || now < next_send_at_) return std::nullopt;
  if (!in_flight_) {
    if (queue_.empty()) return std::nullopt;
    Envelope envelope;
    envelope.id = {options_.incarnation, ++sequence_};
    size_t bytes = 0;
    while (!queue_.empty() &&
           envelope.entries.size() < options_.max_envelope_entries) {
      bytes += SizeOf(queue_.front());
      if (!envelope.entries.empty() && bytes > options_.max_envelope_bytes)
        break;
      envelope.entries.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    in_flight_ = std::move(envelope);
  }
  awaiting_answer_ = true;
  ++appends_;
  return in_flight_;
}

void LogWriter::OnAnswer(std::optional<int64_t> offset, absl::Time now) {
  awaiting_answer_ = false;
  if (offset) {
    in_flight_.reset();
    failures_ = 0;
    next_send_at_ = now + options_.append_interval;
    return;
  }
  ++failures_;
  next_send_at_ = now + NextBackoff();
}

void LogWriter::OnSeenInLog(absl::Time now) {
  if (!unacknowledged()) return;
  in_flight_.reset();
  failures_ = 0;
  next_send_at_ = now + options_.append_interval;
}

absl::Duration LogWriter::NextBackoff() {
  const int doublings = std::min(failures_ - 1, kMaxBackoffDoublings);
  const absl::Duration max_delay = std::min(
      options_.initial_backoff * (1 << doublings), options_.max_backoff);
  return max_delay * std::uniform_real_distribution<double>(0.5, 1.0)(random_);
}

}  // namespace keelbridge
