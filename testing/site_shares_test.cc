// Tests that one client account that sends many times its usual for some
// seconds costs the other accounts little, whatever becomes of the leader and
// of the configuration meanwhile.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "testing/support/site_simulation.h"

namespace keelbridge::testing {
namespace {

constexpr int kAccounts = 20;
// The accounts from this one on are small: they send some two jobs in ten
// seconds, many of which are gangs.
constexpr int kFirstSmall = 13;
constexpr uint64_t kWidePercent = 12;
constexpr uint64_t kWidePercentOfSmall = 40;
constexpr int kWorkers = 54;
// Jobs per second of all accounts, which use some four fifths of the site.
constexpr double kJobsPerSecond = 14;
constexpr absl::Duration kBurstFrom = absl::Seconds(10);
constexpr absl::Duration kBurstUntil = absl::Seconds(18);
constexpr double kBurstFactor = 7.5;
constexpr absl::Duration kSentUntil = absl::Seconds(32);
// Long enough for each job of the last second to be in time.
constexpr absl::Duration kEnd = absl::Seconds(40);
// The account that sends the burst.
constexpr int kCrowding = 0;
// By how much the mean share of the others' jobs that are in time may fall.
constexpr double kMaxLoss = 0.05;

constexpr char kShort[] = "short";
constexpr char kWide[] = "wide";
constexpr int64_t kShortMs = 640;
constexpr int64_t kWideMs = 2800;
constexpr int64_t kLatencyMs = 1000;
constexpr double kStretch = 2;

Queue QueueOf(const std::string& name, int32_t priority) {
  Queue queue;
  queue.name = name;
  queue.pool = SiteSimulation::kPool;
  queue.priority = priority;
  queue.max_attempts = 3;
  queue.stretch = kStretch;
  queue.target_latency_ms = kLatencyMs;
  return queue;
}

absl::Duration ObjectiveOf(int64_t task_ms) {
  return absl::Milliseconds(kStretch * static_cast<double>(task_ms) +
                            static_cast<double>(kLatencyMs));
}

std::string NameOf(int account) { return absl::StrCat("account-", account); }

// Weights fall with the number of the account: the first has a fifth of the
// sum, the last less than a hundredth.
std::vector<ClientAccount> SkewedAccounts() {
  std::vector<ClientAccount> accounts(kAccounts);
  double sum = 0;
  for (int i = 0; i < kAccounts; ++i) {
    accounts[static_cast<size_t>(i)].name = NameOf(i);
    accounts[static_cast<size_t>(i)].weight = std::pow(0.82, i);
    sum += accounts[static_cast<size_t>(i)].weight;
  }
  for (ClientAccount& account : accounts)
    account.weight *= kJobsPerSecond / sum;
  return accounts;
}

JobSpec OneStep(int32_t count, int32_t cpu_milli, int64_t ms, bool gang) {
  StepSpec step;
  step.count = count;
  step.requested = {cpu_milli, 1024, 0};
  step.estimated_ms = ms;
  step.gang = gang;
  JobSpec spec;
  spec.steps = {step};
  return spec;
}

// A job that an account sends.
struct Sent {
  absl::Duration at;
  int account = 0;
  bool wide = false;
  JobSpec spec;
};

JobSpec WideJob(std::mt19937_64& random) {
  const auto count = static_cast<int32_t>(10 + random() % 41);
  return OneStep(count, 4500, kWideMs, /*gang=*/random() % 3 > 0);
}

// Draws the jobs of one account. Those of the burst are drawn apart, so that
// all others are the same with and without it.
void AddJobsOf(int account, double jobs_per_second, absl::Duration from,
               absl::Duration until, uint64_t seed, std::vector<Sent>& out) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<> gap(jobs_per_second);
  for (absl::Duration at = from + absl::Seconds(gap(random)); at < until;
       at += absl::Seconds(gap(random))) {
    Sent job;
    job.at = at;
    job.account = account;
    job.wide = random() % 100 <
               (account < kFirstSmall ? kWidePercent : kWidePercentOfSmall);
    job.spec =
        job.wide ? WideJob(random) : OneStep(8, 2500, kShortMs, /*gang=*/false);
    out.push_back(job);
  }
}

std::vector<Sent> DrawJobs(uint64_t seed, bool burst) {
  std::vector<Sent> jobs;
  const std::vector<ClientAccount> accounts = SkewedAccounts();
  for (int i = 0; i < kAccounts; ++i) {
    AddJobsOf(i, accounts[static_cast<size_t>(i)].weight, absl::ZeroDuration(),
              kSentUntil, seed * 100 + static_cast<uint64_t>(i), jobs);
  }
  if (!burst) return jobs;
  AddJobsOf(kCrowding, accounts[kCrowding].weight * (kBurstFactor - 1),
            kBurstFrom, kBurstUntil, seed * 100 + 99, jobs);
  return jobs;
}

struct PlayOptions {
  uint64_t seed = 1;
  bool burst = false;
  bool share_over_time = true;
  // Disturbs the site, which has just started.
  std::function<void(SiteSimulation&)> disturb;
};

struct Outcome {
  // By account: the share of the jobs that were in time, of those that it sent
  // from the beginning of the burst on. Accounts that sent none have no entry.
  std::map<int, double> in_time;
  // The crowding account's jobs that ended at all.
  size_t crowding_done = 0;
  std::vector<std::string> violations;
};

struct Submitted {
  Sent job;
  JobId id = 0;
};

Outcome Evaluate(const SiteSimulation& site,
                 const std::vector<Submitted>& submitted) {
  Outcome outcome;
  outcome.violations = site.violations();
  std::map<int, int> sent;
  std::map<int, int> good;
  for (const Submitted& one : submitted) {
    const auto took = site.JobDuration(one.id);
    if (one.job.account == kCrowding && took) ++outcome.crowding_done;
    if (one.job.at < kBurstFrom) continue;
    ++sent[one.job.account];
    const int64_t task_ms = one.job.wide ? kWideMs : kShortMs;
    if (took && *took <= ObjectiveOf(task_ms)) ++good[one.job.account];
  }
  for (const auto& [account, count] : sent)
    outcome.in_time[account] = static_cast<double>(good[account]) / count;
  return outcome;
}

Outcome Play(const PlayOptions& play) {
  SiteSimulation::Options options;
  options.seed = play.seed;
  options.workers = kWorkers;
  options.failing_runs = 0;
  options.estimate_error = 0.2;
  options.queues = {QueueOf(kShort, 0), QueueOf(kWide, 1)};
  options.accounts = SkewedAccounts();
  options.policy.share_over_time = play.share_over_time;
  SiteSimulation site(options);
  std::vector<Submitted> submitted;
  for (const Sent& job : DrawJobs(play.seed, play.burst)) {
    site.After(job.at, [&site, &submitted, job] {
      submitted.push_back({job, site.Submit(job.spec, job.wide ? kWide : kShort,
                                            NameOf(job.account))});
    });
  }
  if (play.disturb) play.disturb(site);
  site.Run(kEnd);
  return Evaluate(site, submitted);
}

// Returns the mean over the other accounts of the share of jobs in time.
double MeanOfOthers(const Outcome& outcome) {
  double sum = 0;
  int count = 0;
  for (const auto& [account, share] : outcome.in_time) {
    if (account == kCrowding) continue;
    sum += share;
    ++count;
  }
  return sum / count;
}

// Returns by how much the burst lowers the mean share of the others.
double LossByBurst(PlayOptions play) {
  play.burst = false;
  const double without = MeanOfOthers(Play(play));
  play.burst = true;
  const Outcome with = Play(play);
  CAPTURE(absl::StrJoin(with.violations, "\n"));
  CHECK(with.violations.empty());
  MESSAGE("seed ", play.seed, ": without the burst ", without, ", with it ",
          MeanOfOthers(with), ", of its sender ", with.in_time.at(kCrowding),
          ", its jobs done ", with.crowding_done);
  return without - MeanOfOthers(with);
}

TEST_CASE("site shares: a burst of one account costs the others little") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    PlayOptions play;
    play.seed = seed;
    CAPTURE(seed);
    CHECK(LossByBurst(play) <= kMaxLoss);
  }
}

