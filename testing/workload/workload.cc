#include "testing/workload/workload.h"

#include <algorithm>
#include <random>

namespace keelbridge::testing {
namespace {

constexpr int64_t kSecond = 1000;
constexpr int64_t kMinute = 60 * kSecond;
// Tasks with more memory would not fit on any worker.
constexpr int kMaxGib = 120;

// One kind of task. The properties of each task are drawn uniformly from the
// ranges.
struct TaskKind {
  WorkClass work_class;
  int team;
  double share;  // Share of all processors used at load 1.
  int min_cores, max_cores;
  int min_gib_per_core, max_gib_per_core;
  double accelerator_share;
  int64_t min_ms, max_ms;
  double deadline_factor;  // Deadline in estimated durations; 0: none.
  bool checkpoints;
  int burst;  // Number of tasks that arrive together.
};

class Generator {
 public:
  Generator(const WorkloadOptions& options, Workload& out)
      : options_(options), out_(out), random_(options.seed) {
    for (const Resources& worker : out.workers)
      cores_ += worker.cpu_milli / 1000.0;
  }

  // Adds services that occupy `share` of all processors throughout the run.
  void AddServices(double share, int team) {
    int32_t group = 0;
    for (double allocated_cores = 0; allocated_cores < share * cores_;
         ++group) {
      const int replicas = DrawUniform(3, 9);
      const int cores = DrawUniform(1, 4);
      for (int i = 0; i < replicas; ++i) {
        Arrival arrival;
        arrival.spec.need = {cores * 1000, cores * 2048, 0};
        arrival.spec.group = group;
        arrival.spec.team = static_cast<int16_t>(team);
        arrival.spec.work_class = WorkClass::kInteractive;
        arrival.spec.spread = true;
        allocated_cores += cores;
        out_.arrivals.push_back(arrival);
      }
    }
  }

  void AddTasks(const TaskKind& kind) {
    const double mean_cores = (kind.min_cores + kind.max_cores) / 2.0;
    const double mean_ms = static_cast<double>(kind.min_ms + kind.max_ms) / 2;
    // Arrivals per millisecond that result in this kind's share of the load.
    const double rate =
        options_.load * kind.share * cores_ / (mean_cores * mean_ms);
    std::exponential_distribution<double> gap(rate / kind.burst);
    for (double at = gap(random_); at < static_cast<double>(options_.length_ms);
         at += gap(random_)) {
      for (int i = 0; i < kind.burst; ++i)
        AddTask(kind, static_cast<int64_t>(at));
    }
  }

  void Finish() {
    std::stable_sort(
        out_.arrivals.begin(), out_.arrivals.end(),
        [](const Arrival& a, const Arrival& b) { return a.at_ms < b.at_ms; });
  }

 private:
  int DrawUniform(int min_value, int max_value) {
    return std::uniform_int_distribution<int>(min_value, max_value)(random_);
  }

  void AddTask(const TaskKind& kind, int64_t at) {
    Arrival arrival;
    arrival.at_ms = at;
    const int cores = DrawUniform(kind.min_cores, kind.max_cores);
    const int gib = std::min(
        kMaxGib,
        cores * DrawUniform(kind.min_gib_per_core, kind.max_gib_per_core));
    const bool accelerated =
        std::bernoulli_distribution(kind.accelerator_share)(random_);
    arrival.spec.need = {cores * 1000, gib * 1024, accelerated ? 1 : 0};
    arrival.spec.team = static_cast<int16_t>(kind.team);
    arrival.spec.work_class = kind.work_class;
    arrival.spec.checkpoints = kind.checkpoints;
    arrival.spec.duration_ms = std::uniform_int_distribution<int64_t>(
        kind.min_ms, kind.max_ms)(random_);
    arrival.spec.estimate_error = 0.25;
    const double duration_factor = std::uniform_real_distribution<double>(
        0.8, std::max(1.2, options_.max_duration_factor))(random_);
    arrival.actual_ms = std::max<int64_t>(
        1, static_cast<int64_t>(static_cast<double>(arrival.spec.duration_ms) *
                                duration_factor));
    if (kind.deadline_factor > 0) {
      arrival.spec.deadline_ms =
          at +
          static_cast<int64_t>(static_cast<double>(arrival.spec.duration_ms) *
                               kind.deadline_factor);
    }
    out_.arrivals.push_back(arrival);
  }

  const WorkloadOptions& options_;
  Workload& out_;
  std::mt19937_64 random_;
  double cores_ = 0;
};

void AddWorkers(Workload& out, int count, int32_t memory_gib,
                int accelerator_every) {
  for (int i = 0; i < count; ++i) {
    const int accelerators =
        i % accelerator_every == 0 ? 2 * accelerator_every / 2 : 0;
    out.workers.push_back(
        {64000, memory_gib * 1024, std::min(accelerators, 4)});
  }
}

}  // namespace

Workload PictureDesk(const WorkloadOptions& options) {
  Workload out;
  out.name = "picture-desk";
  out.policy = PolicyKind::kWaitingFirst;
  out.workers_per_rack = 8;
  out.quotas = {0.4, 0.3, 0.3};
  out.length_ms = options.length_ms;
  AddWorkers(out, options.workers, 128, 2);
  Generator generator(options, out);
  generator.AddServices(0.2, 0);
  generator.AddTasks({WorkClass::kUrgent, 0, 0.02, 2, 8, 1, 2, 0, 10 * kSecond,
                      60 * kSecond, 0, false, 4});
  generator.AddTasks({WorkClass::kInteractive, 2, 0.13, 1, 4, 1, 2, 0,
                      2 * kSecond, 20 * kSecond, 0, false, 40});
  generator.AddTasks({WorkClass::kStandard, 1, 0.30, 4, 16, 1, 3, 0.5,
                      2 * kMinute, 10 * kMinute, 4, true, 6});
  generator.AddTasks({WorkClass::kBulk, 1, 0.35, 2, 8, 1, 2, 0, 5 * kMinute,
                      20 * kMinute, 0, true, 20});
  generator.Finish();
  return out;
}

Workload Conversion(const WorkloadOptions& options) {
  Workload out;
  out.name = "conversion";
  out.policy = PolicyKind::kPackingFirst;
  out.workers_per_rack = 6;
  out.quotas = {0.3, 0.3, 0.4};
  out.length_ms = options.length_ms;
  AddWorkers(out, options.workers, 256, 5);
  Generator generator(options, out);
  generator.AddServices(0.08, 0);
  generator.AddTasks({WorkClass::kUrgent, 0, 0.01, 1, 4, 1, 4, 0, 5 * kSecond,
                      30 * kSecond, 0, false, 2});
  generator.AddTasks({WorkClass::kInteractive, 0, 0.06, 1, 2, 1, 4, 0,
                      1 * kSecond, 5 * kSecond, 0, false, 10});
  generator.AddTasks({WorkClass::kStandard, 1, 0.30, 4, 24, 1, 8, 0,
                      1 * kMinute, 8 * kMinute, 6, true, 10});
  generator.AddTasks({WorkClass::kBulk, 2, 0.55, 8, 48, 2, 6, 0.1, 5 * kMinute,
                      20 * kMinute, 0, true, 15});
  generator.Finish();
  return out;
}

}  // namespace keelbridge::testing
