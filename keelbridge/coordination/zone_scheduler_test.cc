#include "keelbridge/coordination/zone_scheduler.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <set>

#include "testing/support/zone_harness.h"

namespace keelbridge::testing {
namespace {

// Injects faults at random times for `time`, and repairs all of them at the
// end.
void InjectRandomFaults(ZoneHarness& zone, absl::Duration time) {
  const absl::Time end = zone.now() + time;
  auto& random = zone.random();
  const auto pick = [&random](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  std::vector<std::pair<absl::Time, std::function<void()>>> repairs;
  while (zone.now() < end) {
    zone.RunFor(absl::Milliseconds(100 + pick(2500)));
    const int s = pick(zone.schedulers());
    const int w = pick(zone.workers());
    const absl::Time repair =
        zone.now() + absl::Milliseconds(200 + pick(14000));
    switch (pick(9)) {
      case 0:
        zone.Kill(s);
        repairs.emplace_back(repair, [&zone, s] {
          if (!zone.alive(s)) zone.Start(s);
        });
        break;
      case 1:
        zone.Pause(s);
        repairs.emplace_back(repair, [&zone, s] { zone.Resume(s); });
        break;
      case 2:
        zone.SetLogDown(true);
        repairs.emplace_back(repair, [&zone] { zone.SetLogDown(false); });
        break;
      case 3:
        zone.SetLogLosesAnswers(true);
        repairs.emplace_back(repair,
                             [&zone] { zone.SetLogLosesAnswers(false); });
        break;
      case 4:
      case 5:
        for (int i = 0; i < zone.workers(); ++i) {
          if (pick(2) == 0) zone.Cut(s, i, pick(2) == 0);
        }
        repairs.emplace_back(repair, [&zone] { zone.Heal(); });
        break;
      case 6:
        zone.RestartWorker(w);
        break;
      case 7:
      case 8:
        zone.PauseWorker(w);
        repairs.emplace_back(repair, [&zone, w] { zone.ResumeWorker(w); });
        break;
    }
    for (auto it = repairs.begin(); it != repairs.end();) {
      if (it->first > zone.now()) {
        ++it;
        continue;
      }
      it->second();
      it = repairs.erase(it);
    }
  }
  for (const auto& [at, repair] : repairs) repair();
}

// Prints the leader's explanation of every task, to debug one seed.
void PrintTasks(ZoneHarness& zone) {
  ZoneScheduler& leader = zone.scheduler(zone.Leader());
  for (const auto& [id, record] : leader.replica().state().work()) {
    for (int64_t i = 0; i < record.intent.tasks; ++i) {
      Result<std::string> why = leader.Explain(TaskName(id, i));
      zone.Trace(TaskName(id, i) + ": " + (why ? why.value() : "not known") +
                 (record.ended.Contains(i) ? " (ended)" : ""));
    }
  }
}

// Runs a mixed load under random faults and returns the violations that the
// checker finds.
std::vector<std::string> RandomFaultViolations(
    uint64_t seed, const SafetyMechanisms& mechanisms,
    bool* recovered = nullptr) {
  ZoneHarness::Options options;
  options.schedulers = 3;
  options.workers = 6;
  options.seed = seed;
  options.loss = 0.02;
  options.mechanisms = mechanisms;
  options.trace = std::getenv("KEELBRIDGE_SEED") != nullptr;
  ZoneHarness zone(options);
  Intent shared = ZoneHarness::Service("shared", 3);
  shared.exclusive = false;
  Intent once = ZoneHarness::Batch("once", 6, absl::Seconds(15));
  once.repeatable = false;
  zone.Confirm({ZoneHarness::Service("index", 4), shared, once,
                ZoneHarness::Batch("scans", 12, absl::Seconds(20))});
  InjectRandomFaults(zone, absl::Seconds(60));
  if (recovered != nullptr) {
    // After the faults are repaired, services run again and batches complete.
    *recovered = zone.RunUntil(
        [&zone] {
          const int leader = zone.Leader();
          if (leader < 0) return false;
          const auto& work = zone.scheduler(leader).replica().state().work();
          const auto once_work = work.find("once");
          const bool once_done =
              once_work == work.end() || once_work->second.ended.Count() == 6;
          return once_done && work.count("scans") == 0 && zone.Running() == 7;
        },
        absl::Seconds(150));
  }
  if (options.trace && zone.Leader() >= 0) PrintTasks(zone);
  return zone.FindViolations();
}

TEST_CASE(
    "random failures: capacity, exclusivity and at-most-once execution hold "
    "for every seed, and work resumes") {
  int unrecovered = 0;
  // KEELBRIDGE_SEED=N replays one seed and prints a trace.
  const char* only = std::getenv("KEELBRIDGE_SEED");
  const uint64_t first = only == nullptr ? 1 : std::stoull(only);
  const uint64_t last = only == nullptr ? 300 : first;
  for (uint64_t seed = first; seed <= last; ++seed) {
    CAPTURE(seed);
    bool recovered = false;
    const std::vector<std::string> violations =
        RandomFaultViolations(seed, SafetyMechanisms(), &recovered);
    for (const std::string& violation : violations) FAIL_CHECK(violation);
    CHECK(recovered);
    unrecovered += recovered ? 0 : 1;
  }
  MESSAGE("seeds without recovery, of 300: ", unrecovered);
}

// A worker is paused with a start in its buffer, and resumes long after its
// tasks were started elsewhere.
std::vector<std::string> PausedWorkerViolations(
    uint64_t seed, const SafetyMechanisms& mechanisms) {
  ZoneHarness::Options options;
  options.schedulers = 1;
  options.seed = seed;
  options.mechanisms = mechanisms;
  options.trace = std::getenv("KEELBRIDGE_SEED") != nullptr;
  ZoneHarness zone(options);
  zone.AwaitLeader();
  zone.PauseWorker(static_cast<int>(seed % 5));
  zone.Confirm({ZoneHarness::Service("index", 12)});
  zone.RunFor(absl::Seconds(25));
  zone.ResumeWorker(static_cast<int>(seed % 5));
  zone.RunFor(absl::Seconds(5));
  CHECK(zone.Running() == 12);
  return zone.FindViolations();
}

// The leader is paused after it decided on a start, and resumes when another
// leader has started that task.
std::vector<std::string> PausedLeaderViolations(
    uint64_t seed, const SafetyMechanisms& mechanisms) {
  ZoneHarness::Options options;
  options.schedulers = 2;
  options.seed = seed;
  options.mechanisms = mechanisms;
  ZoneHarness zone(options);
  zone.Confirm({ZoneHarness::Service("index", 3)});
  zone.RunFor(absl::Seconds(3));
  const int paused = zone.Leader();
  if (paused < 0) return {"no leader"};
  zone.PauseBeforeNextStart(paused);
  zone.Confirm({ZoneHarness::Service("late", 4)});
  zone.RunUntil([&] { return zone.Running() == 7; }, absl::Seconds(60));
  CHECK(zone.Paused(paused));
  zone.Resume(paused);
  zone.RunFor(absl::Seconds(5));
  CHECK(zone.Running() == 7);
  return zone.FindViolations();
}

using Scenario = std::vector<std::string> (*)(uint64_t,
                                              const SafetyMechanisms&);

int CountSeedsWithViolations(Scenario scenario,
                             const SafetyMechanisms& mechanisms,
                             uint64_t seeds) {
  int found = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    found += scenario(seed, mechanisms).empty() ? 0 : 1;
  }
  return found;
}

std::vector<std::string> RandomFaultScenario(
    uint64_t seed, const SafetyMechanisms& mechanisms) {
  return RandomFaultViolations(seed, mechanisms);
}

TEST_CASE("a paused worker that resumes starts no task that runs elsewhere") {
  CHECK(CountSeedsWithViolations(PausedWorkerViolations, SafetyMechanisms(),
                                 100) == 0);
}

TEST_CASE("a paused leader that resumes starts no task that runs elsewhere") {
  CHECK(CountSeedsWithViolations(PausedLeaderViolations, SafetyMechanisms(),
                                 100) == 0);
}

TEST_CASE(
    "each mechanism is needed: without it the checker finds a violation") {
  SafetyMechanisms no_certainty;
  no_certainty.wait_for_certainty = false;
  SafetyMechanisms no_not_after;
  no_not_after.not_after = false;
  SafetyMechanisms no_epochs;
  no_epochs.epochs = false;
  const int certainty =
      CountSeedsWithViolations(RandomFaultScenario, no_certainty, 60);
  const int epochs =
      CountSeedsWithViolations(RandomFaultScenario, no_epochs, 60);
  const int paused_worker =
      CountSeedsWithViolations(PausedWorkerViolations, no_not_after, 60);
  MESSAGE("seeds with a violation, of 60: without waiting for certainty ",
          certainty, ", without holds and epochs ", epochs,
          ", without not-after ", paused_worker);
  CHECK(certainty > 0);
  CHECK(epochs > 0);
  CHECK(paused_worker > 0);
}

TEST_CASE(
    "leader killed: a new one within three hold times, nothing restarts") {
  int64_t restarts = 0;
  absl::Duration longest;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    ZoneHarness zone({.schedulers = 2, .workers = 7, .seed = seed});
    REQUIRE(zone.Confirm({ZoneHarness::Service("index", 20)}));
    zone.RunFor(absl::Seconds(3));
    REQUIRE(zone.Running() == 20);
    // For every other seed, the log is down too.
    zone.SetLogDown(seed % 2 == 0);
    const absl::Time killed = zone.now();
    zone.Kill(zone.Leader());
    REQUIRE(zone.RunUntil([&zone] { return zone.Leader() >= 0; },
                          absl::Seconds(30)));
    longest = std::max(longest, zone.now() - killed);
    zone.RunFor(absl::Seconds(20));
    CHECK(zone.Running() == 20);
    restarts += static_cast<int64_t>(zone.run_events().size()) - 20;
    CHECK(zone.FindViolations().empty());
  }
  const double holds = absl::FDivDuration(longest, absl::Seconds(3));
  MESSAGE("longest time without a leader: ", holds,
          " hold times; restarts: ", restarts);
  CHECK(holds <= 3);
  CHECK(restarts == 0);
}

TEST_CASE("scheduler dead and log down: a lost worker's tasks start again") {
  ZoneHarness zone({.schedulers = 2, .workers = 7, .seed = 3});
  REQUIRE(zone.Confirm({ZoneHarness::Service("index", 14)}));
  zone.RunFor(absl::Seconds(3));
  zone.SetLogDown(true);
  zone.Kill(zone.Leader());
  zone.RunFor(absl::Seconds(10));
  zone.RestartWorker(2);
  zone.RunFor(absl::Seconds(10));
  CHECK(zone.Running() == 14);
  CHECK(zone.FindViolations().empty());
}

TEST_CASE(
    "planned stops in turn: a new leader within one hold time, nothing "
    "restarts") {
  absl::Duration longest;
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    ZoneHarness zone({.schedulers = 2, .workers = 7, .seed = seed});
    REQUIRE(zone.Confirm({ZoneHarness::Service("index", 14)}));
    // Varies the moment of the stop between two renewals.
    zone.RunFor(absl::Milliseconds(2000 + 20 * (seed % 60)));
    for (int round = 0; round < 4; ++round) {
      const int leader = zone.Leader();
      REQUIRE(leader >= 0);
      zone.HandOver(leader);
      const absl::Time stopped = zone.now();
      zone.RunFor(absl::Milliseconds(400));
      zone.Start(leader);
      REQUIRE(
          zone.RunUntil([&] { return zone.Leader() >= 0; }, absl::Seconds(30)));
      longest = std::max(longest, zone.now() - stopped);
      zone.RunFor(absl::Milliseconds(2500));
    }
    CHECK(zone.run_events().size() == 14);
  }
  const double holds = absl::FDivDuration(longest, absl::Seconds(3));
  MESSAGE("longest time without a leader: ", holds, " hold times");
  CHECK(holds <= 1);
}

