// Decides whether a task is given up because workers crash while they run it.
//
// A crashed worker takes all its runs with it and does not say which of them
// caused the crash, if any did. The time from the start of a run to the crash
// distinguishes the two cases: a task that crashes its workers is lost shortly
// after each start, a sound task only by chance. The functions are pure and use
// only the recorded crashes of one task.
//
//   CrashContext context;
//   context.site_workers = 48;
//   double chance = ChanceCrashProbability(absl::Milliseconds(50), context);
//   task.crashes.push_back({run, 50, chance, /*begun=*/true});
//   if (JudgeCrashes(task.crashes) == CrashVerdict::kGiveUp) ...

#ifndef KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_
#define KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

// A run of at least this duration shows that starting the task does not crash
// the worker. Earlier crashes no longer count against the task.
constexpr absl::Duration kSoundRunDuration = absl::Seconds(10);
// A crash within this duration of a start makes the task a suspect. Tasks of a
// step with suspects are started one at a time.
constexpr absl::Duration kSuspectCrashWindow = absl::Seconds(2);
// For how long a crash counts in the history of its machine
// (kMachineCrashWindow) and of the site (kSiteCrashWindow).
constexpr absl::Duration kMachineCrashWindow = absl::Seconds(60);
constexpr absl::Duration kSiteCrashWindow = absl::Seconds(10);

// The circumstances of a crash, other than the run itself.
struct CrashContext {
  // Other crashes of the same machine within `kMachineCrashWindow`. A faulty
  // machine crashes whatever it runs.
  int earlier_machine_crashes = 0;
  // Crashes within `kSiteCrashWindow` of workers on other machines that ran no
  // task of this step. When other tasks crash their workers, or many machines
  // fail, sound tasks often lose their workers too.
  int recent_other_crashes = 0;
  // Workers that were lost at about the same time and ran no task of this step.
  // One task does not cause the simultaneous loss of many workers.
  int concurrent_other_losses = 0;
  int site_workers = 1;
  // Workers that the run was on: several if it is the run of a gang, which is
  // lost with any of them.
  int run_workers = 1;
};

// Returns the probability that a sound task, or gang, loses a worker within
// `ran` of its start.
double ChanceCrashProbability(absl::Duration ran, const CrashContext& context);

// Returns the probability that a sound task has, by chance, at least as many
// crashes as `crashes` lists.
double ChanceCrashesProbability(const std::vector<CrashedRun>& crashes);

enum class CrashVerdict {
  kTryAgain,
  // The task is a suspect, and so is the only machine that it crashed on.
  kTryAgainLater,
  kGiveUp,  // The task crashes its workers.
};

// Judges the consecutive crashes during a task's runs.
CrashVerdict JudgeCrashes(const std::vector<CrashedRun>& crashes);
// Returns whether the crashes are attributed to the task itself.
bool ShouldGiveUp(const std::vector<CrashedRun>& crashes);

// Describes the crashes for an operator, for example "2 workers crashed under
// it: run 4 after 54 ms; run 5 after 31 ms; by chance 8e-06".
std::string DescribeCrashes(const std::vector<CrashedRun>& crashes);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_
