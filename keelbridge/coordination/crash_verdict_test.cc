#include "keelbridge/coordination/crash_verdict.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

std::vector<CrashedRun> Crashes(int count, absl::Duration ran,
                                const CrashContext& context = {}) {
  std::vector<CrashedRun> out;
  out.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.push_back({i + 1, absl::ToInt64Milliseconds(ran),
                   ChanceCrashProbability(ran, context), /*begun=*/true,
                   /*machine=*/""});
  }
  return out;
}

TEST_CASE("crash verdict: early crashes count as evidence, late ones do not") {
  CHECK_FALSE(ShouldGiveUp({}));
  CHECK_FALSE(ShouldGiveUp(Crashes(1, absl::Milliseconds(10))));
  // Two crashes may be caused by other tasks on the same workers.
  CHECK_FALSE(ShouldGiveUp(Crashes(2, absl::Milliseconds(10))));
  CHECK(ShouldGiveUp(Crashes(3, absl::Milliseconds(10))));
  CHECK_FALSE(ShouldGiveUp(Crashes(3, absl::Seconds(9))));
}

TEST_CASE(
    "crash verdict: crashes of faulty machines and waves are weak evidence") {
  CrashContext faulty_machine;
  faulty_machine.earlier_machine_crashes = 19;
  CHECK_FALSE(ShouldGiveUp(Crashes(3, absl::Seconds(1), faulty_machine)));
  CrashContext wave;
  wave.concurrent_other_losses = 7;
  wave.site_workers = 48;
  CHECK_FALSE(ShouldGiveUp(Crashes(3, absl::Milliseconds(10), wave)));
  // A single other loss may be caused by another task, so it is no wave.
  wave.concurrent_other_losses = 1;
  CHECK(ShouldGiveUp(Crashes(3, absl::Milliseconds(10), wave)));
}

// Guards against a sound gang that is given up, because each crash of any of
// its workers counts as if it had been on a single one.
TEST_CASE("crash verdict: a wide gang loses one of its workers more easily") {
  CrashContext gang;
  gang.run_workers = 8;
  CHECK(ShouldGiveUp(Crashes(3, absl::Milliseconds(900))));
  CHECK_FALSE(ShouldGiveUp(Crashes(3, absl::Milliseconds(900), gang)));
  CHECK(ShouldGiveUp(Crashes(3, absl::Milliseconds(10), gang)));
}

// Guards against a sound task that is given up because its machine goes down
// and up by turns.
TEST_CASE("crash verdict: crashes of one machine convict a task later") {
  std::vector<CrashedRun> crashes = Crashes(4, absl::Milliseconds(10));
  for (CrashedRun& crash : crashes) crash.machine = "m";
  CHECK(JudgeCrashes(crashes) == CrashVerdict::kGiveUp);
  crashes.resize(3);
  CHECK(JudgeCrashes(crashes) == CrashVerdict::kTryAgainLater);
  crashes.back().machine = "other";
  CHECK(JudgeCrashes(crashes) == CrashVerdict::kGiveUp);
  crashes.resize(2);
  CHECK(JudgeCrashes(crashes) == CrashVerdict::kTryAgain);
}

TEST_CASE(
    "crash verdict: a task is given up after four early crashes in any case") {
  CrashContext worst_case;
  worst_case.earlier_machine_crashes = 50;
  worst_case.concurrent_other_losses = 47;
  worst_case.site_workers = 48;
  CHECK_FALSE(ShouldGiveUp(Crashes(3, absl::Milliseconds(10), worst_case)));
  CHECK(ShouldGiveUp(Crashes(4, absl::Milliseconds(10), worst_case)));
}

TEST_CASE("crash verdict: runs not known to have begun count less") {
  std::vector<CrashedRun> crashes = Crashes(3, absl::Milliseconds(10));
  for (CrashedRun& crash : crashes) crash.begun = false;
  CHECK_FALSE(ShouldGiveUp(crashes));
  crashes.push_back(crashes.back());
  CHECK(ShouldGiveUp(crashes));
}

TEST_CASE("crash verdict: the chance is the tail of Poisson's distribution") {
  std::vector<CrashedRun> crashes(2);
  for (CrashedRun& crash : crashes) crash.chance = 0.5;
  // 1 - e^-1 (1 + 1)
  CHECK(ChanceCrashesProbability(crashes) == doctest::Approx(0.264241));
  CHECK(ChanceCrashesProbability({}) == doctest::Approx(1));
}

TEST_CASE("crash verdict: the description lists each run") {
  CHECK(
      DescribeCrashes({{4, 54, 0.002, true, ""}, {5, 31, 0.002, false, ""}}) ==
      "2 workers crashed under it: run 4 after 54 ms; run 5 after 31 ms, "
      "not sure to have begun; by chance 8e-06");
}

}  // namespace
}  // namespace keelbridge
