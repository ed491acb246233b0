// Which life of a worker is meant.
//
// A worker that starts again may do so under the name that it had. It then
// knows nothing of before, and its clock, the numbers of its ends and the fence
// that it has seen begin anew. So what is known of a worker, is ordered of it
// and is kept on record is so of one life: its name and when it was born.
//
//   std::string id = WorkerIncarnationId({"i-7f3a", 1791525600123});
//   WorkerIncarnation life = ParseWorkerIncarnation(id);  //
//   "i-7f3a@1791525600123"

#ifndef KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_
#define KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>

namespace keelbridge {

struct WorkerIncarnation {
  std::string name;           // Later lives may have it, too.
  int64_t start_time_ms = 0;  // Wall clock of the worker; 0: not told.
};

// Text that names the life. That of a life whose birth is not told is the name
// itself, as in records of versions that knew no births.
std::string WorkerIncarnationId(const WorkerIncarnation& incarnation);
WorkerIncarnation ParseWorkerIncarnation(const std::string& id);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_WORKER_INCARNATION_H_
