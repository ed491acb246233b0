// Identifies one incarnation of a worker.
//
// A worker may restart under the same name. The new incarnation has no state of
// the previous one, and its clock, the numbers of its ends and the highest
// fencing token it has seen start anew. Therefore knowledge of a worker, orders
// to it and its durable records refer to one incarnation: a name and a start
// time.
//
//   std::string id = WorkerIncarnationId({"i-7f3a", 1791525600123});
//   // id == "i-7f3a@1791525600123"
//   WorkerIncarnation incarnation = ParseWorkerIncarnation(id);

#ifndef KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_
#define KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>

namespace keelbridge {

struct WorkerIncarnation {
  std::string name;           // Later incarnations may have the same name.
  int64_t start_time_ms = 0;  // Wall clock of the worker; 0 if not reported.
};

// Returns text that identifies the incarnation. If its start time is not
// reported, the text is the name alone, as in records of versions without start
// times.
std::string WorkerIncarnationId(const WorkerIncarnation& incarnation);
WorkerIncarnation ParseWorkerIncarnation(const std::string& id);
// Returns whether a later incarnation of the worker may have the same name, so
// that orders to this one may reach it. A platform that reuses names reports
// start times. On any other, each incarnation has a name of its own and refuses
// orders that name another one.
bool HasReusableName(const WorkerIncarnation& incarnation);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_
