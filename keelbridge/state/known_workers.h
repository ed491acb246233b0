// The workers that a leader may have given work to, kept for later leaders.
//
// The platform's list of workers may miss one that still runs, for example
// after an outage. A leader gives work only to a worker whose record here is
// durable, so that the next one knows whom to ask before it starts anything
// again.
//
//   Record record = KnownWorkerRecord(worker);
//   std::optional<WorkerRecord> worker = KnownWorkerFrom(record);

#ifndef KEELBRIDGE_STATE_KNOWN_WORKERS_H_
#define KEELBRIDGE_STATE_KNOWN_WORKERS_H_

#include <optional>
#include <string>

#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

std::string KnownWorkerKey(const std::string& worker_id);
bool IsKnownWorkerKey(const std::string& key);
Record KnownWorkerRecord(const WorkerRecord& worker);
// None when `record` is another kind of record, or cannot be read.
std::optional<WorkerRecord> KnownWorkerFrom(const Record& record);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_KNOWN_WORKERS_H_
