// Drives a JobScheduler in tests of single decisions. The test controls the
// clock and the workers' replies.
//
//   SchedulerDriver site(/*epoch=*/1);
//   site.AddWorker("a");
//   site.reports["a"];  // Answers observations; nothing runs on it.
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
// How long a worker takes for a stop that it has accepted, at most.
constexpr absl::Duration kMaxStopDuration = absl::Milliseconds(900);

// What a leader knows when it begins.
enum class EarlierLeadersAre {
  kStopped,
  kUnconfirmed,  // They were fenced, but may still send orders.
};

// Simulates a site of workers "a", "b", ... that answer as the test directs.
class SchedulerDriver {
 public:
  explicit SchedulerDriver(
      int64_t epoch, int max_attempts = 2,
      SchedulerPolicy policy = SchedulerPolicy(),
      EarlierLeadersAre earlier_leaders = EarlierLeadersAre::kStopped)
      : SchedulerDriver(epoch, MakeOptions(policy), earlier_leaders,
                        max_attempts) {}
  SchedulerDriver(
      int64_t epoch, const JobScheduler::Options& options,
      EarlierLeadersAre earlier_leaders = EarlierLeadersAre::kStopped,
      int max_attempts = 2)
      : epoch_(epoch), scheduler_(options, epoch, kBegin) {
    SetQueue(max_attempts);
    if (earlier_leaders == EarlierLeadersAre::kStopped)
      scheduler_.OnEarlierLeadersStopped(kBegin);
    else
      scheduler_.OnEarlierLeadersFenced(kBegin);
  }

  // Sets a configuration with one queue, "restore".
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

  // Loads a job of an earlier leader, and the workers to which that leader may
  // have assigned tasks.
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

  // This leader has heard the clock of `earlier` at this moment. To be called
  // before `TakeOver`.
  void HearClockOf(const SchedulerDriver& earlier) {
    LeaderClock clock;
    clock.OnReading(earlier.now_, now_);
    scheduler_.OnEarlierLeaderClock(earlier.epoch_, clock);
  }

  // Loads the records that `earlier` has stored, as a new leader does.
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

