// Whether a task is to be given up since workers crash under it.
//
// A worker that crashes takes all its runs with it, and does not say which of
// them did it, if any did. What tells them apart is how soon after their start
// the crashes come: a task that crashes its workers is lost early again and
// again, a sound one only by chance. Pure arithmetic on what is on record of
// one task.
//
//   CrashContext around;
//   around.site_workers = 48;
//   double chance = ChanceCrashProbability(absl::Milliseconds(50), around);
//   task.crashes.push_back({run, 50, chance, /*begun=*/true});
//   if (ShouldGiveUp(task.crashes)) ...

#ifndef KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_
#define KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

// A run that went on for this long did not crash its worker by being started:
// nothing that came before counts against its task any more.
constexpr absl::Duration kSoundRunDuration = absl::Seconds(10);
// A crash that comes this soon after a start makes that task a suspect, which
// is started by itself.
constexpr absl::Duration kSuspectCrashWindow = absl::Seconds(2);
// How long a crash counts in the history of its machine, and of the site.
constexpr absl::Duration kMachineCrashWindow = absl::Seconds(60);
constexpr absl::Duration kSiteCrashWindow = absl::Seconds(10);

// What else is known of a crash.
struct CrashContext {
  // Crashes of the same machine within `kMachineCrashWindow`, without this one:
  // a worn machine crashes whatever runs there.
  int earlier_machine_crashes = 0;
  // Crashes of other machines within `kSiteCrashWindow` that ran nothing of the
  // task's step: beside tasks that crash their workers, or on a bad day, sound
  // ones lose theirs often.
  int recent_other_crashes = 0;
  // Workers that were lost at about the same moment and ran nothing of the
  // task's step: what takes many at once is not one task's doing.
  int concurrent_other_losses = 0;
  int site_workers = 1;
};

// The chance that a sound task loses its worker within `ran` of its start.
double ChanceCrashProbability(absl::Duration ran, const CrashContext& context);

// The chance that a sound task meets as many crashes as `crashes` by chance.
double ChanceCrashesProbability(const std::vector<CrashedRun>& crashes);

// Whether the crashes under a task's runs, in a row, are held to be its own
// doing.
bool ShouldGiveUp(const std::vector<CrashedRun>& crashes);

// "3 workers crashed under it, 54, 31 and 40 ms after its starts; ...".
std::string DescribeCrashes(const std::vector<CrashedRun>& crashes);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CRASH_VERDICT_H_
