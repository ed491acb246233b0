// Single decisions of the site's scheduler; whole sites under failure are in
// testing/site_simulation_test.cc.

#include "keelbridge/coordination/job_scheduler.h"

#include <doctest/doctest.h>

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace keelbridge {
namespace {

constexpr JobId kJob = 7;
const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

// A site of workers "a", "b", ... that answer when the test says so.
class Driver {
 public:
  explicit Driver(int64_t epoch, int most_attempts = 2,
                  SchedulerPolicy policy = SchedulerPolicy())
      : scheduler_(OptionsWith(policy), epoch, kBegin) {
    UseQueue(most_attempts);
    scheduler_.OnEarlierLeaderStopped(kBegin);
  }

  // A configuration with one queue, "restore".
  void UseQueue(int most_attempts) {
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 1;
    Queue queue;
    queue.name = "restore";
    queue.pool = "pool";
    queue.most_attempts = most_attempts;
    configuration->queues.push_back(queue);
    scheduler_.SetConfiguration(configuration);
  }

  JobScheduler& scheduler() { return scheduler_; }
  Now now() const { return {now_, now_ + time_of_day_is_ahead}; }

  // A job of an earlier leader, and the workers that it may have given work.
  void Recover(const StepSpec& step,
               const std::vector<KnownWorker>& known_workers = {}) {
    JobSpec spec;
    spec.steps.push_back(step);
    JobTable jobs;
    auto job = std::make_unique<Job>(kJob, "restore", spec, 0);
    job->AddRound(0);
    job->recovered = true;
    jobs.emplace(kJob, std::move(job));
    scheduler_.Load(std::move(jobs), known_workers, now());
  }

  // Tasks need a ticket; the workers in `good` get one.
  void UseAdvice() {
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 2;
    Queue queue;
    queue.name = "restore";
    queue.pool = "pool";
    queue.most_attempts = 2;
    queue.advice = {true, 500, 8, 1500};
    configuration->queues.push_back(queue);
    queue.name = "plain";
    queue.advice = AdviceTerms();
    configuration->queues.push_back(queue);
    scheduler_.SetConfiguration(configuration);
    scheduler_.SetAdvisers({"n"}, "n");
  }

  void UseAdvisers(int count) {
    std::vector<std::string> nodes;
    nodes.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) nodes.push_back("n" + std::to_string(i));
    scheduler_.SetAdvisers(nodes, "n0");
  }

  void AnswerHeldAdvice() {
    for (const AskAdviceAction& ask : std::exchange(held_, {}))
      AnswerAdvice(ask);
  }

  static WorkerRecord RecordOf(const std::string& id, int32_t cpu_milli) {
    WorkerRecord record;
    record.id = id;
    record.machine = "m-" + id;
    record.pool = "pool";
    record.capacity = {cpu_milli, 8192, 0};
    return record;
  }

  void AddWorker(const std::string& id, int32_t cpu_milli = 8000) {
    scheduler_.OnWorkerRecord(RecordOf(id, cpu_milli), now());
  }

  // Ticks until `until` after the beginning; every observation of a worker in
  // `answering` is answered with what `lists` holds for it.
  void RunUntil(absl::Duration until) {
    while (now_ < kBegin + until) {
      now_ += absl::Milliseconds(20);
      scheduler_.Tick(now());
      if (scheduler_.HasBatch()) {
        const auto batch = scheduler_.TakeBatch();
        scheduler_.OnDurable(batch.number);
      }
      for (const Action& action : scheduler_.TakeActions()) Answer(action);
    }
  }

  std::map<std::string, ObserveReply> lists;  // Workers in it answer.
  std::set<std::string> good;
  std::set<std::string> other_lives;  // Answer that another life is there.
  bool hold_advice = false;
  absl::Duration time_of_day_is_ahead;
  std::vector<std::vector<std::string>> asks;  // Workers named, call by call.
  std::vector<std::vector<int32_t>> hopes;     // Of each of them.
  std::vector<StartOrder> starts;
  std::vector<std::string> start_workers;
  std::vector<StopOrder> stops;

 private:
  static JobScheduler::Options OptionsWith(SchedulerPolicy policy) {
    JobScheduler::Options options;
    options.policy = policy;
    return options;
  }
  void AnswerAdvice(const AskAdviceAction& ask) {
    AdviceReply reply;
    reply.answered = true;
    for (const std::string& worker : ask.request.workers) {
      if (good.count(worker) > 0) reply.good.push_back({worker, "t"});
    }
    scheduler_.OnAdvice(ask, reply, now());
  }

  void Answer(const Action& action) {
    if (const auto* look = std::get_if<ObserveAction>(&action)) {
      const auto list = lists.find(look->worker.id);
      ObserveReply reply;
      if (list != lists.end()) {
        reply = list->second;
        reply.order.result = OrderResult::kDone;
        reply.order.clock_ms = absl::ToInt64Milliseconds(now_ - kBegin) + 1000;
      }
      if (other_lives.count(look->worker.id) > 0)
        reply.order.result = OrderResult::kOtherLife;
      scheduler_.OnObserveReply(*look, reply, now_ - absl::Milliseconds(1),
                                now());
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      asks.push_back(ask->request.workers);
      hopes.push_back(ask->hoped_milli);
      if (hold_advice)
        held_.push_back(*ask);
      else
        AnswerAdvice(*ask);
    } else if (const auto* start = std::get_if<StartAction>(&action)) {
      starts.push_back(start->order);
      start_workers.push_back(start->worker.id);
      OrderReply reply;
      reply.result = OrderResult::kDone;
      scheduler_.OnStartReply(*start, reply, now());
      lists[start->worker.id].running.push_back(
          {start->order.task, start->order.run, "", 0});
    } else if (const auto* stop = std::get_if<StopAction>(&action)) {
      stops.push_back(stop->order);
      OrderReply reply;
      reply.result = OrderResult::kDone;
      scheduler_.OnStopReply(*stop, reply, now());
    }
  }

  std::vector<AskAdviceAction> held_;
  absl::Time now_ = kBegin;
  JobScheduler scheduler_;
};

StepSpec OneTask(int32_t cpu_milli = 2000) {
  StepSpec step;
  step.need = {cpu_milli, 1024, 0};
  step.estimated_ms = 1000;
  return step;
}

const TaskId kTask{kJob, 0, 0, 0};

TEST_CASE("job scheduler: failed runs count once each, heard in any order") {
  Driver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  // Worker b, heard first, tells of the second run; a of the first.
  site.lists["b"].ended = {{1, kTask, 2, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(100));
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
  site.lists["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.scheduler().Status(kJob) == JobState::kFailed);
  CHECK(site.starts.empty());
}

TEST_CASE("job scheduler: a failed end that is heard again is not counted") {
  Driver first(1);
  first.Recover(OneTask());
  first.AddWorker("a");
  first.lists["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  JobRecords records;
  first.scheduler().Tick(first.now());
  for (const Action& action : first.scheduler().TakeActions()) {
    if (const auto* look = std::get_if<ObserveAction>(&action)) {
      ObserveReply reply = first.lists["a"];
      reply.order.result = OrderResult::kDone;
      reply.order.clock_ms = 1000;
      first.scheduler().OnObserveReply(*look, reply, first.now().mono,
                                       first.now());
    }
  }
  JobSpec spec;
  spec.steps.push_back(OneTask());
  records.Add(DescriptionRecord(Job(kJob, "restore", spec, 0)));
  for (const Record& record : first.scheduler().TakeBatch().records)
    records.Add(record);
  // The leader dies before the worker hears that the end was noted.
  Driver second(2);
  second.scheduler().Load(records.Build(), {}, second.now());
  second.AddWorker("a");
  second.lists["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  second.RunUntil(absl::Milliseconds(500));
  CHECK(second.scheduler().Status(kJob) == JobState::kRunning);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].run == FirstRunOfEpoch(2));
}

TEST_CASE(
    "job scheduler: a run adopted from an earlier leader is not given up "
    "before that leader's lease has passed") {
  Driver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  site.lists["a"].running = {{kTask, 1, "", 10}};
  site.lists["b"];
  // One look each, then a is silent.
  site.scheduler().Tick(site.now());
  for (const Action& action : site.scheduler().TakeActions()) {
    if (const auto* look = std::get_if<ObserveAction>(&action)) {
      ObserveReply reply = site.lists[look->worker.id];
      reply.order.result = OrderResult::kDone;
      reply.order.clock_ms = 1000;
      site.scheduler().OnObserveReply(*look, reply, site.now().mono,
                                      site.now());
    }
  }
  site.lists.erase("a");
  site.RunUntil(absl::Milliseconds(5900));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(14));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.start_workers[0] == "b");
}

TEST_CASE("job scheduler: a job starts only once its acceptance is durable") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  const int64_t batch = site.scheduler().Submit(9, "restore", spec, site.now());
  CHECK(batch > 0);
  site.scheduler().Tick(site.now());
  for (const Action& action : site.scheduler().TakeActions())
    CHECK_FALSE(std::holds_alternative<StartAction>(action));
  site.scheduler().TakeBatch();
  site.scheduler().OnDurable(batch);
  CHECK(site.scheduler().Submit(9, "restore", spec, site.now()) == 0);
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a gang whose good workers are full asks about others") {
  Driver site(1);
  site.UseAdvice();
  for (const char* id : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "z"}) {
    site.AddWorker(id);
    site.lists[id];
  }
  site.good = {"a", "b", "z"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec gang;
  gang.steps.push_back(OneTask(8000));
  gang.steps[0].gang = true;
  JobSpec filler;
  filler.steps.push_back(OneTask(8000));
  // While the answer is on its way, others take both workers that it will name.
  site.hold_advice = true;
  site.scheduler().Submit(1, "restore", gang, site.now());
  site.RunUntil(absl::Milliseconds(200));
  site.scheduler().Submit(2, "plain", filler, site.now());
  site.scheduler().Submit(3, "plain", filler, site.now());
  site.RunUntil(absl::Milliseconds(400));
  REQUIRE(site.start_workers == std::vector<std::string>{"a", "b"});
  site.hold_advice = false;
  site.AnswerHeldAdvice();
  site.RunUntil(absl::Seconds(4));
  REQUIRE(site.starts.size() == 3);
  CHECK(site.start_workers[2] == "z");
}

