#include "keelbridge/coordination/crash_verdict.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace keelbridge {
namespace {

// A sound machine crashes no more often than this, with a wide margin: hosts
// fail some five times a year.
constexpr absl::Duration kBetweenCrashes = absl::Seconds(60);
// When a run began and when its worker was gone is known this well.
constexpr absl::Duration kTimingError = absl::Milliseconds(100);
// Fewer workers that are lost at once are no wave: two may be two tasks' doing.
constexpr int kFewestInWave = 2;
// A task is given up when a sound one would meet its crashes less often than
// this.
constexpr double kMostChance = 1e-3;
// Crashes before a task is given up: where nothing else on the last worker can
// have done it, where something can, and where it is not sure of two of its
// runs that they had begun.
constexpr size_t kFewestAlone = 2;
constexpr size_t kFewest = 3;
constexpr size_t kFewestUnsure = 4;
// Early crashes in a row after which a task is given up whatever the chance:
// users take more starts than that for an endless repeat.
constexpr size_t kMostEarly = 5;

}  // namespace

double ChanceOfCrash(absl::Duration ran, const CrashSurroundings& around) {
  const absl::Duration between =
      kBetweenCrashes / (1 + around.earlier_on_machine);
  const double by_time = absl::FDivDuration(ran + kTimingError, between);
  const bool wave = around.others_at_once >= kFewestInWave;
  const double by_wave = wave ? static_cast<double>(around.others_at_once) /
                                    std::max(1, around.site_workers)
                              : 0;
  return std::min(1.0, by_time + by_wave);
}

// Crashes that come by chance are taken for independent: of `expected` ones on
// average, n or more come with the upper tail of Poisson's distribution.
double ChanceOfAll(const std::vector<CrashedRun>& crashes) {
  double expected = 0;
  for (const CrashedRun& crash : crashes) expected += crash.chance;
  double fewer = 0;
  double term = std::exp(-expected);
  for (size_t n = 0; n < crashes.size(); ++n) {
    fewer += term;
    term *= expected / static_cast<double>(n + 1);
  }
  return std::max(0.0, 1 - fewer);
}

bool GivesUpAfter(const std::vector<CrashedRun>& crashes) {
  if (crashes.empty()) return false;
  const auto begun = std::count_if(crashes.begin(), crashes.end(),
                                   [](const CrashedRun& c) { return c.begun; });
  const bool sure = static_cast<size_t>(begun) >= kFewestAlone;
  const size_t fewest = !sure                  ? kFewestUnsure
                        : crashes.back().alone ? kFewestAlone
                                               : kFewest;
  if (crashes.size() < fewest) return false;
  const auto early =
      std::count_if(crashes.begin(), crashes.end(), [](const CrashedRun& c) {
        return absl::Milliseconds(c.ran_ms) < kSuspectWithin;
      });
  return ChanceOfAll(crashes) <= kMostChance ||
         static_cast<size_t>(early) >= kMostEarly;
}

std::string CrashEvidence(const std::vector<CrashedRun>& crashes) {
  std::vector<std::string> rows;
  for (const CrashedRun& crash : crashes) {
    rows.push_back(absl::StrCat("run ", crash.run, " after ", crash.ran_ms,
                                " ms", crash.alone ? ", alone there" : "",
                                crash.begun ? "" : ", not sure to have begun"));
  }
  return absl::StrFormat("%d workers crashed under it: %s; by chance %.1g",
                         crashes.size(), absl::StrJoin(rows, "; "),
                         ChanceOfAll(crashes));
}

}  // namespace keelbridge
