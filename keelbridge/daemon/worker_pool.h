// Sends commands to workers on a few threads and returns the replies through a
// callback.
//
// Commands to workers that did not answer their previous command use separate
// threads, so that an unreachable rack does not delay the others.
//
//   WorkerPool pool(12, absl::Seconds(1),
//                   [&](WorkerCall call, WorkerAnswer answer) {
//                     replies.Push(...);
//                   });
//   pool.SetAddresses({{"w1", "10.0.0.1:80"}});
//   if (!pool.Send({command, sent_at})) ...

#ifndef KEELBRIDGE_DAEMON_WORKER_POOL_H_
#define KEELBRIDGE_DAEMON_WORKER_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "keelbridge/base/bounded_queue.h"
#include "keelbridge/coordination/zone_scheduler.h"
#include "keelbridge/protocol/platform_clients.h"

namespace keelbridge {

using WorkerCommand = std::variant<SendHold, SendStart, SendStop>;

struct WorkerCall {
  WorkerCommand command;
  absl::Time sent_at;  // Monotonic time, taken before the command was queued.
};

// `std::monostate` if the worker did not answer.
using WorkerAnswer = std::variant<std::monostate, HoldReply, CommandReply>;

class WorkerPool {
 public:
  using Done = std::function<void(WorkerCall, WorkerAnswer)>;

  WorkerPool(size_t threads, absl::Duration timeout, Done done);
  ~WorkerPool();

  void SetAddresses(const std::map<std::string, std::string>& addresses);
  // Returns false if too many commands are queued; the command is then not
  // sent.
  bool Send(WorkerCall call);
  void Stop();

 private:
  static constexpr size_t kMaxQueuedCalls = 8192;

  void Run(BoundedQueue<WorkerCall>& queue);
  std::shared_ptr<WorkerClient> ClientFor(const std::string& worker);
  void RecordAnswer(const std::string& worker, bool answered);

  const absl::Duration timeout_;
  const Done done_;
  BoundedQueue<WorkerCall> calls_{kMaxQueuedCalls};
  BoundedQueue<WorkerCall> unresponsive_calls_{kMaxQueuedCalls};
  absl::Mutex mutex_;
  std::map<std::string, std::string> addresses_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<WorkerClient>> clients_
      ABSL_GUARDED_BY(mutex_);
  std::set<std::string> unresponsive_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_WORKER_POOL_H_