TEST_CASE(
    "job scheduler: runs of unknown size keep all room until the last has "
    "ended") {
  Driver site(2);
  JobTable jobs;
  auto ended = std::make_unique<Job>(5, "restore", JobSpec(), 0);
  ended->end = JobState::kCancelled;
  jobs.emplace(5, std::move(ended));
  site.scheduler().Load(std::move(jobs), {}, site.now());
  site.AddWorker("a");
  site.lists["a"].running = {{{5, 0, 0, 0}, 1, "", 0},
                             {{5, 0, 0, 1}, 1, "", 0}};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask(6000));
  site.scheduler().Submit(9, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  site.lists["a"].running.erase(site.lists["a"].running.begin());
  site.lists["a"].ended = {{1, {5, 0, 0, 0}, 1, RunEnd::kStopped, ""}};
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.starts.empty());
  site.lists["a"].running.clear();
  site.lists["a"].ended.push_back({2, {5, 0, 0, 1}, 1, RunEnd::kStopped, ""});
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: what an earlier leader cannot have started does not "
    "wait for workers that are gone") {
  Driver site(2);
  JobSpec two;
  two.steps = {OneTask(), OneTask()};
  two.steps[1].after = {0};
  JobSpec one;
  one.steps = {OneTask()};
  JobTable jobs;
  for (const auto& [id, spec] :
       std::map<JobId, JobSpec>{{kJob, two}, {8, one}}) {
    auto job = std::make_unique<Job>(id, "restore", spec, 0);
    job->AddRound(0);
    job->recovered = true;
    jobs.emplace(id, std::move(job));
  }
  WorkerRecord gone;
  gone.id = "gone";
  gone.machine = "m-gone";
  gone.pool = "pool";
  gone.capacity = {8000, 8192, 0};
  site.scheduler().Load(std::move(jobs), {{gone, 1}}, site.now());
  site.AddWorker("a");
  site.lists["a"].running = {{kTask, 1, "", 50}};
  site.RunUntil(absl::Milliseconds(300));
  CHECK(site.starts.empty());
  // The first step ends under this leader: nobody else saw that.
  site.lists["a"].running.clear();
  site.lists["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.starts[0].task == TaskId{kJob, 0, 1, 0});
  // The other job may run on the worker that is gone until its lease is over.
  site.RunUntil(absl::Seconds(9));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.starts[1].task.job == 8);
}

