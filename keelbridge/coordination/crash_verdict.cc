#include "keelbridge/coordination/crash_verdict.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace keelbridge {
namespace {

// Lower bound, with a wide margin, on the mean time between crashes of a sound
// machine. Hosts fail about five times a year.
constexpr absl::Duration kMeanTimeBetweenCrashes = absl::Seconds(60);
// Error of the measured time from the start of a run to the loss of its worker.
constexpr absl::Duration kTimingError = absl::Milliseconds(100);
// Minimum number of other workers lost at the same time that counts as a wave.
// A single one may be lost to a different task.
constexpr int kMinWaveLosses = 2;
// A task is given up if the probability that a sound task has this many crashes
// by chance is at most this.
constexpr double kMaxChance = 1e-4;
// Minimum number of crashes before a task is given up: kMinCrashes if at least
// two of the runs are known to have begun, otherwise kMinCrashesUnconfirmed.
// Two crashes may be caused by other tasks that began on the same workers.
constexpr size_t kMinCrashes = 3;
constexpr size_t kMinCrashesUnconfirmed = 4;
// A task is given up after kMaxConsecutiveCrashes consecutive crashes, whatever
// their probability, if at least kMinEarlyCrashes of them came early, because
// users consider more starts than that an endless repetition. The time of the
// other crashes may be unknown because the leader changed in between.
constexpr size_t kMaxConsecutiveCrashes = 4;
constexpr size_t kMinEarlyCrashes = 3;
// Crashes of a single machine do not show whether the task or the machine is
// the cause: a machine may go down and up by turns. Users accept two more
// starts of a task after three crashes, and the crash of one start may have
// been lost with its leader.
constexpr size_t kMinCrashesOfOneMachine = 4;

bool AreTooMany(const std::vector<CrashedRun>& crashes) {
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

bool AreOfOneMachine(const std::vector<CrashedRun>& crashes) {
  const std::string& machine = crashes.front().machine;
  return !machine.empty() && std::all_of(crashes.begin(), crashes.end(),
                                         [&](const CrashedRun& crash) {
                                           return crash.machine == machine;
                                         });
}

}  // namespace

double ChanceCrashProbability(absl::Duration ran, const CrashContext& context) {
  const int workers = std::max(1, context.site_workers);
  const double own_rate = (1 + context.earlier_machine_crashes) /
                          absl::ToDoubleSeconds(kMeanTimeBetweenCrashes);
  const double site_rate = context.recent_other_crashes /
                           (workers * absl::ToDoubleSeconds(kSiteCrashWindow));
  const double time_chance = absl::ToDoubleSeconds(ran + kTimingError) *
                             (own_rate + site_rate) *
                             std::max(1, context.run_workers);
  const bool wave = context.concurrent_other_losses >= kMinWaveLosses;
  const double wave_chance =
      wave ? static_cast<double>(context.concurrent_other_losses) / workers : 0;
  return std::min(1.0, time_chance + wave_chance);
}

// Chance crashes are modeled as independent: given an expected number of them,
// the number that occurs has a Poisson distribution. The result is the upper
// tail, the probability of n or more crashes.
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

CrashVerdict JudgeCrashes(const std::vector<CrashedRun>& crashes) {
  if (!AreTooMany(crashes)) return CrashVerdict::kTryAgain;
  const bool machine_may_be_cause =
      crashes.size() < kMinCrashesOfOneMachine && AreOfOneMachine(crashes);
  return machine_may_be_cause ? CrashVerdict::kTryAgainLater
                              : CrashVerdict::kGiveUp;
}

bool ShouldGiveUp(const std::vector<CrashedRun>& crashes) {
  return JudgeCrashes(crashes) == CrashVerdict::kGiveUp;
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