TEST_CASE("two operators confirm at once: one is refused as stale") {
  ZoneHarness zone({.schedulers = 2, .workers = 5, .seed = 11});
  REQUIRE(zone.AwaitLeader() >= 0);
  zone.RunFor(absl::Seconds(1));
  ZoneScheduler& leader = zone.scheduler(zone.Leader());
  const Now now{zone.now(), zone.now()};
  Result<Plan> a = leader.Propose({ZoneHarness::Service("a", 2)}, now);
  Result<Plan> b = leader.Propose({ZoneHarness::Service("b", 2)}, now);
  REQUIRE(a.has_value());
  REQUIRE(b.has_value());
  // Queues both before either is read back from the log.
  CHECK(leader.Confirm(a.value(), now).has_value());
  CHECK(leader.Confirm(b.value(), now).has_value());
  // Confirming a plan twice is harmless.
  CHECK(leader.Confirm(a.value(), now).has_value());
  zone.RunFor(absl::Seconds(3));
  CHECK(leader.GetPlanOutcome(a.value().id) ==
        ZoneState::PlanOutcome::kConfirmed);
  CHECK(leader.GetPlanOutcome(b.value().id) == ZoneState::PlanOutcome::kStale);
  CHECK(zone.Running() == 2);
  const Result<void> late = leader.Confirm(b.value(), {zone.now(), zone.now()});
  REQUIRE(!late.has_value());
  CHECK(late.error().code == ErrorCode::kStale);
}