TEST_CASE("job scheduler: advice is asked only for work that has room") {
  Driver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (const char* id : {"a", "b", "c", "d"}) {
    site.AddWorker(id);
    site.lists[id];
  }
  // Each worker has room for one task at a time: 4 of 40 jobs.
  for (JobId id = 100; id < 140; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.asks.size() >= 1);
  CHECK(site.asks.size() <= 8);
}

TEST_CASE("job scheduler: steps that ask at once hope for different workers") {
  Driver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id));
    site.lists[std::string(1, id)];
  }
  for (JobId id = 100; id < 102; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.asks.size() == 2);
  std::set<std::string> hoped_for;
  size_t hopes = 0;
  for (size_t ask = 0; ask < 2; ++ask) {
    for (size_t i = 0; i < site.asks[ask].size(); ++i) {
      if (site.hopes[ask][i] == 0) continue;
      hoped_for.insert(site.asks[ask][i]);
      ++hopes;
    }
  }
  CHECK(hopes >= 2);
  CHECK(hoped_for.size() == hopes);
}

TEST_CASE("job scheduler: steps that ask at once ask about different workers") {
  // Where all workers are named by each call, only their hopes differ.
  SchedulerPolicy few_named;
  few_named.name_by_cost = false;
  Driver site(1, 2, few_named);
  site.UseAdvice();
  site.UseAdvisers(40);
  site.hold_advice = true;
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id));
    site.lists[std::string(1, id)];
  }
  for (JobId id = 100; id < 102; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask(8000));
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.asks.size() == 2);
  std::set<std::string> both(site.asks[0].begin(), site.asks[0].end());
  both.insert(site.asks[1].begin(), site.asks[1].end());
  CHECK(both.size() == site.asks[0].size() + site.asks[1].size());
}

