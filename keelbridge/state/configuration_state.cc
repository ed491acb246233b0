#include "keelbridge/state/configuration_state.h"

#include <algorithm>
#include <utility>

namespace keelbridge {

void ConfigurationState::OnBatch(const LogBatch& batch) {
  first_retained_ = batch.first;
  if (batch.first > next_) {
    history_complete_ = false;
    next_ = batch.first;
  }
  for (const LogRecord& record : batch.records) {
    if (record.offset != next_) break;
    ++next_;
    Result<Envelope> envelope = EnvelopeFromText(record.text);
    if (!envelope) continue;
    if (!writers_.Accept(envelope.value().id, record.offset)) continue;
    for (const LogEntry& entry : envelope.value().entries) {
      if (const auto* configuration = std::get_if<ConfigurationEntry>(&entry))
        Apply(record.offset, *configuration);
    }
  }
  caught_up_ = next_ >= batch.next;
}

void ConfigurationState::Apply(int64_t offset,
                               const ConfigurationEntry& entry) {
  if (entry.version >= 0) {
    // A renewal repeats a configuration that was accepted before, under its
    // original version.
    if (entry.version == current_.version)
      newest_record_offset_ = std::max(newest_record_offset_, offset);
    if (entry.version > current_.version)
      Adopt(entry.version, entry.text, offset, Transition::kLaterVersion);
    return;
  }
  if (offset <= current_.version) return;  // Already received from a peer.
  // If no configuration is known and records were dropped, this record may have
  // lost a race against one that is dropped. Wait for a renewal instead: its
  // writer knew that the version is in force.
  const bool first_ever =
      current_.version == -1 && entry.base == -1 && history_complete_;
  const bool follows = current_.version != -1 && entry.base == current_.version;
  if (!first_ever && !follows) {
    ++refused_;
    return;
  }
  Adopt(offset, entry.text, offset, Transition::kDirectSuccessor);
}

void ConfigurationState::Adopt(int64_t version, const std::string& text,
                               int64_t newest_record_offset,
                               Transition transition) {
  Result<Configuration> next = ParseConfiguration(text, "configuration");
  std::string why;
  const bool checked =
      transition == Transition::kDirectSuccessor && current_.version != -1;
  if (!next || (checked && !MajoritiesOverlap(current_, next.value(), &why))) {
    ++refused_;
    return;
  }
  current_ = std::move(next.value());
  current_.version = version;
  newest_record_offset_ = newest_record_offset;
}

bool ConfigurationState::OnPeer(int64_t version, const std::string& text) {
  if (version <= current_.version) return false;
  Result<Configuration> next =
      ParseConfiguration(text, "configuration from a peer");
  if (!next) return false;
  // The overlap of majorities is not checked here: the peer checked each
  // version, and this host may have missed some of them.
  current_ = std::move(next.value());
  current_.version = version;
  return true;
}

}  // namespace keelbridge