TEST_CASE("another policy: running tasks continue and new tasks start") {
  ZoneHarness zone({.schedulers = 1, .workers = 5, .seed = 13});
  REQUIRE(zone.Confirm({ZoneHarness::Service("a", 10)}));
  zone.RunFor(absl::Seconds(2));
  zone.SetPolicy(PolicyKind::kPackingFirst);
  zone.RunFor(absl::Seconds(3));
  REQUIRE(zone.Confirm({ZoneHarness::Service("b", 10)}));
  zone.RunFor(absl::Seconds(3));
  CHECK(zone.Running() == 20);
  CHECK(zone.run_events().size() == 20);
  CHECK(zone.FindViolations().empty());
  // No attempt number is used twice.
  std::set<int64_t> attempts;
  for (const RunEvent& fact : zone.run_events()) attempts.insert(fact.attempt);
  CHECK(attempts.size() == 20);
}

TEST_CASE(
    "only the leader explains; a standby answers that it is unavailable") {
  ZoneHarness zone({.schedulers = 2, .workers = 5, .seed = 12});
  REQUIRE(zone.Confirm({ZoneHarness::Service("a", 2)}));
  const int leader = zone.AwaitLeader();
  const Result<std::string> answer = zone.scheduler(leader).Explain("a/0");
  REQUIRE(answer.has_value());
  CHECK(answer.value().find("running on w") == 0);
  const Result<std::string> standby = zone.scheduler(1 - leader).Explain("a/0");
  REQUIRE(!standby.has_value());
  CHECK(standby.error().code == ErrorCode::kUnavailable);
  CHECK(zone.scheduler(leader).Explain("b/0").error().code ==
        ErrorCode::kNotFound);
}