TEST_CASE(
    "job scheduler: a step whose workers have no room does not ask on and on") {
  Driver site(1);
  site.UseAdvice();
  site.UseAdvisers(40);
  for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
    site.AddWorker(id);
    site.lists[id];
  }
  // No worker may run it: all are asked about once, and not each turn again.
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  site.scheduler().Submit(100, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(2));
  CHECK(site.asks.size() <= 6);
}

// Played: a worker was gone at 37.8 s, its lease over at 47.8 s, and the advice
// for where its tasks could go came at 48.6 s.
TEST_CASE(
    "job scheduler: a lasting task on a silent worker starts again as soon as "
    "its lease has passed") {
  Driver site(1);
  site.UseAdvice();
  site.UseAdvisers(9);
  site.AddWorker("a");
  site.lists["a"];
  site.good = {"a", "b"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  spec.steps[0].lasting = true;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(1));
  REQUIRE(site.start_workers == std::vector<std::string>{"a"});
  site.AddWorker("b");
  site.lists["b"];
  const size_t asked = site.asks.size();
  site.lists.erase("a");
  site.RunUntil(absl::Milliseconds(7050));
  CHECK(site.starts.size() == 1);
  CHECK(site.asks.size() > asked);
  site.hold_advice = true;
  site.RunUntil(absl::Milliseconds(7400));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.start_workers[1] == "b");
}

TEST_CASE("job scheduler: a leader that is late starts little at a time") {
  Driver site(1);
  for (char id = 'a'; id < 'm'; ++id) {
    site.AddWorker(std::string(1, id), 64000);
    site.lists[std::string(1, id)];
  }
  JobSpec spec;
  spec.steps.push_back(OneTask(1000));
  spec.steps.back().count = 90;
  site.scheduler().SetLag(absl::Milliseconds(300));
  site.scheduler().Submit(100, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(100));
  CHECK(site.starts.size() > 0);
  CHECK(site.starts.size() <= 20);
  site.scheduler().SetLag(absl::ZeroDuration());
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.starts.size() == 90);
}

