// Short seeded soaks; more seeds by hand: build/keelbridge-soak --seeds=50.

#include "testing/support/site_soak.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace keelbridge::testing {
namespace {

void CheckSeed(uint64_t seed) {
  SoakOptions options;
  options.seed = seed;
  options.length = absl::Seconds(8);
  const SoakReport report = RunSiteSoak(options);
  CAPTURE(seed);
  CAPTURE(absl::StrJoin(report.happened, "\n"));
  CAPTURE(absl::StrJoin(report.faults, "\n"));
  CHECK(report.faults.empty());
  CHECK(report.accepted > 0);
}

TEST_CASE("soak: two short seeds") {
  CheckSeed(1);
  CheckSeed(2);
}

}  // namespace
}  // namespace keelbridge::testing
