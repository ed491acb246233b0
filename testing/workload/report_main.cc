// Prints the scheduling quality on both workloads as Markdown: the scheduler
// with each of its policies compared with the naive scheduler. scripts/measure
// writes the output to docs/MEASUREMENTS.md.

#include <cstdio>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_format.h"
#include "testing/workload/workload_run.h"

ABSL_FLAG(int, workers, 50, "number of workers");
ABSL_FLAG(int, seeds, 5, "number of seeds to average over");
ABSL_FLAG(double, load, 1.15,
          "offered load as a share of the processors of all workers");
ABSL_FLAG(double, wrong, 1,
          "factor by which actual durations may exceed their estimates");
ABSL_FLAG(bool, sweep, false,
          "also find the largest load that meets all objectives");
ABSL_FLAG(int64_t, minutes, 60, "length of each run in virtual minutes");

namespace keelbridge::testing {
namespace {

void PrintRow(const char* name, const std::vector<Outcome>& outcomes) {
  Outcome sum;
  const double n = static_cast<double>(outcomes.size());
  for (const Outcome& o : outcomes) {
    for (size_t c = 0; c < kWorkClasses; ++c) {
      sum.median_wait[c] += o.median_wait[c];
      sum.p99_wait[c] += o.p99_wait[c];
    }
    sum.deadlines_met += o.deadlines_met / n;
    sum.used_while_waiting += o.used_while_waiting / n;
    sum.work_done += o.work_done / n;
    sum.stranded += o.stranded / n;
    sum.rework_s += o.rework_s / n;
    sum.preempted += o.preempted;
    sum.examined_per_placement += o.examined_per_placement / n;
    for (const std::string& violation : o.violations)
      std::printf("FAULT: %s\n", violation.c_str());
  }
  const auto seconds = [n](int64_t ms) {
    return static_cast<double>(ms) / n / 1000;
  };
  std::printf(
      "| %s | %.2f / %.2f | %.2f / %.2f | %.1f / %.1f | %.1f%% | %.1f%% | %.0f "
      "| %.1f%% | %.0f | %.1f | %.1f |\n",
      name, seconds(sum.median_wait[0]), seconds(sum.p99_wait[0]),
      seconds(sum.median_wait[1]), seconds(sum.p99_wait[1]),
      seconds(sum.median_wait[2]), seconds(sum.p99_wait[2]),
      100 * sum.deadlines_met, 100 * sum.used_while_waiting, sum.work_done,
      100 * sum.stranded, static_cast<double>(sum.preempted) / n,
      sum.rework_s / 3600, sum.examined_per_placement);
}

// Returns whether the service objectives of the deployments are met: 99% of
// urgent tasks start within 2.6 s and 99% of interactive tasks within 2 s, 99%
// of deadlines are met, and every urgent task has started.
bool MeetsObjectives(const Outcome& outcome) {
  return outcome.p99_wait[0] <= 2600 && outcome.p99_wait[1] <= 2000 &&
         outcome.deadlines_met >= 0.99 && outcome.never_started[0] == 0;
}

// Prints, for each policy, the largest load at which all objectives are met,
// and the work done at this load.
void PrintSweep(const char* title, Workload (*make)(const WorkloadOptions&)) {
  std::printf("\n### %s: the most work that is held with all promises kept\n\n",
              title);
  std::printf(
      "| policy | largest load | core hours done | processors used, of all |\n"
      "|---|---|---|---|\n");
  const char* names[] = {"waiting-first", "packing-first", "naive"};
  for (int policy = 0; policy < 3; ++policy) {
    double best_load = 0;
    double best_work = 0;
    double available_core_hours = 0;
    for (double load = 0.6; load < 2.01; load += 0.05) {
      double work = 0;
      bool objectives_met = true;
      for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds) && objectives_met;
           ++seed) {
        WorkloadOptions options;
        options.workers = absl::GetFlag(FLAGS_workers);
        options.seed = static_cast<uint64_t>(seed);
        options.load = load;
        options.length_ms = absl::GetFlag(FLAGS_minutes) * 60000;
        const Workload workload = make(options);
        const Outcome outcome =
            policy == 2
                ? RunNaive(workload)
                : RunWorkload(workload,
                              DeciderOptions::ForPolicy(
                                  policy == 0 ? PolicyKind::kWaitingFirst
                                              : PolicyKind::kPackingFirst));
        objectives_met = MeetsObjectives(outcome);
        work += outcome.work_done / absl::GetFlag(FLAGS_seeds);
        available_core_hours =
            static_cast<double>(workload.workers.size()) * 64 *
            static_cast<double>(absl::GetFlag(FLAGS_minutes)) / 60;
      }
      if (!objectives_met) break;
      best_load = load;
      best_work = work;
    }
    std::printf("| %s | %.2f | %.0f | %.1f%% |\n", names[policy], best_load,
                best_work, 100 * best_work / available_core_hours);
  }
}

void PrintReport(const char* title, Workload (*make)(const WorkloadOptions&)) {
  std::printf(
      "\n### %s, %d workers, load %.2f, estimates wrong by up to %.1f\n\n",
      title, absl::GetFlag(FLAGS_workers), absl::GetFlag(FLAGS_load),
      absl::GetFlag(FLAGS_wrong));
  std::printf(
      "| policy | urgent wait s, median / p99 | interactive wait s | standard "
      "wait s | deadlines kept | processors used "
      "while work waits | core hours done | accelerators stranded | yields | "
      "core hours done again | workers looked at a "
      "placement |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  std::vector<Outcome> waiting_first, packing_first, naive;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    WorkloadOptions options;
    options.workers = absl::GetFlag(FLAGS_workers);
    options.seed = static_cast<uint64_t>(seed);
    options.load = absl::GetFlag(FLAGS_load);
    options.max_duration_factor = absl::GetFlag(FLAGS_wrong);
    options.length_ms = absl::GetFlag(FLAGS_minutes) * 60000;
    const Workload workload = make(options);
    waiting_first.push_back(RunWorkload(
        workload, DeciderOptions::ForPolicy(PolicyKind::kWaitingFirst)));
    packing_first.push_back(RunWorkload(
        workload, DeciderOptions::ForPolicy(PolicyKind::kPackingFirst)));
    naive.push_back(RunNaive(workload));
  }
  PrintRow("waiting-first", waiting_first);
  PrintRow("packing-first", packing_first);
  PrintRow("naive", naive);
}

}  // namespace
}  // namespace keelbridge::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  keelbridge::testing::PrintReport("Picture Desk",
                                   keelbridge::testing::PictureDesk);
  keelbridge::testing::PrintReport("Conversion",
                                   keelbridge::testing::Conversion);
  if (absl::GetFlag(FLAGS_sweep)) {
    keelbridge::testing::PrintSweep("Picture Desk",
                                    keelbridge::testing::PictureDesk);
    keelbridge::testing::PrintSweep("Conversion",
                                    keelbridge::testing::Conversion);
  }
  return 0;
}
