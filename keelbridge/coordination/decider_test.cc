#include "keelbridge/coordination/decider.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

#include "absl/strings/str_cat.h"
#include "testing/workload/naive_decider.h"

namespace keelbridge {
namespace {

DeciderOptions NoPreemptionOptions() {
  DeciderOptions options;
  options.interactive_preempts = false;
  options.reclaim = false;
  return options;
}

TaskSpec MakeTask(int cores, int gib,
                  WorkClass work_class = WorkClass::kStandard,
                  int64_t duration_ms = 60000) {
  TaskSpec spec;
  spec.need = {cores * 1000, gib * 1024, 0};
  spec.work_class = work_class;
  spec.duration_ms = duration_ms;
  return spec;
}

Decider MakeDecider(DeciderOptions options, int workers, int cores = 16,
                    int gib = 32) {
  Decider decider(options);
  decider.AddTeam("a", 0.5);
  decider.AddTeam("b", 0.5);
  for (int w = 0; w < workers; ++w) {
    decider.AddWorker(absl::StrCat("w", w), absl::StrCat("r", w / 4),
                      {cores * 1000, gib * 1024, w % 3 == 0 ? 2 : 0});
  }
  return decider;
}

TEST_CASE(
    "placement: finds a worker whenever exhaustive search does, over 1000 "
    "seeds") {
  int64_t examined = 0;
  int64_t decisions = 0;
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&random](int a, int b) {
      return std::uniform_int_distribution<int>(a, b)(random);
    };
    Decider decider = MakeDecider(NoPreemptionOptions(), 8);
    std::vector<TaskHandle> running;
    int64_t now = 0;
    for (int step = 0; step < 60; ++step) {
      now += 10;
      if (!running.empty() && pick(0, 2) == 0) {
        const size_t i =
            static_cast<size_t>(pick(0, static_cast<int>(running.size()) - 1));
        decider.OnEnded(running[i], now);
        running.erase(running.begin() + static_cast<ptrdiff_t>(i));
      }
      TaskSpec spec = MakeTask(pick(1, 16), pick(1, 32));
      spec.need.accelerators = pick(0, 4) == 0 ? pick(1, 2) : 0;
      bool fits = false;
      for (WorkerId w = 0; w < 8; ++w)
        fits = fits || spec.need.FitsIn(decider.cell().Free(w));
      const TaskHandle id = decider.Submit(spec, now);
      const std::vector<Order> orders = decider.Decide(now, 10);
      ++decisions;
      const bool started =
          std::any_of(orders.begin(), orders.end(),
                      [id](const Order& o) { return o.task == id; });
      if (started != fits) CAPTURE(seed);
      CHECK(started == fits);
      for (const Order& order : orders) running.push_back(order.task);
      // Removes a waiting task, so that the next one competes only with running
      // tasks.
      if (!started) decider.OnEnded(id, now);
    }
    examined += decider.counts().examined;
  }
  MESSAGE("workers examined per decision, of 8: ",
          static_cast<double>(examined) / static_cast<double>(decisions));
}

double MinVictimCost(const std::vector<VictimCandidate>& candidates,
                     const Resources& shortfall) {
  double best = -1;
  for (uint32_t mask = 0; mask < (1U << candidates.size()); ++mask) {
    Resources freed;
    double cost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      if ((mask >> i & 1) == 0) continue;
      freed += candidates[i].freed_resources;
      cost += candidates[i].cost;
    }
    if (shortfall.FitsIn(freed) && (best < 0 || cost < best)) best = cost;
  }
  return best;
}

TEST_CASE(
    "victims: cost equals the minimum of an exhaustive search, over 1000 "
    "seeds") {
  double naive_cost = 0;
  double cost = 0;
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&random](int a, int b) {
      return std::uniform_int_distribution<int>(a, b)(random);
    };
    std::vector<VictimCandidate> candidates;
    for (int i = pick(1, 12); i > 0; --i) {
      candidates.push_back({i,
                            {pick(1, 8) * 1000, pick(1, 16) * 1024, pick(0, 1)},
                            pick(1, 1000) / 10.0});
    }
    const Resources shortfall{pick(1, 16) * 1000, pick(0, 16) * 1024,
                              pick(0, 2)};
    const VictimSet found = FindVictims(candidates, shortfall);
    const double best = MinVictimCost(candidates, shortfall);
    CAPTURE(seed);
    CHECK(found.found == (best >= 0));
    if (!found.found) continue;
    CHECK(found.cost == doctest::Approx(best));
    cost += found.cost;
    // First fit: takes candidates in order until enough is free.
    Resources freed;
    for (const VictimCandidate& c : candidates) {
      if (shortfall.FitsIn(freed)) break;
      freed += c.freed_resources;
      naive_cost += c.cost;
    }
  }
  MESSAGE("cost of victims relative to first fit: ", cost / naive_cost);
  CHECK(cost < 0.6 * naive_cost);
}

