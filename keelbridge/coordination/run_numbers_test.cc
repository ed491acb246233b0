#include "keelbridge/coordination/run_numbers.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("run numbers: the ranges of epochs rise and do not overlap") {
  CHECK(FirstRunOfEpoch(1) == 1);
  for (int64_t epoch = 2; epoch <= 5; ++epoch) {
    CAPTURE(epoch);
    const int32_t first = FirstRunOfEpoch(epoch);
    CHECK(EpochOfRun(first) == epoch);
    CHECK(EpochOfRun(first - 1) == epoch - 1);
  }
}

}  // namespace
}  // namespace keelbridge