TEST_CASE("the log loses answers: each entry takes effect once") {
  ZoneHarness zone({.schedulers = 1, .workers = 5, .seed = 21});
  REQUIRE(zone.AwaitLeader() >= 0);
  zone.SetLogLosesAnswers(true);
  CHECK(zone.Confirm({ZoneHarness::Batch("scans", 9, absl::Seconds(2))}));
  zone.RunFor(absl::Seconds(20));
  CHECK(zone.scheduler(0).replica().state().work().empty());
  CHECK(zone.run_events().size() == 18);
}

TEST_CASE(
    "records dropped by retention: a new scheduler rebuilds the same state") {
  ZoneHarness::Options options;
  options.schedulers = 2;
  options.seed = 31;
  options.records_per_snapshot = 20;
  ZoneHarness zone(options);
  REQUIRE(zone.Confirm({ZoneHarness::Service("index", 4)}));
  for (int i = 0; i < 30; ++i) {
    REQUIRE(zone.Confirm({ZoneHarness::Batch("b" + std::to_string(i), 2,
                                             absl::Milliseconds(500))}));
  }
  zone.RunFor(absl::Seconds(5));
  const int leader = zone.Leader();
  const int other = 1 - leader;
  zone.log().DropBefore(
      "zone-z", zone.scheduler(leader).replica().last_snapshot_covers() - 1);
  zone.Kill(other);
  zone.Start(other);
  zone.RunFor(absl::Seconds(3));
  const ZoneReplica& fresh = zone.scheduler(other).replica();
  CHECK(fresh.gaps() == 1);
  CHECK(fresh.Current());
  CHECK(fresh.state().Snapshot() ==
        zone.scheduler(leader).replica().state().Snapshot());
  zone.Kill(leader);
  zone.RunFor(absl::Seconds(20));
  CHECK(zone.Running() == 4);
  CHECK(zone.FindViolations().empty());
}