// Runs random operations and checks the invariants after each of them.
void CheckInvariants(const std::vector<uint32_t>& steps,
                     const DeciderOptions& options) {
  Decider decider = MakeDecider(options, 6);
  std::set<TaskHandle> live;
  std::set<TaskHandle> running;
  std::set<TaskHandle> being_preempted;
  int64_t now = 0;
  int64_t submitted = 0;
  int64_t ended = 0;
  for (const uint32_t step : steps) {
    now += 1 + step % 700;
    switch (step % 7) {
      case 0:
      case 1:
      case 2: {
        TaskSpec spec = MakeTask(1 + static_cast<int>(step / 7 % 12),
                                 1 + static_cast<int>(step / 70 % 16),
                                 static_cast<WorkClass>(step / 11 % 4),
                                 step / 13 % 3 == 0 ? 0 : 500 + step % 9000);
        spec.team = static_cast<int16_t>(step / 17 % 2);
        spec.group = static_cast<int32_t>(step / 19 % 3);
        spec.spread = step / 23 % 4 == 0;
        spec.checkpoints = step / 29 % 2 == 0;
        live.insert(decider.Submit(spec, now));
        ++submitted;
        break;
      }
      case 3:
      case 4:
        if (!running.empty()) {
          auto it = running.begin();
          std::advance(it, static_cast<ptrdiff_t>(step / 7 % running.size()));
          const TaskHandle id = *it;
          running.erase(it);
          const bool stops = being_preempted.erase(id) > 0 || step % 2 == 0;
          if (stops) {
            decider.OnStopped(id, 0, now);
          } else {
            decider.OnEnded(id, now);
            live.erase(id);
            ++ended;
          }
        }
        break;
      case 5: {
        const auto worker = static_cast<WorkerId>(step / 7 % 6);
        decider.SetSchedulable(worker, !decider.cell().Schedulable(worker));
        break;
      }
      default:
        break;
    }
    for (const Order& order : decider.Decide(now, 20)) {
      if (order.kind == Order::Kind::kPreempt) {
        RC_ASSERT(running.count(order.task) == 1U);
        // A task that was preempted never preempts others unless it is urgent,
        // so that preemptions do not cascade.
        const TaskRow& cause = decider.task(order.preemptor);
        RC_ASSERT(cause.work_class == WorkClass::kUrgent ||
                  cause.preempted == 0);
        being_preempted.insert(order.task);
        continue;
      }
      RC_ASSERT(running.insert(order.task).second);
      RC_ASSERT(decider.cell().Schedulable(order.worker));
    }
    // The accounting matches the running tasks: no capacity is allocated twice
    // or lost.
    std::map<WorkerId, Resources> used;
    for (const TaskHandle id : running)
      used[decider.task(id).worker] += decider.task(id).need;
    for (WorkerId w = 0; w < 6; ++w) {
      RC_ASSERT(decider.cell().Used(w) == used[w]);
      RC_ASSERT(decider.cell().Used(w).FitsIn(decider.cell().Total(w)));
    }
    RC_ASSERT(decider.live() == live.size());
    RC_ASSERT(submitted - ended == static_cast<int64_t>(live.size()));
  }
}

TEST_CASE(
    "decider: accounting, conservation and preemption invariants hold for any "
    "sequence") {
  const bool plain = rc::check([](const std::vector<uint32_t>& steps) {
    CheckInvariants(steps, NoPreemptionOptions());
  });
  const bool waiting = rc::check([](const std::vector<uint32_t>& steps) {
    CheckInvariants(steps,
                    DeciderOptions::ForPolicy(PolicyKind::kWaitingFirst));
  });
  const bool packing = rc::check([](const std::vector<uint32_t>& steps) {
    CheckInvariants(steps,
                    DeciderOptions::ForPolicy(PolicyKind::kPackingFirst));
  });
  CHECK(plain);
  CHECK(waiting);
  CHECK(packing);
}

