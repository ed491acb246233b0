#include "keelbridge/coordination/crash_verdict.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

std::vector<CrashedRun> Crashes(int count, absl::Duration ran,
                                const CrashSurroundings& around = {}) {
  std::vector<CrashedRun> out;
  out.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.push_back({i + 1, absl::ToInt64Milliseconds(ran),
                   ChanceOfCrash(ran, around), /*begun=*/true});
  }
  return out;
}

TEST_CASE("crash verdict: early crashes tell, late ones do not") {
  CHECK_FALSE(GivesUpAfter({}));
  CHECK_FALSE(GivesUpAfter(Crashes(1, absl::Milliseconds(10))));
  // Two may be its neighbours' doing.
  CHECK_FALSE(GivesUpAfter(Crashes(2, absl::Milliseconds(10))));
  CHECK(GivesUpAfter(Crashes(3, absl::Milliseconds(10))));
  CHECK_FALSE(GivesUpAfter(Crashes(3, absl::Seconds(9))));
}

TEST_CASE("crash verdict: what crashes often tells less of a task") {
  CrashSurroundings worn;
  worn.earlier_on_machine = 19;
  CHECK_FALSE(GivesUpAfter(Crashes(3, absl::Seconds(1), worn)));
  CrashSurroundings wave;
  wave.others_at_once = 7;
  wave.site_workers = 48;
  CHECK_FALSE(GivesUpAfter(Crashes(3, absl::Milliseconds(10), wave)));
  // One other worker may be lost to another task: that is no wave.
  wave.others_at_once = 1;
  CHECK(GivesUpAfter(Crashes(3, absl::Milliseconds(10), wave)));
}

TEST_CASE("crash verdict: early crashes without end are ended all the same") {
  CrashSurroundings all;
  all.earlier_on_machine = 50;
  all.others_at_once = 47;
  all.site_workers = 48;
  CHECK_FALSE(GivesUpAfter(Crashes(3, absl::Milliseconds(10), all)));
  CHECK(GivesUpAfter(Crashes(4, absl::Milliseconds(10), all)));
}

TEST_CASE("crash verdict: runs that may not have begun count less") {
  std::vector<CrashedRun> crashes = Crashes(3, absl::Milliseconds(10));
  for (CrashedRun& crash : crashes) crash.begun = false;
  CHECK_FALSE(GivesUpAfter(crashes));
  crashes.push_back(crashes.back());
  CHECK(GivesUpAfter(crashes));
}

TEST_CASE("crash verdict: the chance is the tail of Poisson's distribution") {
  std::vector<CrashedRun> crashes(2);
  for (CrashedRun& crash : crashes) crash.chance = 0.5;
  // 1 - e^-1 (1 + 1)
  CHECK(ChanceOfAll(crashes) == doctest::Approx(0.264241));
  CHECK(ChanceOfAll({}) == doctest::Approx(1));
}

TEST_CASE("crash verdict: the evidence names each run") {
  CHECK(CrashEvidence({{4, 54, 0.002, true}, {5, 31, 0.002, false}}) ==
        "2 workers crashed under it: run 4 after 54 ms; run 5 after 31 ms, "
        "not sure to have begun; by chance 8e-06");
}

}  // namespace
}  // namespace keelbridge