  // Sets a configuration in which tasks of the queue "restore" need a ticket,
  // while those of the queue "plain" do not. Workers in `good` get one.
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
    scheduler_.SetAdvisers({{"n", ""}}, "n");
  }

  void UseAdvisers(int count) {
    std::vector<AdviserNode> nodes;
    nodes.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
      nodes.push_back({"n" + std::to_string(i), ""});
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

  // Delivers the answers that were held since the last call, in the order in
  // which the calls were made.
  void DeliverHeldAnswers() {
    for (const auto& deliver : std::exchange(held_answers_, {})) deliver();
  }
  // Delivers one of the held answers. `index` is below `held_answers()`.
  void DeliverHeldAnswer(size_t index) {
    const auto found = held_answers_.begin() + static_cast<ptrdiff_t>(index);
    const auto deliver = std::move(*found);
    held_answers_.erase(found);
    deliver();
  }
  size_t held_answers() const { return held_answers_.size(); }

  // Ends the run on the worker, so that its next report contains the end.
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

  // Ticks until `until` after `kBegin`. Each observation of a worker that has
  // an entry in `reports` is answered with that entry.
  void RunUntil(absl::Duration until) {
    while (now_ < kBegin + until) {
      now_ += tick_interval;
      AnswerDueAdvice();
      CarryOutDueStops();
      const SchedulerFigures before =
          tick_cost ? scheduler_.figures() : SchedulerFigures();
      scheduler_.Tick(now());
      if (tick_cost) tick_duration = tick_cost(before, scheduler_.figures());
      if (ticks_take_time) now_ += tick_duration;
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

  // By worker: the reply to observations. Workers without an entry do not
  // answer.
  std::map<std::string, ObserveReply> reports;
  // By key: the newest stored record.
  std::map<std::string, Record> stored_records;
  std::vector<LogAction> log_lines;  // Log lines of the scheduler.
  std::set<std::string> eligible;    // Workers that the advice accepts.
  // Workers that answer that another incarnation runs at their address.
  std::set<std::string> other_incarnations;
  std::set<std::string> down;  // Workers at whose address nothing listens.
  // Workers to which the leader has no connection free.
  std::set<std::string> no_connection;
  // Workers that neither answer nor carry out start orders.
  std::set<std::string> drops_starts;
  // Workers that carry out stop orders while their answers get lost.
  std::set<std::string> loses_stop_answers;
  // Workers whose answers to observations, or to orders, which they carry out,
  // arrive only once `DeliverHeldAnswers` is called.
  std::set<std::string> holds_reports;
  std::set<std::string> holds_order_answers;
  // Workers that no call reaches. Their runs and stops go on.
  std::set<std::string> cut_off;
  // By an ended incarnation: the current incarnation of the same worker, which
  // carries out orders that are sent to the ended one.
  std::map<std::string, std::string> next_incarnations;
  // If set, decides instead of `good` whether the worker may run the step that
  // the first task of the step identifies.
  std::function<bool(const TaskId&, const std::string&)> is_eligible;
  // Advice calls are answered only by `AnswerHeldAdvice`.
  bool hold_advice = false;
  // Each advice call takes as long as its terms say, and each adviser handles
  // one call at a time.
  bool timed_advice = false;
  std::set<std::string> silent_advisers;  // They answer no call for advice.
  bool hold_batches = false;              // The store accepts no appends.
  // A run that a worker was ordered to stop ends `kMaxStopDuration` after the
  // order unless the test has ended it before. Otherwise only the test ends it.
  bool carry_out_stops = true;
  absl::Duration tick_interval = absl::Milliseconds(20);
  absl::Duration tick_duration;  // Tick duration reported to the scheduler.
  // If set, computes the duration of a tick from the figures before and after
  // it.
  std::function<absl::Duration(const SchedulerFigures&,
                               const SchedulerFigures&)>
      tick_cost;
  // The clock advances by the duration of each tick. Nothing else is handled
  // meanwhile.
  bool ticks_take_time = false;
  // If set, returns the terms of timed advice calls for a step.
  std::function<AdviceTerms(const TaskId&)> advice_terms_of;
  absl::Duration wall_clock_offset;
  // The workers that each advice call named.
  std::vector<std::vector<std::string>> advice_calls;
  std::vector<std::string> asked_advisers;  // For each of `advice_calls`.
  // For each worker in `advice_calls`: the processor capacity that the step
  // expects to get there, in thousandths of a processor.
  std::vector<std::vector<int32_t>> expected_uses;
  std::vector<StartOrder> starts;          // Start orders carried out.
  std::vector<std::string> start_workers;  // For each order in `starts`.
  std::vector<StartAction> start_actions;  // All start orders sent.
  std::vector<StartOrder> lost_starts;
  std::vector<StopOrder> stops;
  std::vector<std::string> stop_workers;
  std::vector<ObserveAction> observations;
  // The workers of all `ForgetWorkerAction`s, in order.
  std::vector<std::string> forgotten_workers;

 private:
  // Returns the result of an order to the worker; `fallback` if the worker is
  // neither cut off, down nor replaced by another incarnation.
  OrderResult ResultAt(const std::string& worker, OrderResult fallback) const {
    if (cut_off.count(worker) > 0) return OrderResult::kUnknown;
    if (other_incarnations.count(worker) > 0)
      return OrderResult::kOtherIncarnation;
    if (down.count(worker) > 0) return OrderResult::kNotSent;
    if (no_connection.count(worker) > 0) return OrderResult::kNotAttempted;
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

  // Delivers an answer of the worker, or holds it if `holding` names the
  // worker.
  void Answer(const std::string& worker, const std::set<std::string>& holding,
              std::function<void()> deliver) {
    if (holding.count(worker) == 0) return deliver();
    held_answers_.push_back(std::move(deliver));
  }

  void AnswerAdvice(const AskAdviceAction& ask) {
    AdviceReply reply;
    reply.answered = silent_advisers.count(ask.adviser) == 0;
    if (!reply.answered) return scheduler_.OnAdvice(ask, reply, now());
    for (const std::string& worker : ask.request.workers) {
      const bool is_eligible_here = is_eligible
                                        ? is_eligible(ask.request.step, worker)
                                        : eligible.count(worker) > 0;
      if (is_eligible_here) reply.eligible.push_back({worker, "t"});
    }
    scheduler_.OnAdvice(ask, reply, now());
  }

  void ScheduleAdvice(const AskAdviceAction& ask) {
    const AdviceTerms terms =
        advice_terms_of ? advice_terms_of(ask.request.step) : advice_terms_;
    const double duration_ms =
        terms.base_ms +
        terms.per_worker_ms * static_cast<double>(ask.request.workers.size());
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

  void CarryOutDueStops() {
    while (!scheduled_stops_.empty() &&
           scheduled_stops_.begin()->first <= now_) {
      const auto [worker, order] = scheduled_stops_.begin()->second;
      scheduled_stops_.erase(scheduled_stops_.begin());
      const auto found = reports.find(worker);
      if (found == reports.end()) continue;
      const auto& running = found->second.running;
      const auto run =
          std::find_if(running.begin(), running.end(),
                       [&order = order](const RunningTask& one) {
                         return one.task == order.task && one.run == order.run;
                       });
      if (run == running.end()) continue;
      int64_t number = 1;
      for (const EndedTask& end : found->second.ended)
        number = std::max(number, end.number + 1);
      End(worker,
          {number, order.task, order.run, RunEnd::kStopped, run->checkpoint});
    }
  }

  void HandleAction(const Action& action) {
    if (const auto* observe = std::get_if<ObserveAction>(&action)) {
      const auto list = reports.find(observe->worker.id);
      ObserveReply reply;
      if (list != reports.end() && cut_off.count(observe->worker.id) == 0) {
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
      const absl::Time sent = now_ - absl::Milliseconds(1);
      Answer(observe->worker.id, holds_reports,
             [this, observe = *observe, reply, sent] {
               scheduler_.OnObserveReply(observe, reply, sent, now());
             });
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      advice_calls.push_back(ask->request.workers);
      asked_advisers.push_back(ask->adviser);
      expected_uses.push_back(ask->expected_cpu_milli);
      if (hold_advice)
        held_advice_.push_back(*ask);
      else if (timed_advice)
        ScheduleAdvice(*ask);
      else
        AnswerAdvice(*ask);
    } else if (const auto* start = std::get_if<StartAction>(&action)) {
      OrderReply reply;
      start_actions.push_back(*start);
      const bool lost = drops_starts.count(start->worker.id) > 0 ||
                        cut_off.count(start->worker.id) > 0;
      reply.result = ResultAt(
          start->worker.id, lost ? OrderResult::kUnknown : OrderResult::kDone);
      Answer(start->worker.id, holds_order_answers,
             [this, start = *start, reply] {
               scheduler_.OnStartReply(start, reply, now());
             });
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
      const OrderResult result = ResultAt(stop->worker.id, OrderResult::kDone);
      const bool lost = loses_stop_answers.count(stop->worker.id) > 0;
      reply.result = lost ? OrderResult::kUnknown : result;
      Answer(stop->worker.id, holds_order_answers, [this, stop = *stop, reply] {
        scheduler_.OnStopReply(stop, reply, now());
      });
      if (result == OrderResult::kDone && carry_out_stops)
        scheduled_stops_.emplace(now_ + kMaxStopDuration,
                                 std::make_pair(stop->worker.id, stop->order));
    }
  }

  AdviceTerms advice_terms_;
  std::vector<AskAdviceAction> held_advice_;
  std::vector<std::function<void()>> held_answers_;
  std::multimap<absl::Time, AskAdviceAction> scheduled_advice_;
  std::map<std::string, absl::Time> adviser_free_at_;
  // By the time at which they are carried out: the worker and the order.
  std::multimap<absl::Time, std::pair<std::string, StopOrder>> scheduled_stops_;
  // By incarnation: the highest fencing token that it has received.
  std::map<std::string, int64_t> fences_;
  const int64_t epoch_;
  absl::Time now_ = kBegin;
  JobScheduler scheduler_;
};

inline StepSpec OneTask(int32_t cpu_milli = 2000) {
  StepSpec step;
  step.requested = {cpu_milli, 1024, 0};
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
