// At most once, also when a caller or the balancer sends the same request again
// at another entry host.
//
// Two ways, chosen by the caller:
//   - a *ticket*, which one gateway run issued: only that run dispatches a
//   request with it, once; other gateways pass
//     the request on to it. Needs no log. When that run is gone the verdict is
//     MayHaveRun, and nothing runs.
//   - an *idempotency key*, claimed in the log before dispatch: whoever's claim
//   is first in the log dispatches.
//     Survives the gateway, needs the log.
//
//   TicketTable tickets(incarnation, "gw-1");
//   std::string ticket = tickets.Issue(now);
//   if (tickets.Use(ticket, now) == TicketUse::kFirst) Dispatch();

#ifndef KEELBRIDGE_COORDINATION_IDEMPOTENCY_H_
#define KEELBRIDGE_COORDINATION_IDEMPOTENCY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/state/envelope_filter.h"

namespace keelbridge {

// What a ticket says of itself.
struct Ticket {
  std::string gateway;  // Name of the entry host that issued it.
  uint64_t incarnation = 0;
  uint64_t number = 0;
  int64_t expires_ms = 0;  // Wall clock of the issuer.
};

std::string TicketToText(const Ticket& ticket);
Result<Ticket> TicketFromText(const std::string& text);

enum class TicketUse {
  kFirst,  // Dispatch it, now or never.
  kUsed,   // It was dispatched before, or may have been.
};

// The tickets that one gateway run issued and saw used. Pure.
class TicketTable {
 public:
  TicketTable(std::string gateway, uint64_t incarnation,
              absl::Duration lifetime = absl::Minutes(10))
      : gateway_(std::move(gateway)),
        incarnation_(incarnation),
        lifetime_(lifetime) {}

  std::string Issue(absl::Time wall);
  bool IssuedByThisRun(const Ticket& ticket) const {
    return ticket.incarnation == incarnation_;
  }
  // Only for tickets of this run.
  TicketUse Use(const Ticket& ticket, absl::Time wall);
  // The request with it did not run: the ticket may be used again.
  void Release(const Ticket& ticket) {
    used_.erase({ticket.expires_ms, ticket.number});
  }
  size_t size() const { return used_.size(); }

 private:
  const std::string gateway_;
  const uint64_t incarnation_;
  const absl::Duration lifetime_;
  uint64_t next_ = 0;
  std::set<std::pair<int64_t, uint64_t>>
      used_;  // Expiry and number; an expired ticket is refused by its date.
};

// Claims of idempotency keys as the log's stream of claims says them. Pure.
class ClaimTable {
 public:
  enum class Owner { kNobody, kSelf, kOther };

  explicit ClaimTable(uint64_t incarnation) : incarnation_(incarnation) {}

  void OnBatch(const LogBatch& batch);
  int64_t next() const { return next_; }
  bool caught_up() const { return caught_up_; }
  // True when the log holds this envelope, or a later one of its writer.
  bool Applied(const EnvelopeId& id) const { return writers_.WasAccepted(id); }
  Owner OwnerOf(const std::string& key) const;
  size_t size() const { return owners_.size(); }

 private:
  struct Claim {
    uint64_t gateway = 0;
    int64_t offset = 0;
  };

  const uint64_t incarnation_;
  absl::flat_hash_map<std::string, Claim> owners_;
  std::deque<std::pair<int64_t, std::string>> by_offset_;
  EnvelopeFilter writers_;
  int64_t next_ = 0;
  bool caught_up_ = false;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_IDEMPOTENCY_H_
