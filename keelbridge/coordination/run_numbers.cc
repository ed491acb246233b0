#include "keelbridge/coordination/run_numbers.h"

namespace keelbridge {
namespace {

constexpr int32_t kRunsPerEpoch = 1000;

}  // namespace

int32_t FirstRunOfEpoch(int64_t epoch) {
  return static_cast<int32_t>(epoch - 1) * kRunsPerEpoch + 1;
}

int64_t EpochOfRun(int32_t run) { return (run - 1) / kRunsPerEpoch + 1; }

}  // namespace keelbridge