TEST_CASE(
    "job scheduler: a lingering record of an earlier life does not end the "
    "life that is there") {
  Driver site(2);
  JobSpec spec;
  spec.steps = {OneTask()};
  JobTable jobs;
  auto job = std::make_unique<Job>(kJob, "restore", spec, 0);
  job->AddRound(0);
  job->recovered = true;
  jobs.emplace(kJob, std::move(job));
  WorkerRecord now_there;
  now_there.id = "new-life";
  now_there.machine = "m";
  now_there.address = "10.0.0.1:1";
  now_there.pool = "pool";
  now_there.capacity = {8000, 8192, 0};
  site.scheduler().Load(std::move(jobs), {{now_there, 1}}, site.now());
  site.AddWorker("other");
  site.lists["other"];
  // The platform still lists the life before it, and only that one.
  WorkerRecord gone = now_there;
  gone.id = "old-life";
  site.scheduler().OnWorkerRecord(gone, site.now());
  site.other_lives.insert("old-life");
  site.RunUntil(absl::Seconds(1));
  // The life that is there answers late, and runs the task.
  CHECK(site.starts.empty());
  site.lists["new-life"].running = {{kTask, 1, "", 50}};
  site.RunUntil(absl::Seconds(5));
  CHECK(site.starts.empty());
}

TEST_CASE(
    "job scheduler: an ended job stays known when the time of day jumps") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
  site.lists["a"].running.clear();
  site.lists["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.time_of_day_is_ahead = absl::Minutes(10);
  site.RunUntil(absl::Seconds(4));
  // Handed in again, seconds after its acceptance: it is the same job.
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(5));
  CHECK(site.starts.size() == 1);
  site.time_of_day_is_ahead = -absl::Minutes(10);
  site.RunUntil(absl::Seconds(140));
  CHECK(!site.scheduler().Status(kJob));
}

TEST_CASE(
    "job scheduler: a later leader whose time of day is ahead knows ended "
    "jobs") {
  Job ended(kJob, "restore", JobSpec(), 0);
  ended.end = JobState::kCompleted;
  ended.ended_ms = absl::ToUnixMillis(kBegin);
  JobRecords records;
  records.Add(ProgressRecord(ended));
  Driver site(2);
  site.time_of_day_is_ahead = absl::Minutes(10);
  site.scheduler().Load(records.Build(), {}, site.now());
  site.RunUntil(absl::Seconds(100));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  site.time_of_day_is_ahead = -absl::Minutes(10);
  site.RunUntil(absl::Seconds(150));
  CHECK(!site.scheduler().Status(kJob));
}

TEST_CASE(
    "job scheduler: a job that is handed in again as it is forgotten is kept") {
  Job ended(kJob, "restore", JobSpec(), 0);
  ended.end = JobState::kCompleted;
  JobRecords before;
  before.Add(ProgressRecord(ended));
  JobScheduler scheduler(JobScheduler::Options(), 2, kBegin);
  scheduler.Load(before.Build(), {}, {kBegin, kBegin});
  const absl::Time later = kBegin + absl::Minutes(10);
  scheduler.Tick({later, later});
  REQUIRE(!scheduler.Status(kJob));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  scheduler.Submit(kJob, "restore", spec, {later, later});
  // Both go into one batch; what a later leader loads after it.
  JobRecords after;
  after.Add(ProgressRecord(ended));
  for (const Record& record : scheduler.TakeBatch().records) after.Add(record);
  const JobTable jobs = after.Build();
  REQUIRE(jobs.count(kJob) == 1);
  CHECK(!jobs.at(kJob)->Ended());
}

TEST_CASE(
    "job scheduler: a job whose queue is removed stays known, and runs once "
    "the queue is back") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  auto without = std::make_shared<SiteConfiguration>();
  without->version = 2;
  auto with = std::make_shared<SiteConfiguration>();
  with->version = 3;
  Queue queue;
  queue.name = "restore";
  queue.pool = "pool";
  with->queues.push_back(queue);
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.scheduler().SetConfiguration(without);
  site.RunUntil(absl::Seconds(300));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().Status(kJob) == JobState::kQueued);
  site.scheduler().SetConfiguration(with);
  site.RunUntil(absl::Seconds(301));
  CHECK(site.starts.size() == 1);
}