// The same without shares over time, so that the test above shows what they do.
TEST_CASE("site shares: shares of the moment do not contain a burst") {
  double greatest = 0;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    PlayOptions play;
    play.seed = seed;
    play.share_over_time = false;
    greatest = std::max(greatest, LossByBurst(play));
  }
  CHECK(greatest > kMaxLoss);
}

TEST_CASE("site shares: a burst costs little though its leader dies") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    PlayOptions play;
    play.seed = seed;
    play.disturb = [](SiteSimulation& site) {
      site.After(absl::Seconds(14), [&site] {
        site.ReplaceLeader(absl::Milliseconds(300), /*keep_old_leader=*/false);
      });
    };
    CAPTURE(seed);
    CHECK(LossByBurst(play) <= kMaxLoss);
  }
}

TEST_CASE("site shares: a burst costs little though its leader hands over") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    PlayOptions play;
    play.seed = seed;
    play.disturb = [](SiteSimulation& site) {
      site.After(absl::Seconds(14), [&site] {
        site.ReplaceLeader(absl::Milliseconds(100), /*keep_old_leader=*/true);
      });
    };
    CAPTURE(seed);
    CHECK(LossByBurst(play) <= kMaxLoss);
  }
}

// Removes an account, adds one, and changes weights, one of them to 0, in quick
// succession. The weights of most accounts stay.
void ScheduleConfigurations(SiteSimulation& site) {
  for (int i = 0; i < 60; ++i) {
    site.After(kBurstFrom + absl::Milliseconds(100 * i), [&site, i] {
      std::vector<ClientAccount> accounts = SkewedAccounts();
      accounts[5].weight = i % 3;
      accounts[6].weight *= 1 + i % 4;
      if (i % 2 == 0) accounts.pop_back();
      accounts.emplace_back();
      accounts.back().name = absl::StrCat("passing-", i);
      accounts.back().weight = i % 5;
      site.SetAccounts(accounts);
    });
  }
  site.After(kBurstFrom + absl::Seconds(6),
             [&site] { site.SetAccounts(SkewedAccounts()); });
}

