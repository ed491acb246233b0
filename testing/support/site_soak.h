// A soak of a site of real processes under faults drawn from a seed: signals to
// nodes, proxies before the store and the workers, outages of the store,
// crashes of workers, in series that overlap (soak_troubles.h). Judged while it
// runs from what callers and workers see (soak_watch.h).
//
//   SoakReport report = RunSiteSoak({.seed = 7, .length = absl::Seconds(20)});
//   CHECK(report.faults.empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_
#define KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::testing {

// Among which kinds of trouble a soak draws.
enum class SoakFaultSet {
  kAll,    // But for the last.
  kFirst,  // The first 18: there were no others when some seeds failed.
  kLater,  // The 9 that came next.
  kFirstAndLater,
  kSilences,      // Those after them: what is open goes silent for good.
  kWorkers,       // Then: tasks that crash their workers, workers that shrink.
  kRestarts,      // Then: workers that start again under their ids.
  kLateRestarts,  // The last: the same, with orders that come late.
};

struct SoakOptions {
  uint64_t seed = 1;
  int nodes = 4;
  int workers = 6;
  absl::Duration length = absl::Seconds(15);  // Faults are drawn for so long.
  absl::Duration settle = absl::Seconds(60);  // Then everything must end.
  int max_faults = 6;
  SoakFaultSet kinds = SoakFaultSet::kAll;
};

struct SoakReport {
  std::vector<std::string> faults;  // Broken promises, in words.
  std::vector<std::string> events;  // What was done, with times.
  size_t accepted = 0;
  size_t refused = 0;
  size_t unknown = 0;  // Calls without a certain answer.
  size_t runs = 0;
  size_t read_calls = 0;            // Calls that only looked.
  absl::Duration max_change_delay;  // See ConfigurationCheck.
  std::string logs;                 // The folder with the nodes' logs.
};

SoakReport RunSiteSoak(const SoakOptions& options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_
