// Durable records of the workers that a leader may have assigned tasks to, for
// later leaders.
//
// The platform's list of workers may miss a worker that still runs, for example
// after an outage. A leader assigns tasks only to a worker whose record is
// durable, so that the next leader knows which workers to observe before it
// starts a task again.
//
//   Record record = KnownWorkerRecord({worker, epoch});
//   std::optional<KnownWorker> known = ParseKnownWorker(record);

#ifndef KEELBRIDGE_STATE_KNOWN_WORKERS_H_
#define KEELBRIDGE_STATE_KNOWN_WORKERS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/state/leader_time.h"

namespace keelbridge {

struct KnownWorker {
  WorkerRecord worker;
  // Epoch of the latest leader that may have assigned tasks to the worker or
  // extended its lease. A record without an epoch may be of any leader.
  int64_t epoch = std::numeric_limits<int64_t>::max();
  // The worker has reported that it drains and runs nothing, and the leader of
  // `epoch` assigns no more tasks to it.
  bool retired = false;
  // Every long-running task that may run on the worker unobserved has a
  // persisted placement. False after a leader whose software version persists
  // no placements: such a leader rewrites this record when it assigns tasks to
  // the worker, but records no placement in any job.
  bool persists_placements = false;
  // The only tasks of the leader of `epoch` and of earlier leaders that may
  // still run on the worker. Set once the worker has reported that it drains
  // and the leader assigns no more tasks to it. If empty, any task may run on a
  // worker that is not retired.
  std::vector<TaskId> last_tasks{};
  // The worker was restarted under the same name.
  bool restarted = false;
  // The record cannot be read: only the worker's id is known.
  bool unreadable = false;
  // By this time the last lease of the worker has expired. No leader extends it
  // before a record without this time is durable.
  std::optional<LeaderTime> lease_over{};
};

std::string KnownWorkerKey(const std::string& worker_id);
bool IsKnownWorkerKey(const std::string& key);
Record KnownWorkerRecord(const KnownWorker& known);
// Returns nullopt if `record` is of another kind or drops a worker. If the
// record cannot be read, the result holds only the id, which is in the key: any
// leader may have used that worker.
std::optional<KnownWorker> ParseKnownWorker(const Record& record);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_KNOWN_WORKERS_H_
