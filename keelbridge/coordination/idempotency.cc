#include "keelbridge/coordination/idempotency.h"

#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace keelbridge {

std::string TicketToText(const Ticket& ticket) {
  return absl::StrFormat("%016x.%d.%d.%s", ticket.incarnation, ticket.number,
                         ticket.expires_ms, ticket.gateway);
}

Result<Ticket> TicketFromText(const std::string& text) {
  const std::vector<std::string> parts =
      absl::StrSplit(text, absl::MaxSplits('.', 3));
  Ticket ticket;
  const bool ok =
      parts.size() == 4 && absl::SimpleHexAtoi(parts[0], &ticket.incarnation) &&
      absl::SimpleAtoi(parts[1], &ticket.number) &&
      absl::SimpleAtoi(parts[2], &ticket.expires_ms) && !parts[3].empty();
  if (!ok) {
    return MakeError(ErrorCode::kInvalid,
                     "malformed ticket; get one with POST /keelbridge/ticket "
                     "and send it unchanged");
  }
  ticket.gateway = parts[3];
  return ticket;
}

std::string TicketTable::Issue(absl::Time wall) {
  return TicketToText(
      {gateway_, incarnation_, ++next_, absl::ToUnixMillis(wall + lifetime_)});
}

TicketUse TicketTable::Use(const Ticket& ticket, absl::Time wall) {
  const int64_t now_ms = absl::ToUnixMillis(wall);
  while (!used_.empty() && used_.begin()->first < now_ms)
    used_.erase(used_.begin());
  const bool issued = ticket.number >= 1 && ticket.number <= next_;
  if (!issued || ticket.expires_ms < now_ms) return TicketUse::kUsed;
  return used_.emplace(ticket.expires_ms, ticket.number).second
             ? TicketUse::kFirst
             : TicketUse::kUsed;
}

void ClaimTable::OnBatch(const LogBatch& batch) {
  if (batch.first > next_) next_ = batch.first;
  while (!by_offset_.empty() && by_offset_.front().first < batch.first) {
    // The log no longer retains this record. Keys are guaranteed only for the
    // log's retention time.
    const auto it = owners_.find(by_offset_.front().second);
    if (it != owners_.end() && it->second.offset == by_offset_.front().first)
      owners_.erase(it);
    by_offset_.pop_front();
  }
  for (const LogRecord& record : batch.records) {
    if (record.offset != next_) break;
    ++next_;
    Result<Envelope> envelope = EnvelopeFromText(record.text);
    if (!envelope) continue;
    if (!writers_.Accept(envelope.value().id, record.offset)) continue;
    for (const LogEntry& entry : envelope.value().entries) {
      if (const auto* claim = std::get_if<KeyClaimEntry>(&entry)) {
        if (!owners_
                 .try_emplace(claim->key, Claim{claim->gateway, record.offset})
                 .second)
          continue;
        by_offset_.emplace_back(record.offset, claim->key);
      } else if (const auto* release = std::get_if<KeyReleaseEntry>(&entry)) {
        const auto it = owners_.find(release->key);
        if (it != owners_.end() && it->second.gateway == release->gateway)
          owners_.erase(it);
      }
    }
  }
  caught_up_ = next_ >= batch.next;
}

ClaimTable::Owner ClaimTable::OwnerOf(const std::string& key) const {
  const auto it = owners_.find(key);
  if (it == owners_.end()) return Owner::kNobody;
  return it->second.gateway == incarnation_ ? Owner::kSelf : Owner::kOther;
}

}  // namespace keelbridge
