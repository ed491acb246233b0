// Claims idempotency keys in the log for callers that wait, many claims in one
// append.
//
//   ClaimService desk(log, incarnation, timeout, gateways);
//   ClaimService::Answer answer = desk.Claim(key, deadline);   // On the
//   caller's thread. desk.Step();                                            //
//   On the duty's thread.

#ifndef KEELBRIDGE_DAEMON_CLAIM_SERVICE_H_
#define KEELBRIDGE_DAEMON_CLAIM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "keelbridge/base/bounded_queue.h"
#include "keelbridge/coordination/idempotency.h"
#include "keelbridge/coordination/log_writer.h"
#include "keelbridge/protocol/platform_clients.h"

namespace keelbridge {

// `Claim` and `Release` are thread-safe; `Step` runs on one thread.
class ClaimService {
 public:
  enum class Answer {
    kGranted,         // Dispatch it: the only run of this key is yours.
    kAlreadyClaimed,  // Somebody claimed it before: it may have run.
    kNotRecorded,  // The log did not take it in time. Nothing was dispatched.
    kBusy,         // Too many wait.
  };

  ClaimService(LogClient& log, uint64_t incarnation, absl::Duration log_timeout,
               absl::Duration append_every);

  Answer Claim(const std::string& key, absl::Duration wait);
  // The request did not run: its key may be claimed again.
  void Release(const std::string& key);

  // Reads and appends what is due. Cheap when nothing waits.
  void Step();
  void SetWaker(std::function<void()> wake) { wake_ = std::move(wake); }

 private:
  static constexpr size_t kMaxQueuedEntries = 4096;
  static constexpr absl::Duration IdlePollInterval() {
    return absl::Seconds(2);
  }

  bool HasWaiters();
  void ReadClaims();
  void AppendNextEnvelope();

  LogClient& log_;
  const uint64_t incarnation_;
  const absl::Duration log_timeout_;
  std::function<void()> wake_;
  BoundedQueue<LogEntry> entries_{kMaxQueuedEntries};
  LogWriter writer_;
  absl::Time next_idle_read_ = absl::InfinitePast();
  absl::Mutex mutex_;
  ClaimTable table_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> local_keys_ ABSL_GUARDED_BY(
      mutex_);  // Keys that this gateway claimed or is claiming.
  size_t waiters_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_CLAIM_SERVICE_H_
