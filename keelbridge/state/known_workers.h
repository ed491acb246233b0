// The workers that a leader may have given work to, kept for later leaders.
//
// The platform's list of workers may miss one that still runs, for example
// after an outage. A leader gives work only to a worker whose record here is
// durable, so that the next one knows whom to ask before it starts anything
// again.
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

namespace keelbridge {

struct KnownWorker {
  WorkerRecord worker;
  // Of the last leader that may have given it work or extended its lease. A
  // record that names none may be anybody's.
  int64_t epoch = std::numeric_limits<int64_t>::max();
  // It says that it leaves and runs nothing, and that leader gives it nothing
  // any more.
  bool retired = false;
  // Whatever may run there unseen and lasts has its placement on record. Not so
  // after a leader of a version that kept none: it writes this record anew when
  // it gives the worker work, and no job's.
  bool persists_placements = false;
  // It says that it leaves, and that leader gives it nothing any more: of that
  // leader's and earlier ones' tasks only these may run there. Empty: any may,
  // if it is not closed.
  std::vector<TaskId> last_tasks{};
  // It started again under the name that it had.
  bool restarted = false;
  // The record cannot be read: only the worker's id is known.
  bool unreadable = false;
};

std::string KnownWorkerKey(const std::string& worker_id);
bool IsKnownWorkerKey(const std::string& key);
Record KnownWorkerRecord(const KnownWorker& known);
// None when `record` is another kind of record, or drops one. Of one that
// cannot be read the id is known, from its key: any leader may have used that
// worker.
std::optional<KnownWorker> ParseKnownWorker(const Record& record);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_KNOWN_WORKERS_H_
