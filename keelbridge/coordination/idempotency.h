// Executes each request at most once, even if a caller or the load balancer
// sends it again through another entry host.
//
// The caller chooses one of two mechanisms:
//
// - A *ticket* is issued by one incarnation of a gateway. Only that incarnation
//   dispatches the request with this ticket, once; other gateways forward the
//   request to it. Tickets do not need the log. Once that incarnation has
//   ended, the verdict is MayHaveRun and nothing is dispatched.
// - An *idempotency key* is claimed in the log before dispatch. The gateway
//   whose claim comes first in the log dispatches the request. Keys survive the
//   gateway and need the log.
//
//   TicketTable tickets("gw-1", incarnation);
//   std::string text = tickets.Issue(now);
//   Result<Ticket> ticket = TicketFromText(text);
//   if (tickets.Use(ticket.value(), now) == TicketUse::kFirst) Dispatch();

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

// The contents of a ticket.
struct Ticket {
  std::string gateway;  // Name of the entry host that issued it.
  uint64_t incarnation = 0;
  uint64_t number = 0;
  int64_t expires_ms = 0;  // Wall clock time of the issuer.
};

std::string TicketToText(const Ticket& ticket);
Result<Ticket> TicketFromText(const std::string& text);

enum class TicketUse {
  kFirst,  // The ticket is unused: dispatch the request.
  kUsed,   // The request was or may have been dispatched.
};

// Tracks the tickets that one incarnation of a gateway has issued and which of
// them are used. Performs no I/O and reads no clock.
class TicketTable {
 public:
  TicketTable(std::string gateway, uint64_t incarnation,
              absl::Duration lifetime = absl::Minutes(10))
      : gateway_(std::move(gateway)),
        incarnation_(incarnation),
        lifetime_(lifetime) {}

  std::string Issue(absl::Time wall);
  bool IssuedByThisIncarnation(const Ticket& ticket) const {
    return ticket.incarnation == incarnation_;
  }
  // Marks a ticket as used. Requires IssuedByThisIncarnation(ticket).
  TicketUse Use(const Ticket& ticket, absl::Time wall);
  // Makes the ticket usable again, because its request did not run.
  void Release(const Ticket& ticket) {
    used_.erase({ticket.expires_ms, ticket.number});
  }
  size_t size() const { return used_.size(); }

 private:
  const std::string gateway_;
  const uint64_t incarnation_;
  const absl::Duration lifetime_;
  uint64_t next_ = 0;
  // Expiry time and number of each used ticket. Entries are dropped on expiry,
  // because an expired ticket is refused by its expiry time.
  std::set<std::pair<int64_t, uint64_t>> used_;
};

// Tracks the owners of idempotency keys from the claims stream of the log.
// Performs no I/O and reads no clock.
class ClaimTable {
 public:
  enum class Owner { kNobody, kSelf, kOther };

  explicit ClaimTable(uint64_t incarnation) : incarnation_(incarnation) {}

  void OnBatch(const LogBatch& batch);
  int64_t next() const { return next_; }
  bool caught_up() const { return caught_up_; }
  // Returns true if the log holds this envelope or a later one of the same
  // writer.
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
