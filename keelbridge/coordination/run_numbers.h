// Numbers of the runs of a task.
//
// Each leader's epoch has its own range of run numbers. The ranges rise with
// the epoch and do not overlap, so a later leader never reuses a number.
//
//   int32_t run = std::max(task.run + 1, FirstRunOfEpoch(epoch));
//   int64_t ordered_by = EpochOfRun(run);

#ifndef KEELBRIDGE_COORDINATION_RUN_NUMBERS_H_
#define KEELBRIDGE_COORDINATION_RUN_NUMBERS_H_

#include <cstdint>

namespace keelbridge {

int32_t FirstRunOfEpoch(int64_t epoch);
// Returns the epoch of the leader that ordered the run.
int64_t EpochOfRun(int32_t run);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_RUN_NUMBERS_H_
