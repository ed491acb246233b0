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
constexpr double kMostChance = 1e-4;
// Crashes before a task is given up, and where it is not sure of two of its
// runs that they had begun. Two may be the doing of what else began there.
constexpr size_t kFewest = 3;
constexpr size_t kFewestUnsure = 4;
// Crashes in a row after which a task is given up whatever the chance, if so
// many of them came early: users take more starts than that for an endless
// repeat. Of the others it may not be known when they came, since the leader
// changed meanwhile.
constexpr size_t kMostInRow = 4;
constexpr size_t kEarlyInRow = 3;

}  // namespace

double ChanceOfCrash(absl::Duration ran, const CrashSurroundings& around) {
  const int workers = std::max(1, around.site_workers);
  const double own_rate =
      (1 + around.earlier_on_machine) / absl::ToDoubleSeconds(kBetweenCrashes);
  const double site_rate =
      around.others_lately / (workers * absl::ToDoubleSeconds(kCrashesLately));
  const double by_time =
      absl::ToDoubleSeconds(ran + kTimingError) * (own_rate + site_rate);
  const bool wave = around.others_at_once >= kFewestInWave;
  const double by_wave =
      wave ? static_cast<double>(around.others_at_once) / workers : 0;
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
  const size_t fewest = begun >= 2 ? kFewest : kFewestUnsure;
  if (crashes.size() < fewest) return false;
  const auto early =
      std::count_if(crashes.begin(), crashes.end(), [](const CrashedRun& c) {
        return absl::Milliseconds(c.ran_ms) < kSuspectWithin;
      });
  return ChanceOfAll(crashes) <= kMostChance ||
         (crashes.size() >= kMostInRow &&
          static_cast<size_t>(early) >= kEarlyInRow);
}

std::string CrashEvidence(const std::vector<CrashedRun>& crashes) {
  std::vector<std::string> rows;
  rows.reserve(crashes.size());
  for (const CrashedRun& crash : crashes) {
    rows.push_back(absl::StrCat("run ", crash.run, " after ", crash.ran_ms,
                                " ms",
                                crash.begun ? "" : ", not sure to have begun"));
  }
  return absl::StrFormat("%d workers crashed under it: %s; by chance %.1g",
                         crashes.size(), absl::StrJoin(rows, "; "),
                         ChanceOfAll(crashes));
}

}  // namespace keelbridge
