// keelbridge-soak: runs soak tests of a site, one seed after the other.
//
//   build/keelbridge-soak --first=1 --seeds=50 --length=15s

#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "testing/support/site_soak.h"

ABSL_FLAG(uint64_t, first, 1, "first seed");
ABSL_FLAG(uint64_t, seeds, 10, "number of seeds");
ABSL_FLAG(absl::Duration, length, absl::Seconds(15),
          "for how long faults are injected");
ABSL_FLAG(int, nodes, 4, "nodes");
ABSL_FLAG(int, workers, 6, "workers");
ABSL_FLAG(int, faults, 6, "maximum number of faults per seed");
ABSL_FLAG(std::string, kinds, "all",
          "set of fault kinds: all, first, later, first-and-later, silences, "
          "workers, restarts, late-restarts");
ABSL_FLAG(bool, notes, false,
          "also print the events of seeds without a failure");

namespace {

using keelbridge::testing::SoakFaultSet;

SoakFaultSet ParseFaultSet(const std::string& name) {
  if (name == "first") return SoakFaultSet::kFirst;
  if (name == "later") return SoakFaultSet::kLater;
  if (name == "first-and-later") return SoakFaultSet::kFirstAndLater;
  if (name == "workers") return SoakFaultSet::kWorkers;
  if (name == "restarts") return SoakFaultSet::kRestarts;
  if (name == "late-restarts") return SoakFaultSet::kLateRestarts;
  return name == "silences" ? SoakFaultSet::kSilences : SoakFaultSet::kAll;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const uint64_t first = absl::GetFlag(FLAGS_first);
  const uint64_t last = first + absl::GetFlag(FLAGS_seeds);
  int failed = 0;
  for (uint64_t seed = first; seed < last; ++seed) {
    keelbridge::testing::SoakOptions options;
    options.seed = seed;
    options.length = absl::GetFlag(FLAGS_length);
    options.nodes = absl::GetFlag(FLAGS_nodes);
    options.workers = absl::GetFlag(FLAGS_workers);
    options.max_faults = absl::GetFlag(FLAGS_faults);
    options.kinds = ParseFaultSet(absl::GetFlag(FLAGS_kinds));
    const auto report = keelbridge::testing::RunSiteSoak(options);
    std::cout << "seed " << seed << ": " << report.violations.size()
              << " faults, " << report.accepted << " accepted, "
              << report.refused << " refused, " << report.unknown
              << " unknown, " << report.runs << " runs, "
              << report.events.size() << " events, " << report.read_calls
              << " read calls, slowest change "
              << absl::ToInt64Milliseconds(report.max_change_delay) << " ms"
              << std::endl;
    if (!report.violations.empty()) ++failed;
    if (report.violations.empty() && !absl::GetFlag(FLAGS_notes)) continue;
    std::cout << "  logs: " << report.logs << "\n";
    for (const std::string& what : report.events)
      std::cout << "  " << what << "\n";
    for (const std::string& violation : report.violations)
      std::cout << "  " << violation << "\n";
  }
  std::cout << failed << " of " << last - first << " seeds failed\n";
  return failed == 0 ? 0 : 1;
}