TEST_CASE("site shares: a burst costs little while configurations change") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    PlayOptions play;
    play.seed = seed;
    play.disturb = ScheduleConfigurations;
    CAPTURE(seed);
    CHECK(LossByBurst(play) <= kMaxLoss);
  }
}

// Every job is excess while all accounts have no weight or the site has just
// begun; all are done all the same.
TEST_CASE("site shares: accounts without weight are served by a free site") {
  SiteSimulation::Options options;
  options.failing_runs = 0;
  options.policy.share_over_time = true;
  options.queues = {QueueOf(kShort, 0)};
  options.accounts = SkewedAccounts();
  for (ClientAccount& account : options.accounts) account.weight = 0;
  SiteSimulation site(options);
  std::vector<JobId> jobs;
  for (int i = 0; i < 60; ++i) {
    site.After(absl::Milliseconds(100 * i), [&site, &jobs, i] {
      jobs.push_back(site.Submit(OneStep(2, 2500, kShortMs, false), kShort,
                                 NameOf(i % kAccounts)));
    });
  }
  site.Run(absl::Seconds(12));
  for (const JobId job : jobs) {
    REQUIRE(site.JobDuration(job).has_value());
    CHECK(*site.JobDuration(job) <= ObjectiveOf(kShortMs));
  }
}

}  // namespace
}  // namespace keelbridge::testing
