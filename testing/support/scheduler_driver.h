// Drives a JobScheduler in tests of single decisions: time goes on and workers
// answer as the test says.
//
//   SchedulerDriver site(/*epoch=*/1);
//   site.AddWorker("a");
//   site.lists["a"];  // It answers looks, and runs nothing.
//   site.RunUntil(absl::Milliseconds(100));
//   CHECK(site.starts.empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_SCHEDULER_DRIVER_H_
#define KEELBRIDGE_TESTING_SUPPORT_SCHEDULER_DRIVER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/state/job_table.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge::testing {

constexpr JobId kJob = 7;
inline const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

// A site of workers "a", "b", ... that answer when the test says so.
class SchedulerDriver {
 public:
  explicit SchedulerDriver(int64_t epoch, int max_attempts = 2,
                           SchedulerPolicy policy = SchedulerPolicy())
      : scheduler_(MakeOptions(policy), epoch, kBegin) {
    SetQueue(max_attempts);
    scheduler_.OnEarlierLeadersStopped(kBegin);
  }

  // A configuration with one queue, "restore".
  void SetQueue(int max_attempts) {
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 1;
    Queue queue;
    queue.name = "restore";
    queue.pool = "pool";
    queue.max_attempts = max_attempts;
    configuration->queues.push_back(queue);
    scheduler_.SetConfiguration(configuration);
  }

  JobScheduler& scheduler() { return scheduler_; }
  Now now() const { return {now_, now_ + wall_clock_offset}; }

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

  // Takes over what `earlier` kept.
  void TakeOver(const SchedulerDriver& earlier) {
    JobRecords jobs;
    std::vector<KnownWorker> workers;
    for (const auto& [key, record] : earlier.stored_records) {
      if (const auto worker = ParseKnownWorker(record))
        workers.push_back(*worker);
      else
        jobs.Add(record);
    }
    scheduler_.Load(jobs.Build(), workers, now());
  }

