// Runs a soak test of a site of real processes under faults drawn from a seed:
// signals to nodes, faults of the proxies in front of the store and the
// workers, store outages, and worker crashes, in overlapping series
// (soak_fault_injector.h). The site is checked during the test through the
// replies that clients and workers receive (soak_monitor.h).
//
//   SoakReport report = RunSiteSoak({.seed = 7, .length = absl::Seconds(20)});
//   CHECK(report.violations.empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_
#define KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::testing {

// The sets of fault kinds that a soak test draws from. A seed draws the same
// faults only from the same set, so kinds that are added later form a set of
// their own, and failing seeds of the earlier sets stay reproducible.
enum class SoakFaultSet {
  kAll,    // All kinds except those of `kLateRestarts`.
  kFirst,  // The first 18 kinds.
  kLater,  // The next 9 kinds.
  kFirstAndLater,
  kSilences,      // Open connections drop all data for good.
  kWorkers,       // Tasks crash their workers; workers lose capacity.
  kRestarts,      // Workers restart under the same worker ids.
  kLateRestarts,  // Like kRestarts, while orders arrive late.
};

struct SoakOptions {
  uint64_t seed = 1;
  int nodes = 4;
  int workers = 6;
  absl::Duration length = absl::Seconds(15);  // Faults begin within this time.
  // The time after the last fault within which all jobs must end.
  absl::Duration settle = absl::Seconds(60);
  int max_faults = 6;
  SoakFaultSet kinds = SoakFaultSet::kAll;
};

struct SoakReport {
  std::vector<std::string> violations;  // Descriptions of violations.
  std::vector<std::string> events;      // Injected faults, with times.
  size_t accepted = 0;
  size_t refused = 0;
  size_t unknown = 0;  // Jobs with a call whose outcome is not known.
  size_t runs = 0;
  size_t read_calls = 0;            // Calls that only read.
  absl::Duration max_change_delay;  // See `ConfigurationCheck`.
  std::string logs;                 // The directory of the nodes' logs.
};

SoakReport RunSiteSoak(const SoakOptions& options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_SOAK_H_
