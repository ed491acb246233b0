// What is known about whether a request was executed.
//
// Only `kDidNotRun` permits a retry of a request that must not be repeated.
//
//   if (verdict == Verdict::kDidNotRun || service.repeatable) Retry();

#ifndef KEELBRIDGE_PROTOCOL_VERDICT_H_
#define KEELBRIDGE_PROTOCOL_VERDICT_H_

#include "keelbridge/transport/http_client.h"

namespace keelbridge {

enum class Verdict {
  // The request did not run and never will: no byte of it was sent, or the
  // target refused it.
  kDidNotRun,
  kMayHaveRun,  // It may have run, may be running, or may still run.
  kRan,         // It ran, and the answer is complete.
};

// The header that reports the verdict to callers, and the refusal of a target
// to the gateway.
constexpr char kVerdictHeader[] = "Keelbridge-Verdict";
constexpr char kRequestIdHeader[] = "Keelbridge-Request-Id";
constexpr char kAttemptHeader[] = "Keelbridge-Attempt";
constexpr char kDeadlineHeader[] = "Keelbridge-Deadline-Ms";
constexpr char kTicketHeader[] = "Keelbridge-Ticket";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
constexpr char kTeamHeader[] = "Keelbridge-Team";

// Returns "DidNotRun", "MayHaveRun" or "Ran".
inline const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kDidNotRun:
      return "DidNotRun";
    case Verdict::kMayHaveRun:
      return "MayHaveRun";
    case Verdict::kRan:
      return "Ran";
  }
  return "MayHaveRun";
}

// Returns the verdict on a request that received no answer.
inline Verdict VerdictFromFailure(SendFailure failure) {
  return NothingWasSent(failure) ? Verdict::kDidNotRun : Verdict::kMayHaveRun;
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_VERDICT_H_