  // Tasks need a ticket; the workers in `good` get one.
  void UseAdvice(const AdviceTerms& terms = {true, 500, 8, 1500}) {
    advice_terms_ = terms;
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 2;
    Queue queue;
    queue.name = "restore";
    queue.pool = "pool";
    queue.max_attempts = 2;
    queue.advice = terms;
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
    for (const AskAdviceAction& ask : std::exchange(held_advice_, {}))
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

  // The run ends on the worker.
  void End(const std::string& worker, const EndedTask& end) {
    std::vector<RunningTask>& running = reports[worker].running;
    running.erase(std::remove_if(running.begin(), running.end(),
                                 [&](const RunningTask& one) {
                                   return one.task == end.task &&
                                          one.run == end.run;
                                 }),
                  running.end());
    reports[worker].ended.push_back(end);
  }

  // Ticks until `until` after the beginning; every observation of a worker in
  // `answering` is answered with what `lists` holds for it.
  void RunUntil(absl::Duration until) {
    while (now_ < kBegin + until) {
      now_ += absl::Milliseconds(20);
      AnswerDueAdvice();
      scheduler_.Tick(now());
      scheduler_.OnTickFinished(tick_duration, now());
      if (scheduler_.HasBatch() && !hold_batches) {
        const auto batch = scheduler_.TakeBatch();
        StoreRecords(batch);
        scheduler_.OnDurable(batch.number);
      }
      for (const Action& action : scheduler_.TakeActions())
        HandleAction(action);
    }
  }

  std::map<std::string, ObserveReply> reports;   // Workers in it answer.
  std::map<std::string, Record> stored_records;  // The newest of each key.
  std::vector<LogAction> log_lines;              // For the log.
  std::set<std::string> good;
  std::set<std::string>
      other_incarnations;              // Answer that another life is there.
  std::set<std::string> down;          // Nothing listens there.
  std::set<std::string> drops_starts;  // Starts get no answer and do not run.
  // By a life that is over: the life of the same worker that is there now. It
  // carries out orders that are sent to the earlier one.
  std::map<std::string, std::string> next_incarnations;
  // Instead of `good`: by the step, its first task, and the worker.
  std::function<bool(const TaskId&, const std::string&)> is_good;
  bool hold_advice = false;
  // Advice takes as long as its terms say, one call at a time at each adviser.
  bool timed_advice = false;
  bool hold_batches = false;     // The store takes nothing.
  absl::Duration tick_duration;  // As the scheduler is told.
  absl::Duration wall_clock_offset;
  std::vector<std::vector<std::string>>
      advice_calls;  // Workers named, call by call.
  std::vector<std::vector<int32_t>> expected_uses;  // Of each of them.
  std::vector<StartOrder> starts;                   // That were carried out.
  std::vector<std::string> start_workers;
  std::vector<StartOrder> lost_starts;
  std::vector<StopOrder> stops;
  std::vector<std::string> stop_workers;
  std::vector<ObserveAction> observations;
  std::vector<std::string> forgotten_workers;  // Workers, in the order of that.

 private:
  // What an order to the worker comes to that would else be `otherwise`.
  OrderResult ResultAt(const std::string& worker, OrderResult fallback) const {
    if (other_incarnations.count(worker) > 0)
      return OrderResult::kOtherIncarnation;
    if (down.count(worker) > 0) return OrderResult::kNotSent;
    return fallback;
  }

  static JobScheduler::Options MakeOptions(SchedulerPolicy policy) {
    JobScheduler::Options options;
    options.policy = policy;
    return options;
  }
  void StoreRecords(const JobScheduler::Batch& batch) {
    for (const Record& record : batch.records) {
      if (record.value)
        stored_records[record.key] = record;
      else
        stored_records.erase(record.key);
    }
  }

  void AnswerAdvice(const AskAdviceAction& ask) {
    AdviceReply reply;
    reply.answered = true;
    for (const std::string& worker : ask.request.workers) {
      const bool is_good_here =
          is_good ? is_good(ask.request.step, worker) : good.count(worker) > 0;
      if (is_good_here) reply.good.push_back({worker, "t"});
    }
    scheduler_.OnAdvice(ask, reply, now());
  }

  void ScheduleAdvice(const AskAdviceAction& ask) {
    const double duration_ms =
        advice_terms_.base_ms +
        advice_terms_.per_worker_ms *
            static_cast<double>(ask.request.workers.size());
    absl::Time& free_at = adviser_free_at_[ask.adviser];
    free_at = std::max(free_at, now_) + absl::Milliseconds(duration_ms);
    scheduled_advice_.emplace(free_at, ask);
  }

  void AnswerDueAdvice() {
    while (!scheduled_advice_.empty() &&
           scheduled_advice_.begin()->first <= now_) {
      const AskAdviceAction ask = scheduled_advice_.begin()->second;
      scheduled_advice_.erase(scheduled_advice_.begin());
      AnswerAdvice(ask);
    }
  }

  void HandleAction(const Action& action) {
    if (const auto* observe = std::get_if<ObserveAction>(&action)) {
      const auto list = reports.find(observe->worker.id);
      ObserveReply reply;
      if (list != reports.end()) {
        reply = list->second;
        reply.order.result = OrderResult::kDone;
        reply.order.clock_ms = absl::ToInt64Milliseconds(now_ - kBegin) + 1000;
      }
      reply.order.result = ResultAt(observe->worker.id, reply.order.result);
      const auto next = next_incarnations.find(observe->worker.id);
      if (next != next_incarnations.end()) {
        reply = ObserveReply();
        reply.order.result = OrderResult::kOtherIncarnation;
        reply.order.incarnation = next->second;
      }
      int64_t& fence =
          fences_[next == next_incarnations.end() ? observe->worker.id
                                                  : next->second];
      if (observe->order.fence < fence)
        reply.order.result = OrderResult::kFenced;
      fence = std::max(fence, observe->order.fence);
      observations.push_back(*observe);
      scheduler_.OnObserveReply(*observe, reply, now_ - absl::Milliseconds(1),
                                now());
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      advice_calls.push_back(ask->request.workers);
      expected_uses.push_back(ask->expected_cpu_milli);
      if (hold_advice)
        held_advice_.push_back(*ask);
      else if (timed_advice)
        ScheduleAdvice(*ask);
      else
        AnswerAdvice(*ask);
    } else if (const auto* start = std::get_if<StartAction>(&action)) {
      OrderReply reply;
      const bool lost = drops_starts.count(start->worker.id) > 0;
      reply.result = ResultAt(
          start->worker.id, lost ? OrderResult::kUnknown : OrderResult::kDone);
      scheduler_.OnStartReply(*start, reply, now());
      if (lost) lost_starts.push_back(start->order);
      if (reply.result != OrderResult::kDone) return;
      starts.push_back(start->order);
      start_workers.push_back(start->worker.id);
      const auto next = next_incarnations.find(start->worker.id);
      reports[next == next_incarnations.end() ? start->worker.id : next->second]
          .running.push_back({start->order.task, start->order.run, "", 0});
    } else if (const auto* line = std::get_if<LogAction>(&action)) {
      log_lines.push_back(*line);
    } else if (const auto* gone = std::get_if<ForgetWorkerAction>(&action)) {
      forgotten_workers.push_back(gone->worker_id);
    } else if (const auto* stop = std::get_if<StopAction>(&action)) {
      stops.push_back(stop->order);
      stop_workers.push_back(stop->worker.id);
      OrderReply reply;
      reply.result = ResultAt(stop->worker.id, OrderResult::kDone);
      scheduler_.OnStopReply(*stop, reply, now());
    }
  }

  AdviceTerms advice_terms_;
  std::vector<AskAdviceAction> held_advice_;
  std::multimap<absl::Time, AskAdviceAction> scheduled_advice_;
  std::map<std::string, absl::Time> adviser_free_at_;
  std::map<std::string, int64_t> fences_;  // By life: the highest it has seen.
  absl::Time now_ = kBegin;
  JobScheduler scheduler_;
};

inline StepSpec OneTask(int32_t cpu_milli = 2000) {
  StepSpec step;
  step.need = {cpu_milli, 1024, 0};
  step.estimated_ms = 1000;
  return step;
}

inline const TaskId kTask{kJob, 0, 0, 0};

inline StepSpec LongRunningTask() {
  StepSpec step = OneTask();
  step.long_running = true;
  return step;
}

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SCHEDULER_DRIVER_H_