TEST_CASE("job scheduler: a suspended leader starts nothing") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  site.scheduler().SetSuspended(true);
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(9, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.starts.empty());
  site.scheduler().SetSuspended(false);
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.size() == 1);
}

// A batch that was cut into several appends may leave the description of an
// ended job behind: without its end it would be a job that has to run.
TEST_CASE("job scheduler: of a forgotten job no record stays") {
  JobSpec spec;
  spec.steps.push_back(OneTask());
  Job ended(kJob, "restore", spec, absl::ToUnixMillis(kBegin));
  ended.end = JobState::kCompleted;
  ended.ended_ms = absl::ToUnixMillis(kBegin);
  JobRecords records;
  records.Add(DescriptionRecord(ended));
  records.Add(ProgressRecord(ended));
  JobScheduler scheduler(JobScheduler::Options(), 1, kBegin);
  scheduler.Load(records.Build(), {}, {kBegin, kBegin});
  REQUIRE(scheduler.Status(kJob) == JobState::kCompleted);
  const absl::Time later = kBegin + absl::Minutes(5);
  scheduler.Tick({later, later});
  REQUIRE(!scheduler.Status(kJob));
  for (const Record& record : scheduler.TakeBatch().records)
    records.Add(record);
  CHECK(records.Build().empty());
}

// The limit of attempts is the configuration's. A leader may hear of ends
// before it has one that names the queue.
TEST_CASE(
    "job scheduler: a job whose attempts are used up does not start when its "
    "queue becomes known") {
  Driver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  auto without = std::make_shared<SiteConfiguration>();
  without->version = 0;
  site.scheduler().SetConfiguration(without);
  site.lists["a"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  site.lists["b"].ended = {{1, kTask, 2, RunEnd::kFailed, ""}};
  site.RunUntil(absl::Milliseconds(200));
  CHECK(site.scheduler().Status(kJob) == JobState::kRunning);
  site.UseQueue(/*most_attempts=*/2);
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().Status(kJob) == JobState::kFailed);
}

TEST_CASE(
    "job scheduler: a run that a long list of ends has no room for is not "
    "missing") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(OneTask());
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
  // It has ended, and its end stands behind those that the answer lists.
  site.lists["a"].running.clear();
  site.lists["a"].more_ends = true;
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.starts.size() == 1);
  site.lists["a"].more_ends = false;
  site.lists["a"].ended = {{1, kTask, 1, RunEnd::kDone, ""}};
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a worker with more ends than it listed is not accounted "
    "for") {
  Driver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("b");
  site.lists["b"];
  // The end of the recovered task stands behind those that were listed.
  site.lists["a"].ended = {{1, {99, 0, 0, 0}, 1, RunEnd::kDone, ""}};
  site.lists["a"].more_ends = true;
  site.RunUntil(absl::Milliseconds(300));
  CHECK(site.starts.empty());
  site.lists["a"].ended = {{2, kTask, 1, RunEnd::kDone, ""}};
  site.lists["a"].more_ends = false;
  site.RunUntil(absl::Seconds(1));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.starts.empty());
}

// Those that were asked may be fewer than those that led.
TEST_CASE(
    "job scheduler: whoever has stopped, what was given before the fence "
    "counts from the fence") {
  Driver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("gone");  // Never answers.
  site.lists["a"];
  site.scheduler().OnFenced(kBegin + absl::Seconds(4));
  site.RunUntil(absl::Milliseconds(9900));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(12));
  CHECK(site.starts.size() == 1);
}

StepSpec LastingTask() {
  StepSpec step = OneTask();
  step.lasting = true;
  return step;
}