TEST_CASE("spread: no rack holds more than its even share of a service") {
  Decider decider = MakeDecider(NoPreemptionOptions(), 12);  // Three racks.
  for (int i = 0; i < 9; ++i) {
    TaskSpec spec = MakeTask(1, 1, WorkClass::kInteractive, 0);
    spec.group = 1;
    spec.spread = true;
    decider.Submit(spec, 0);
  }
  std::map<int, int> by_rack;
  for (const Order& order : decider.Decide(0, 100))
    ++by_rack[decider.cell().Rack(order.worker)];
  CHECK(by_rack.size() == 3);
  for (const auto& [rack, count] : by_rack) CHECK(count == 3);
}

TEST_CASE("reservation: backfill never delays the large task that holds it") {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    const auto pick = [&random](int a, int b) {
      return std::uniform_int_distribution<int>(a, b)(random);
    };
    Decider decider = MakeDecider(NoPreemptionOptions(), 3);
    std::multimap<int64_t, TaskHandle> ends;
    int64_t now = 0;
    const auto decide = [&](TaskHandle watched) {
      bool seen = false;
      for (const Order& order : decider.Decide(now, 200)) {
        ends.emplace(now + decider.task(order.task).duration_ms, order.task);
        seen = seen || order.task == watched;
      }
      return seen;
    };
    // Nine tasks are few enough to start at once.
    for (int i = 0; i < 9; ++i)
      decider.Submit(
          MakeTask(pick(3, 5), 4, WorkClass::kStandard, pick(1000, 20000)),
          now);
    decide(kNoTask);
    // Without backfill, the large task starts when the first worker is empty at
    // the latest.
    int64_t latest = 0;
    std::map<WorkerId, int64_t> empty_at;
    for (const auto& [at, id] : ends)
      empty_at[decider.task(id).worker] =
          std::max(empty_at[decider.task(id).worker], at);
    for (WorkerId w = 0; w < 3; ++w)
      latest = w == 0 ? empty_at[w] : std::min(latest, empty_at[w]);
    const TaskHandle large =
        decider.Submit(MakeTask(16, 8, WorkClass::kStandard, 5000), now);
    bool started = decide(large);
    while (!started && !ends.empty()) {
      now = ends.begin()->first;
      decider.OnEnded(ends.begin()->second, now);
      ends.erase(ends.begin());
      // Small tasks keep arriving and would fill every gap.
      for (int i = 0; i < 3; ++i)
        decider.Submit(
            MakeTask(pick(1, 4), 1, WorkClass::kBulk, pick(500, 30000)), now);
      started = decide(large);
    }
    CAPTURE(seed);
    CHECK(started);
    CHECK(now <= latest);
  }
}

TEST_CASE(
    "no starvation: bulk work is promoted and starts while standard work keeps "
    "arriving") {
  DeciderOptions options = NoPreemptionOptions();
  options.queue.promote_after_ms = 60000;
  Decider decider = MakeDecider(options, 2);
  const TaskHandle bulk = decider.Submit(MakeTask(8, 8, WorkClass::kBulk), 0);
  std::multimap<int64_t, TaskHandle> ends;
  int64_t started_at = -1;
  for (int64_t now = 0; now < 300000 && started_at < 0; now += 1000) {
    while (!ends.empty() && ends.begin()->first <= now) {
      decider.OnEnded(ends.begin()->second, now);
      ends.erase(ends.begin());
    }
    // More standard work than the cell can run.
    for (int i = 0; i < 6; ++i)
      decider.Submit(MakeTask(8, 8, WorkClass::kStandard, 3000), now);
    for (const Order& order : decider.Decide(now, 100)) {
      ends.emplace(now + 3000, order.task);
      if (order.task == bulk) started_at = now;
    }
  }
  CHECK(started_at >= 0);
  CHECK(started_at <= 70000);
}

TEST_CASE(
    "a team below its quota reclaims capacity from one above, up to its "
    "quota") {
  DeciderOptions options;
  options.interactive_preempts = false;
  options.preemption_protection_ms = 0;
  Decider decider = MakeDecider(options, 4);
  for (int i = 0; i < 8; ++i) {
    TaskSpec spec = MakeTask(8, 8, WorkClass::kStandard, 0);
    spec.team = 0;
    decider.Submit(spec, 0);
  }
  CHECK(decider.Decide(0, 100).size() == 8);
  for (int i = 0; i < 8; ++i) {
    TaskSpec spec = MakeTask(8, 8, WorkClass::kStandard, 0);
    spec.team = 1;
    decider.Submit(spec, 0);
  }
  int64_t now = 0;
  for (int round = 0; round < 20; ++round) {
    now += 1000;
    for (const Order& order : decider.Decide(now, 100)) {
      if (order.kind == Order::Kind::kPreempt)
        decider.OnStopped(order.task, 0, now + 1);
    }
  }
  CHECK(decider.ShareOf(0) == doctest::Approx(0.5));
  CHECK(decider.ShareOf(1) == doctest::Approx(0.5));
  CHECK(decider.counts().preempted == 4);
}

