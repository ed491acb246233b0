// Crashes of workers that a scheduler remembers for a while, to tell tasks that
// crash their workers from tasks that only ran there.
//
//   std::deque<PastCrash> recent_crashes;
//   recent_crashes.push_back({now, worker.id, worker.machine});

#ifndef KEELBRIDGE_COORDINATION_CRASH_HISTORY_H_
#define KEELBRIDGE_COORDINATION_CRASH_HISTORY_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/coordination/crash_verdict.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

// A crash of a worker that is attributed to a task.
struct CrashAttribution {
  TaskId task;
  int32_t run;
  absl::Duration ran;
  CrashContext context;
};

struct PastCrash {
  absl::Time lost;
  std::string worker;
  std::string machine;
  // A suspect task had been started on the worker shortly before.
  bool caused_by_suspect;
  std::set<TaskId> steps;  // Steps that ran there; the task index is 0.
  std::vector<CrashAttribution> attributions;  // Made for this crash.
};

// Which of the runs on a lost worker may have crashed it.
struct SuspectCriteria {
  // Only runs that were shorter than this when the worker was lost.
  absl::Duration max_run_duration = absl::InfiniteDuration();
  bool begun_only = false;  // Only runs that are known to have begun.
};

// A crash, or a possible crash, of a worker.
struct WorkerCrash {
  absl::Time lost;  // The time of the first sign of the crash.
  // Recorded crashes of the same machine that no suspect task explains.
  int earlier_machine_crashes = 0;
  SuspectCriteria criteria;
};

// The runs that were lost with an unresponsive worker.
struct UnresponsiveLoss {
  std::string worker;
  std::vector<std::pair<TaskId, CrashedRun>> runs;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CRASH_HISTORY_H_