// The worker answered leader 1 last and ended. Leaders 2 and 3 never heard it,
// so that no lease of theirs is waited for: 4 waits for those of 1, which 2 had
// fenced 5 s before.
TEST_CASE(
    "job scheduler: the lease of a silent worker does not begin anew with "
    "each leader") {
  Driver site(4);
  site.Recover(LastingTask(), {{Driver::RecordOf("ended", 8000), 1}});
  site.scheduler().OnEarlierLeaderSeen(2, kBegin - absl::Seconds(5));
  site.scheduler().OnEarlierLeaderSeen(3, kBegin - absl::Seconds(1));
  site.scheduler().OnFenced(kBegin + absl::Seconds(6));
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Milliseconds(7100));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Milliseconds(7500));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

// It answered leader 3, which may have extended its lease until it was fenced.
TEST_CASE("job scheduler: a lease that the last leader may have given counts") {
  Driver site(4);
  site.Recover(LastingTask(), {{Driver::RecordOf("ended", 8000), 3}});
  site.scheduler().OnEarlierLeaderSeen(2, kBegin - absl::Seconds(5));
  site.scheduler().OnEarlierLeaderSeen(3, kBegin - absl::Seconds(1));
  site.scheduler().OnFenced(kBegin + absl::Seconds(6));
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Seconds(12));
  CHECK(site.starts.empty());
  site.RunUntil(absl::Seconds(13));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

TEST_CASE(
    "job scheduler: a lease is extended only once later leaders are told") {
  JobScheduler scheduler(JobScheduler::Options(), 2, kBegin);
  scheduler.Load({}, {{Driver::RecordOf("a", 8000), 1}}, {kBegin, kBegin});
  ObserveReply reply;
  reply.order.result = OrderResult::kDone;
  const auto extends = [&](absl::Duration after) {
    const Now now{kBegin + after, kBegin + after};
    scheduler.Tick(now);
    for (const Action& action : scheduler.TakeActions()) {
      const auto* look = std::get_if<ObserveAction>(&action);
      if (look == nullptr) continue;
      reply.order.clock_ms = absl::ToInt64Milliseconds(after);
      scheduler.OnObserveReply(*look, reply, now.mono, now);
      return look->order.lease_until_ms > 0;
    }
    return false;
  };
  CHECK_FALSE(extends(absl::Milliseconds(10)));  // Its clock is not known.
  CHECK_FALSE(extends(absl::Milliseconds(400)));
  const JobScheduler::Batch batch = scheduler.TakeBatch();
  REQUIRE(batch.records.size() == 1);
  CHECK(KnownWorkerFrom(batch.records[0])->epoch == 2);
  scheduler.OnDurable(batch.number);
  CHECK(extends(absl::Milliseconds(800)));
}

TEST_CASE("known workers: a record that names no leader may be anybody's") {
  const KnownWorker known{Driver::RecordOf("a", 8000), 7};
  CHECK(KnownWorkerFrom(KnownWorkerRecord(known))->epoch == 7);
  const auto old = KnownWorkerFrom(Record{KnownWorkerKey("a"), "{}", -1});
  REQUIRE(old.has_value());
  CHECK(old->epoch == std::numeric_limits<int64_t>::max());
}

TEST_CASE("job scheduler: a lasting task moves before its worker leaves") {
  Driver site(1);
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps.push_back(LastingTask());
  spec.steps.push_back(OneTask());  // Runs on to its end there.
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.start_workers == std::vector<std::string>{"a", "a"});
  WorkerRecord leaving = Driver::RecordOf("a", 8000);
  leaving.draining = true;
  leaving.leaves_in_ms = 9000;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  // Without room elsewhere it stays at work.
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.stops.empty());
  site.AddWorker("b");
  site.lists["b"];
  site.RunUntil(absl::Milliseconds(600));
  REQUIRE(site.stops.size() == 1);
  CHECK(site.stops[0].task == kTask);
  CHECK(site.starts.size() == 2);
  site.lists["a"].running.erase(site.lists["a"].running.begin());
  site.lists["a"].ended = {{1, kTask, site.stops[0].run, RunEnd::kStopped, ""}};
  site.RunUntil(absl::Milliseconds(900));
  REQUIRE(site.starts.size() == 3);
  CHECK(site.starts[2].task == kTask);
  CHECK(site.start_workers[2] == "b");
}

}  // namespace
}  // namespace keelbridge