TEST_CASE("explanation: a task that preempted others says so once it runs") {
  Decider decider = MakeDecider(NoPreemptionOptions(), 1);
  const TaskHandle bulk = decider.Submit(MakeTask(16, 8, WorkClass::kBulk), 0);
  (void)decider.Decide(0, 10);
  const TaskHandle urgent =
      decider.Submit(MakeTask(16, 8, WorkClass::kUrgent), 1000);
  const std::vector<Order> preempted = decider.Decide(1000, 10);
  REQUIRE(preempted.size() == 1);
  CHECK(preempted[0].task == bulk);
  decider.OnStopped(bulk, 0, 2000);
  const std::vector<Order> starts = decider.Decide(2000, 10);
  REQUIRE(starts.size() == 1);
  const std::string why = decider.LastDecision(urgent)->ToText(decider.cell());
  CHECK(why.find("on w0 (r0): others yielded for it; 1 yielded") == 0);
  CHECK(why.find("it starts") == std::string::npos);
}

TEST_CASE(
    "explanation: states the placement rule, the search and what would let a "
    "task start") {
  Decider decider = MakeDecider(NoPreemptionOptions(), 4);
  const TaskHandle first = decider.Submit(MakeTask(16, 8), 0);
  for (int i = 0; i < 3; ++i) decider.Submit(MakeTask(16, 8), 0);
  const TaskHandle waits = decider.Submit(MakeTask(16, 8), 0);
  decider.Decide(0, 100);
  const std::string placed =
      decider.LastDecision(first)->ToText(decider.cell());
  const std::string waiting =
      decider.LastDecision(waits)->ToText(decider.cell());
  CHECK(placed.find("the least room that holds it") != std::string::npos);
  CHECK(placed.find("looked at") != std::string::npos);
  CHECK(waiting.find("waiting: no worker has room now") != std::string::npos);
  CHECK(waiting.find("it starts when work ends") != std::string::npos);
}

// Returns when a task that fits is placed, or -1 if not within
// `until_ms`, while `waiting` tasks before it do not fit and one run ends each
// tick.
int64_t PlacedBehind(int waiting, int64_t until_ms) {
  constexpr int kWorkers = 200;
  constexpr int kBudget = 400;
  constexpr int64_t kTickMs = 20;
  Decider decider = MakeDecider(NoPreemptionOptions(), kWorkers);
  std::vector<TaskHandle> short_runs;
  for (int i = 0; i < kWorkers; ++i) decider.Submit(MakeTask(9, 1), 0);
  decider.Decide(0, kBudget);
  short_runs.reserve(static_cast<size_t>(kWorkers));
  for (int i = 0; i < kWorkers; ++i)
    short_runs.push_back(decider.Submit(MakeTask(1, 1), 0));
  decider.Decide(0, kBudget);
  for (int i = 0; i < waiting; ++i) {
    TaskSpec spread = MakeTask(9, 1);
    spread.spread = true;
    spread.group = i;
    decider.Submit(spread, 0);
  }
  const TaskHandle fits = decider.Submit(MakeTask(2, 1), 0);
  for (int64_t now = kTickMs; now <= until_ms; now += kTickMs) {
    decider.OnEnded(short_runs.back(), now);
    short_runs.pop_back();
    for (const Order& order : decider.Decide(now, kBudget)) {
      if (order.task == fits) return now;
    }
  }
  return -1;
}

// Guards against a budget of tries that what cannot be placed uses up in each
// tick.
TEST_CASE(
    "decider: a task that fits is placed within a full pass whatever waits") {
  const int64_t full_pass_ms = DeciderOptions().full_pass_interval_ms;
  for (const int waiting : {300, 500, 2000}) {
    CAPTURE(waiting);
    const int64_t placed = PlacedBehind(waiting, 3 * full_pass_ms);
    MESSAGE("placed after " << placed << " ms behind " << waiting);
    CHECK(placed >= 0);
    CHECK(placed <= full_pass_ms);
  }
}

}  // namespace
}  // namespace keelbridge
