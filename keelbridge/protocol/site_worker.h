// The messages between a site and its workers, independent of their encoding.
//
// Orders carry a fencing token: a worker refuses an order whose token is lower
// than the highest one it has seen. All runs on a worker share one lease, which
// ends at an absolute time of the worker's own steady clock. That clock may run
// up to 2% slow.

#ifndef KEELBRIDGE_PROTOCOL_SITE_WORKER_H_
#define KEELBRIDGE_PROTOCOL_SITE_WORKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// One incarnation of a worker, as the worker describes itself.
struct WorkerRecord {
  std::string id;  // Of this incarnation; see `WorkerIncarnationId`.
  std::string machine;
  std::string address;
  std::string zone;
  std::string pool;
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool draining = false;
  // The least time until a draining worker leaves; -1 if not reported.
  int64_t leaves_in_ms = -1;
};

// How long to wait for the answer to an order if answer times have not been
// observed yet.
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(300);

struct StartOrder {
  TaskId task;
  int32_t run = 0;
  std::string payload;
  std::string checkpoint;  // "": from the beginning.
  std::string ticket;      // From the advice service; "": none needed.
  int64_t lease_until_ms = 0;
  int64_t fence = 0;
  // After this time the order counts as unanswered.
  absl::Duration timeout = kOrderTimeout;
};

struct StopOrder {
  TaskId task;
  int32_t run = 0;
  int64_t fence = 0;
  absl::Duration timeout = kOrderTimeout;
};

// The result of an order.
enum class OrderResult {
  kDone,
  kFenced,  // The worker has seen a higher fencing token.
  kOldRun,  // The same or a later run was stopped or has ended on the worker.
  kLate,    // The lease had expired when the order arrived.
  kNoCapacity,
  kBadTicket,
  // Another incarnation of the worker answered: the addressed one is gone.
  kOtherIncarnation,
  kUnhealthy,  // The worker refused the order and did nothing.
  kInvalid,    // The worker does not understand the order.
  kNotSent,    // No byte was sent: the order is never executed.
  kUnknown,    // No answer: the order may have been executed, or may be later.
  // No byte was sent, because this node had no connection to send it on, or the
  // relay took no more orders. It is never executed, and it says nothing of the
  // worker.
  kNotAttempted,
};

const char* OrderResultName(OrderResult result);

struct OrderReply {
  OrderResult result = OrderResult::kUnknown;
  int64_t clock_ms = -1;  // The worker's clock; -1 if not reported.
  std::string message;    // Why there was no answer, for logs.
  // The id of the incarnation that answered, if it is not the addressed one or
  // if the addressed id has no start time. Otherwise empty; also empty if the
  // worker did not report it.
  std::string incarnation;
};

struct RunningTask {
  TaskId task;
  int32_t run = 0;
  std::string checkpoint;
  int32_t percent = 0;
};

// How a run ended. `kLapsed`: the worker's lease expired. `kBroken`: another
// member of the run's gang ended. `kAlone`: the run waited for the other
// members of its gang until the gang timeout.
enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };
const char* RunEndName(RunEnd end);

struct EndedTask {
  int64_t number = 0;  // Counts from 1 in each incarnation.
  TaskId task;
  int32_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct ObserveOrder {
  int64_t fence = 0;
  int64_t ends_acknowledged = 0;  // Ends up to this number may be forgotten.
  int64_t lease_until_ms = 0;     // 0: leave the lease unchanged.
  int64_t wait_ms = 0;            // How long the worker may wait for an end.
  // How long to wait for the answer in addition to `wait_ms`.
  absl::Duration timeout = absl::Milliseconds(400);
};

struct ObserveReply {
  OrderReply order;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // The worker may have more ends than fit into this answer.
  bool more_ends = false;
};

// Sends orders to workers. All calls and callbacks are on the thread of the
// event loop.
class WorkerOrders {
 public:
  virtual ~WorkerOrders() = default;
  virtual void Start(const WorkerRecord& worker, const StartOrder& order,
                     std::function<void(OrderReply)> done) = 0;
  virtual void Stop(const WorkerRecord& worker, const StopOrder& order,
                    std::function<void(OrderReply)> done) = 0;
  virtual void Observe(const WorkerRecord& worker, const ObserveOrder& order,
                       std::function<void(ObserveReply)> done) = 0;
  // Closes the connections to a worker that is gone. Calls in flight may still
  // be answered.
  virtual void Forget(const std::string& worker_id) = 0;
};

struct AdviceRequest {
  TaskId step;  // The index is not used.
  std::vector<std::string> workers;
};

struct AdviceTicket {
  std::string worker;
  std::string ticket;
};

struct AdviceReply {
  bool answered = false;
  bool overloaded = false;
  // Tickets for the workers that may run the step.
  std::vector<AdviceTicket> eligible;
};

// Asks which workers may run a step. The service answers one call at a time for
// each calling machine.
class AdviceService {
 public:
  virtual ~AdviceService() = default;
  virtual void Ask(const AdviceRequest& request, absl::Duration timeout,
                   std::function<void(AdviceReply)> done) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_SITE_WORKER_H_
