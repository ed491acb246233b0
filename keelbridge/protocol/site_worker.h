// What workers of a site tell and are told, apart from how it travels.
//
// Orders carry a fence: a worker does nothing for a lower one than it has seen.
// All that runs on a worker is under one lease, an absolute time on the
// worker's own steady clock, which may run up to 2% slow.

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

// One life of a worker, as it describes itself.
struct WorkerRecord {
  std::string id;  // Of this life; see WorkerIncarnationId.
  std::string machine;
  std::string address;
  std::string zone;
  std::string pool;
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool draining = false;
  int64_t leaves_in_ms =
      -1;  // While it drains: the least time left; -1: unsaid.
};

// How long the answer to an order is waited for where nothing is known of how
// long answers take.
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(300);

struct StartOrder {
  TaskId task;
  int32_t run = 0;
  std::string payload;
  std::string checkpoint;  // "": from the beginning.
  std::string ticket;      // Of the advice; "": none needed.
  int64_t lease_until_ms = 0;
  int64_t fence = 0;
  absl::Duration timeout = kOrderTimeout;  // Then it counts as unanswered.
};

struct StopOrder {
  TaskId task;
  int32_t run = 0;
  int64_t fence = 0;
  absl::Duration timeout = kOrderTimeout;
};

// How an order was answered.
enum class OrderResult {
  kDone,
  kFenced,  // The worker has seen a higher fence.
  kOldRun,  // A run as high was stopped or ended there.
  kLate,    // The lease had passed when the order arrived.
  kNoCapacity,
  kBadTicket,
  kOtherIncarnation,  // Another life of the worker answered: the one meant is
                      // gone.
  kUnhealthy,         // The worker refused and did nothing.
  kInvalid,           // The worker does not understand the order.
  kNotSent,           // No byte left: it was not carried out and will not be.
  kUnknown,           // No answer: it may have been, or may be later.
};

const char* OrderResultName(OrderResult result);

struct OrderReply {
  OrderResult result = OrderResult::kUnknown;
  int64_t clock_ms = -1;  // The worker's clock; -1: not told.
  std::string message;    // Why there was no answer, for logs.
  // The id of the life that answered, when it is not the one that was asked, or
  // when the asked id tells of no birth; empty: as asked, or not told.
  std::string incarnation;
};

struct RunningTask {
  TaskId task;
  int32_t run = 0;
  std::string checkpoint;
  int32_t percent = 0;
};

// How a run ended.
enum class RunEnd { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };
const char* RunEndName(RunEnd end);

struct EndedTask {
  int64_t number = 0;  // Rises from 1 within a life of the worker.
  TaskId task;
  int32_t run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

struct ObserveOrder {
  int64_t fence = 0;
  int64_t ends_acknowledged = 0;  // Ends up to here may be forgotten.
  int64_t lease_until_ms = 0;     // 0: do not touch the lease.
  int64_t wait_ms = 0;            // How long the answer may wait for an end.
  // How long to wait for the answer beyond that.
  absl::Duration timeout = absl::Milliseconds(400);
};

struct ObserveReply {
  OrderReply order;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  // The worker may hold more ends than this answer had room for.
  bool more_ends = false;
};

// Carries orders to workers. All calls and callbacks on the loop's thread.
class WorkerOrders {
 public:
  virtual ~WorkerOrders() = default;
  virtual void Start(const WorkerRecord& worker, const StartOrder& order,
                     std::function<void(OrderReply)> done) = 0;
  virtual void Stop(const WorkerRecord& worker, const StopOrder& order,
                    std::function<void(OrderReply)> done) = 0;
  virtual void Observe(const WorkerRecord& worker, const ObserveOrder& order,
                       std::function<void(ObserveReply)> done) = 0;
  // Closes the connections to a worker that is gone.
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
  std::vector<AdviceTicket> good;
};

// Asks which workers may run a step. One call at a time is answered for each
// machine that asks.
class AdviceService {
 public:
  virtual ~AdviceService() = default;
  virtual void Ask(const AdviceRequest& request, absl::Duration timeout,
                   std::function<void(AdviceReply)> done) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_SITE_WORKER_H_
