// Measures a decision on a new job, and the answer to a refused one.

#include <benchmark/benchmark.h>

#include <cstdint>

#include "keelbridge/overload/work_admission.h"

namespace keelbridge {
namespace {

constexpr int kPriorities = 6;
constexpr double kCapacity = 70400000;  // 1,100 workers of 64 processors.
constexpr int64_t kEntries = 100000;
const absl::Time kT0 = absl::UnixEpoch() + absl::Hours(1);

absl::Time After(int64_t ms) { return kT0 + absl::Milliseconds(ms); }

WorkAdmission::Request Request(int32_t priority) {
  WorkAdmission::Request job;
  job.rank.priority = priority;
  job.work = {1000, 1};
  job.tasks = 1;
  job.objective = absl::Seconds(3);
  job.chain = absl::Seconds(1);
  job.worth = absl::Seconds(8);
  return job;
}

// Of a site with `steps` waiting steps in two tiers and several priorities.
void FillPass(WorkAdmission& admission, int64_t steps) {
  WaitingWork& waiting = admission.waiting();
  waiting.timely.Clear();
  waiting.late.Clear();
  const int64_t in_each = steps / (int64_t{kPriorities} * 2 * 2);
  for (int32_t p = 0; p < kPriorities; ++p) {
    for (const bool over_share : {false, true}) {
      for (int64_t i = 0; i < in_each; ++i) {
        const WorkRank rank{p, over_share};
        waiting.timely.Add(rank, After(i), {50000, 4});
        waiting.late.Add(rank, After(i), {50000, 4});
      }
    }
  }
}

void BM_Decide(benchmark::State& state) {
  WorkAdmission admission(WorkAdmission::Options{});
  for (int32_t p = 0; p < kPriorities; ++p) {
    admission.rate().AddRun(p, 10000000, absl::Seconds(1));
    admission.rate().OnArrival(p, 1000, kT0);
  }
  for (int64_t ms = 0; ms <= 4000; ms += 100) {
    FillPass(admission, state.range(0));
    admission.OnPlacementPass({kCapacity, 60, true}, 0, After(ms));
  }
  int32_t priority = 0;
  for (auto _ : state) {
    priority = (priority + 1) % kPriorities;
    benchmark::DoNotOptimize(admission.Decide(
        Request(priority), absl::ZeroDuration(), false, After(4000)));
  }
}
BENCHMARK(BM_Decide)->Arg(400)->Arg(40000);

// What a placement pass pays for the figures of `steps` waiting steps.
void BM_FillPass(benchmark::State& state) {
  WorkAdmission admission(WorkAdmission::Options{});
  for (auto _ : state) FillPass(admission, state.range(0));
}
BENCHMARK(BM_FillPass)->Arg(4000)->Unit(benchmark::kMicrosecond);

// Clients that are refused, return when told to, and are refused again, at a
// rate that keeps the schedule full.
void BM_Refuse(benchmark::State& state) {
  ReturnSchedule returns(ReturnSchedule::Options{});
  ReturnSchedule::Wish wish;
  wish.work = 1000;
  wish.rate = 1000.0 * kEntries / 5;
  wish.latest = absl::Seconds(10);
  const auto at = [](int64_t i) {
    const absl::Time mono =
        kT0 + absl::Seconds(5) * (static_cast<double>(i) / kEntries);
    return Now{mono, mono};
  };
  int64_t i = 0;
  for (; i < kEntries; ++i) returns.Refuse(JobId(i % kEntries), wish, at(i));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        returns.ReturnsAsPromised(i % kEntries, at(i).mono));
    benchmark::DoNotOptimize(returns.Refuse(JobId(i % kEntries), wish, at(i)));
    ++i;
  }
  state.counters["entries"] = static_cast<double>(returns.size());
}
BENCHMARK(BM_Refuse);

// The whole of a refusal that finds its job in the schedule.
void BM_AcceptReturn(benchmark::State& state) {
  ReturnSchedule returns(ReturnSchedule::Options{});
  ReturnSchedule::Wish wish;
  wish.work = 1;
  wish.rate = 1e12;
  wish.latest = absl::Seconds(10);
  for (int64_t i = 0; i < kEntries; ++i) returns.Refuse(i, wish, {kT0, kT0});
  int64_t i = 0;
  for (auto _ : state) {
    const JobId id = i++ % kEntries;
    benchmark::DoNotOptimize(returns.OnAccepted(id, After(1000)));
    returns.Refuse(id, wish, {kT0, kT0});
  }
}
BENCHMARK(BM_AcceptReturn);

}  // namespace
}  // namespace keelbridge