TEST_CASE(
    "control cost: holds per worker and second, appends for task starts") {
  ZoneHarness zone({.schedulers = 2, .workers = 10, .seed = 41});
  REQUIRE(zone.Confirm({ZoneHarness::Service("index", 8)}));
  zone.RunFor(absl::Seconds(5));
  const int leader = zone.Leader();
  const int64_t holds = zone.scheduler(leader).counts().holds;
  zone.RunFor(absl::Seconds(100));
  const double rate =
      static_cast<double>(zone.scheduler(leader).counts().holds - holds) /
      (100.0 * 10);
  const int64_t appends = zone.log().appends();
  REQUIRE(zone.Confirm({ZoneHarness::Batch("many", 1000, absl::Seconds(1))}));
  zone.RunUntil(
      [&] {
        return zone.scheduler(leader).replica().state().work().size() == 1;
      },
      absl::Seconds(200));
  const int64_t used = zone.log().appends() - appends;
  MESSAGE("holds per worker and second: ", rate,
          "; appends for 1,000 starts: ", used,
          " (1,000 with one append per start)");
  CHECK(rate <= 1.05);
  CHECK(used < 400);
  CHECK(zone.FindViolations().empty());
}

TEST_CASE("a drained worker gets no new work and is emptied") {
  ZoneHarness zone({.schedulers = 2, .workers = 5, .seed = 51});
  REQUIRE(zone.Confirm({ZoneHarness::Service("index", 10)}));
  zone.RunFor(absl::Seconds(2));
  Intent drain;
  drain.id = "drain";
  drain.kind = IntentKind::kDrainHost;
  drain.zone = "z";
  drain.subject = "w1";
  REQUIRE(zone.Confirm({drain}));
  zone.RunFor(absl::Seconds(1));
  RunRules rules = zone.Rules();
  rules.no_starts_after["w1"] = zone.now();
  zone.RunFor(absl::Seconds(10));
  CHECK(zone.worker(1).running() == 0);
  CHECK(zone.Running() == 10);
  CHECK(CheckRuns(zone.run_events(), rules).empty());
}

TEST_CASE("a worker that the platform lists as leaving gets no new work") {
  ZoneHarness zone({.schedulers = 1, .workers = 5, .seed = 52});
  REQUIRE(zone.Confirm({ZoneHarness::Service("index", 5)}));
  zone.RunFor(absl::Seconds(2));
  zone.scheduler(0).OnLeaving({"w3"});
  zone.RunFor(absl::Milliseconds(100));
  RunRules rules = zone.Rules();
  rules.no_starts_after["w3"] = zone.now();
  REQUIRE(zone.Confirm({ZoneHarness::Service("more", 10)}));
  zone.RunFor(absl::Seconds(10));
  CHECK(zone.worker(3).running() == 0);
  CHECK(zone.Running() == 15);
  CHECK(CheckRuns(zone.run_events(), rules).empty());
}

}  // namespace
}  // namespace keelbridge::testing
