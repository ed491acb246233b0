// What is known about whether a request ran.
//
// Only `kDidNotRun` allows another try of a request that must not be repeated.
//
//   if (verdict == Verdict::kDidNotRun || service.repeatable) Retry();

#ifndef KEELBRIDGE_PROTOCOL_VERDICT_H_
#define KEELBRIDGE_PROTOCOL_VERDICT_H_

#include "keelbridge/transport/http_client.h"

namespace keelbridge {

enum class Verdict {
  kDidNotRun,  // It did not run and will not: no byte of it left, or the target
               // refused it.
  kMayHaveRun,  // It may have run, may be running, or may still run.
  kRan,         // It ran, and this is its whole answer.
};

// The header that carries the verdict to callers, and a target's own refusal to
// the gateway.
constexpr char kVerdictHeader[] = "Keelbridge-Verdict";
constexpr char kRequestIdHeader[] = "Keelbridge-Request-Id";
constexpr char kAttemptHeader[] = "Keelbridge-Attempt";
constexpr char kDeadlineHeader[] = "Keelbridge-Deadline-Ms";
constexpr char kTicketHeader[] = "Keelbridge-Ticket";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
constexpr char kTeamHeader[] = "Keelbridge-Team";

// "DidNotRun", "MayHaveRun" or "Ran".
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

// The verdict on a request that got no answer.
inline Verdict VerdictFromFailure(SendFailure failure) {
  return failure == SendFailure::kNothingSent ? Verdict::kDidNotRun
                                              : Verdict::kMayHaveRun;
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_VERDICT_H_
