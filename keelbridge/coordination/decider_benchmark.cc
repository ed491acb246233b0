// Measures the cost of a decision at several sizes of the cell, for `Decider`
// and for `NaiveDecider`. The cell is nearly full and changes steadily.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/decider.h"
#include "testing/workload/naive_decider.h"

namespace keelbridge {
namespace {

constexpr int kTeams = 39;
// About 18,000 tasks on 1,100 workers.
constexpr int kTasksPerWorker = 16;

TaskSpec RandomTask(std::mt19937_64& random) {
  const auto pick = [&random](int a, int b) {
    return std::uniform_int_distribution<int>(a, b)(random);
  };
  TaskSpec spec;
  const int cores = pick(1, 6);
  spec.need = {cores * 1000, cores * 1024 * pick(1, 2),
               pick(0, 9) == 0 ? 1 : 0};
  spec.team = static_cast<int16_t>(pick(0, kTeams - 1));
  spec.work_class = static_cast<WorkClass>(pick(1, 3));
  spec.duration_ms = pick(1000, 600000);
  spec.checkpoints = true;
  return spec;
}

size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Decider MakeCell(int workers, double headroom = 0.04) {
  DeciderOptions options = DeciderOptions::ForPolicy(PolicyKind::kWaitingFirst);
  options.headroom = headroom;
  Decider decider(options);
  for (int t = 0; t < kTeams; ++t)
    decider.AddTeam(absl::StrCat("t", t), 1.0 / kTeams);
  for (int w = 0; w < workers; ++w) {
    decider.AddWorker(absl::StrCat("w", w), absl::StrCat("r", w / 8),
                      {64000, 131072, 2});
  }
  return decider;
}

// Per iteration, one task ends, one is submitted, and one decision is made.
void BM_Placement(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  std::mt19937_64 random(7);
  const size_t before = HeapBytes();
  Decider decider = MakeCell(workers);
  std::vector<TaskHandle> running;
  int64_t now = 0;
  const auto decide = [&] {
    for (const Order& order : decider.Decide(now, 50)) {
      if (order.kind == Order::Kind::kStart) running.push_back(order.task);
    }
  };
  while (running.size() < static_cast<size_t>(workers) * kTasksPerWorker) {
    decider.Submit(RandomTask(random), now);
    decide();
    if (decider.waiting() > 100) break;
  }
  const size_t bytes = HeapBytes() - before;
  const int64_t placed = decider.counts().placements;
  const int64_t examined_before = decider.counts().examined;
  std::vector<double> times;
  for (auto _ : state) {
    const auto start = std::chrono::steady_clock::now();
    now += 3;
    const size_t i =
        std::uniform_int_distribution<size_t>(0, running.size() - 1)(random);
    const TaskHandle ended = running[i];
    running[i] = running.back();
    running.pop_back();
    decider.OnEnded(ended, now);
    decider.Submit(RandomTask(random), now);
    decide();
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - start)
                        .count());
  }
  std::sort(times.begin(), times.end());
  state.counters["p99_us"] = times[times.size() * 99 / 100];
  state.counters["running"] = static_cast<double>(running.size());
  state.counters["waiting"] = static_cast<double>(decider.waiting());
  state.counters["state_MB"] = static_cast<double>(bytes) / 1e6;
  state.counters["looked_at"] =
      static_cast<double>(decider.counts().examined - examined_before) /
      std::max<double>(
          1, static_cast<double>(decider.counts().placements - placed));
  state.counters["placed_per_s"] = benchmark::Counter(
      static_cast<double>(decider.counts().placements - placed),
      benchmark::Counter::kIsRate);
}
BENCHMARK(BM_Placement)
    ->Arg(50)
    ->Arg(200)
    ->Arg(1100)
    ->Arg(4400)
    ->Iterations(20000)
    ->Unit(benchmark::kMicrosecond);

void BM_NaivePlacement(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  std::mt19937_64 random(7);
  testing::NaiveDecider naive;
  for (int w = 0; w < workers; ++w) naive.AddWorker({64000, 131072, 2});
  std::vector<TaskHandle> running;
  while (naive.waiting() == 0) {
    naive.Submit(RandomTask(random));
    for (const auto& [task, worker] : naive.Decide()) running.push_back(task);
  }
  const int64_t examined_before = naive.examined;
  int64_t placed = 0;
  for (auto _ : state) {
    const size_t i =
        std::uniform_int_distribution<size_t>(0, running.size() - 1)(random);
    naive.OnEnded(running[i]);
    running[i] = running.back();
    running.pop_back();
    naive.Submit(RandomTask(random));
    for (const auto& [task, worker] : naive.Decide()) {
      running.push_back(task);
      ++placed;
    }
  }
  state.counters["looked_at"] =
      static_cast<double>(naive.examined - examined_before) /
      std::max<double>(1, static_cast<double>(placed));
  state.counters["placed_per_s"] = benchmark::Counter(
      static_cast<double>(placed), benchmark::Counter::kIsRate);
}
BENCHMARK(BM_NaivePlacement)
    ->Arg(50)
    ->Arg(200)
    ->Arg(1100)
    ->Arg(4400)
    ->Iterations(3000)
    ->Unit(benchmark::kMicrosecond);

// Submits an urgent task to a full cell, which requires a search for victims.
void BM_Yield(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  std::mt19937_64 random(7);
  Decider decider = MakeCell(workers, 0);
  int64_t now = 0;
  for (int i = 0; i < workers * 24; ++i) {
    TaskSpec spec = RandomTask(random);
    spec.work_class = WorkClass::kBulk;
    decider.Submit(spec, now);
  }
  (void)decider.Decide(now, workers * 30);
  now += 60000;
  std::vector<double> times;
  for (auto _ : state) {
    TaskSpec spec = RandomTask(random);
    spec.need.cpu_milli = 8000;
    spec.work_class = WorkClass::kUrgent;
    spec.duration_ms = 1000;
    const auto start = std::chrono::steady_clock::now();
    const TaskHandle urgent = decider.Submit(spec, now);
    const std::vector<Order> orders = decider.Decide(now, 1);
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - start)
                        .count());
    for (const Order& order : orders) {
      if (order.kind == Order::Kind::kPreempt)
        decider.OnStopped(order.task, 0, now);
    }
    decider.OnEnded(urgent, now);
    // The preempted tasks fill the cell again.
    (void)decider.Decide(now, 50);
    now += 40;
  }
  std::sort(times.begin(), times.end());
  state.counters["yields"] = static_cast<double>(decider.counts().preempted);
  state.counters["p99_us"] = times[times.size() * 99 / 100];
}
BENCHMARK(BM_Yield)->Arg(50)->Arg(1100)->Iterations(2000)->Unit(
    benchmark::kMicrosecond);

}  // namespace
}  // namespace keelbridge
