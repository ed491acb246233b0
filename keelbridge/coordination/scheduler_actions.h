// What a scheduler decides, for its driver to carry out.
//
//   for (const Action& action : scheduler.TakeActions()) {
//     if (const auto* start = std::get_if<StartAction>(&action))
//       workers.Start(start->worker, start->order, done);
//   }

#ifndef KEELBRIDGE_COORDINATION_SCHEDULER_ACTIONS_H_
#define KEELBRIDGE_COORDINATION_SCHEDULER_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

// A node that can ask for advice.
struct AdviserNode {
  std::string name;
  std::string zone;
};

// What a scheduler knows of such a node. Times are of the steady clock.
struct Adviser {
  std::string node;
  std::string zone;
  bool short_only = false;  // Takes only short calls.
  absl::Time busy_until = absl::InfinitePast();
  absl::Time avoid_until = absl::InfinitePast();
};

// Sends the order to start a run to a worker. `call` is the number of the call,
// unique in a term, by which its answer is recognized (see OpenCalls); so for
// the other calls.
struct StartAction {
  WorkerRecord worker;
  StartOrder order;
  int64_t call = 0;
  absl::Time sent;  // By the steady clock, when it was decided to send it.
};
// Sends the order to stop a run to a worker.
struct StopAction {
  WorkerRecord worker;
  StopOrder order;
  int64_t call = 0;
};
// Sends an observation to a worker: asks what runs there and what has ended.
struct ObserveAction {
  WorkerRecord worker;
  ObserveOrder order;
  int64_t call = 0;
};
// Has a node ask the platform for admission advice.
struct AskAdviceAction {
  int64_t call = 0;
  std::string adviser;  // The node that makes the call.
  AdviceRequest request;
  // For each worker in the request: the CPU, in thousandths of a processor,
  // that the step expects to use there.
  std::vector<int32_t> expected_cpu_milli;
  absl::Duration timeout;
};
// Writes a log line: what was decided, about which object, and from which
// inputs.
struct LogAction {
  Severity severity = Severity::kInfo;
  std::string event;
  LogFields fields;
};
// Closes the connections to a worker that the scheduler has forgotten.
struct ForgetWorkerAction {
  std::string worker_id;
};
using Action = std::variant<StartAction, StopAction, ObserveAction,
                            AskAdviceAction, LogAction, ForgetWorkerAction>;

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SCHEDULER_ACTIONS_H_
