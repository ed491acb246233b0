// Claims idempotency keys in the log on behalf of waiting callers. Many claims
// share one append.
//
//   ClaimService claims(log, incarnation, log_timeout, append_interval);
//   // On a caller's thread:
//   ClaimService::Answer answer = claims.Claim(key, wait);
//   // On the thread of a periodic task:
//   claims.Step();

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
    kGranted,         // Only the caller may dispatch the request of this key.
    kAlreadyClaimed,  // The key was claimed before; its request may have run.
    kNotRecorded,  // The log did not record it in time. Nothing was dispatched.
    kBusy,         // Too many entries are queued.
  };

  ClaimService(LogClient& log, uint64_t incarnation, absl::Duration log_timeout,
               absl::Duration append_interval);

  // Claims `key` and blocks for the result, at most for `wait`.
  Answer Claim(const std::string& key, absl::Duration wait);
  // Releases the key of a request that did not run, so that it may be claimed
  // again.
  void Release(const std::string& key);

  // Reads and appends what is due. Cheap when no caller waits.
  void Step();
  // Sets a function that Claim() calls so that Step() runs soon.
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
  // Keys that this gateway has claimed or is claiming.
  std::set<std::string> local_keys_ ABSL_GUARDED_BY(mutex_);
  size_t waiters_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_CLAIM_SERVICE_H_
