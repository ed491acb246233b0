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
constexpr absl::Duration kMeanTimeBetweenCrashes = absl::Seconds(60);
// When a run began and when its worker was gone is known this well.
constexpr absl::Duration kTimingError = absl::Milliseconds(100);
// Fewer workers that are lost at once are no wave: two may be two tasks' doing.
constexpr int kMinWaveLosses = 2;
// A task is given up when a sound one would meet its crashes less often than
// this.
constexpr double kMaxChance = 1e-4;
// Crashes before a task is given up, and where it is not sure of two of its
// runs that they had begun. Two may be the doing of what else began there.
constexpr size_t kMinCrashes = 3;
constexpr size_t kMinCrashesUnconfirmed = 4;
// Crashes in a row after which a task is given up whatever the chance, if so
// many of them came early: users take more starts than that for an endless
// repeat. Of the others it may not be known when they came, since the leader
// changed meanwhile.
constexpr size_t kMaxConsecutiveCrashes = 4;
constexpr size_t kMinEarlyCrashes = 3;

}  // namespace

double ChanceCrashProbability(absl::Duration ran, const CrashContext& context) {
  const int workers = std::max(1, context.site_workers);
  const double own_rate = (1 + context.earlier_machine_crashes) /
                          absl::ToDoubleSeconds(kMeanTimeBetweenCrashes);
  const double site_rate = context.recent_other_crashes /
                           (workers * absl::ToDoubleSeconds(kSiteCrashWindow));
  const double time_chance =
      absl::ToDoubleSeconds(ran + kTimingError) * (own_rate + site_rate);
  const bool wave = context.concurrent_other_losses >= kMinWaveLosses;
  const double wave_chance =
      wave ? static_cast<double>(context.concurrent_other_losses) / workers : 0;
  return std::min(1.0, time_chance + wave_chance);
}

// Crashes that come by chance are taken for independent: of `expected` ones on
// average, n or more come with the upper tail of Poisson's distribution.
double ChanceCrashesProbability(const std::vector<CrashedRun>& crashes) {
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

bool ShouldGiveUp(const std::vector<CrashedRun>& crashes) {
  if (crashes.empty()) return false;
  const auto begun = std::count_if(crashes.begin(), crashes.end(),
                                   [](const CrashedRun& c) { return c.begun; });
  const size_t min_crashes = begun >= 2 ? kMinCrashes : kMinCrashesUnconfirmed;
  if (crashes.size() < min_crashes) return false;
  const auto early =
      std::count_if(crashes.begin(), crashes.end(), [](const CrashedRun& c) {
        return absl::Milliseconds(c.ran_ms) < kSuspectCrashWindow;
      });
  return ChanceCrashesProbability(crashes) <= kMaxChance ||
         (crashes.size() >= kMaxConsecutiveCrashes &&
          static_cast<size_t>(early) >= kMinEarlyCrashes);
}

std::string DescribeCrashes(const std::vector<CrashedRun>& crashes) {
  std::vector<std::string> rows;
  rows.reserve(crashes.size());
  for (const CrashedRun& crash : crashes) {
    rows.push_back(absl::StrCat("run ", crash.run, " after ", crash.ran_ms,
                                " ms",
                                crash.begun ? "" : ", not sure to have begun"));
  }
  return absl::StrFormat("%d workers crashed under it: %s; by chance %.1g",
                         crashes.size(), absl::StrJoin(rows, "; "),
                         ChanceCrashesProbability(crashes));
}

}  // namespace keelbridge
