// Simulates a site on a virtual clock: schedulers, a store, workers and advice.
// Faults are drawn from a seed. The simulation checks its invariants against
// the runs that actually took place on the workers.
//
//   SiteSimulation site({.seed = 7, .lost_answers = 0.05});
//   site.Submit(spec);
//   site.Run(absl::Seconds(60));
//   CHECK(site.violations().empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_SITE_SIMULATION_H_
#define KEELBRIDGE_TESTING_SUPPORT_SITE_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "keelbridge/coordination/job_scheduler.h"
#include "testing/fakes/site_worker.h"

namespace keelbridge::testing {

class SiteSimulation {
 public:
  struct Options {
    uint64_t seed = 1;
    int workers = 8;
    Resources capacity{16000, 65536, 0};
    // Share of orders that are carried out but not answered.
    double lost_answers = 0;
    // Share of orders that are carried out 2 to 12 s late and not answered.
    double late_orders = 0;
    double failing_runs = 0.02;
    // Share of long-running tasks' runs that fail, within 8 s. The others run
    // until their worker ends or they are stopped.
    double failing_long_running_runs = 0.5;
    // Share of workers that are missing from the platform's list for 3 s after
    // a leader starts.
    double unlisted_workers = 0;
    // Workers report when they started, as on a platform where they may restart
    // under the same name. Otherwise each incarnation has a name of its own.
    bool reusable_names = true;
    // Workers that were crashed by a task restart under the same worker id.
    bool keep_id_after_crash = false;
    // Tasks need advice, which accepts half of the workers for each step.
    bool advice = false;
    int max_attempts = 3;
    absl::Duration store_delay = absl::Milliseconds(5);
    // If not empty, replaces the default queue.
    std::vector<Queue> queues;
    std::vector<ClientAccount> accounts;
    int advisers = 1;  // Number of nodes that can request advice.
    // Leaders append regularly and tell in each append when their leases end,
    // as a LeaderSession does.
    bool tells_appends = false;
    absl::Duration lease = absl::Seconds(6);  // The longest that a leader asks.
    // The duration of a run differs from its estimate by up to this share.
    double estimate_error = 0.5;
    SchedulerPolicy policy;
  };
  static constexpr char kQueue[] = "restore";
  static constexpr char kPool[] = "pool";

  explicit SiteSimulation(const Options& options);

  JobId Submit(JobSpec spec, const std::string& queue = kQueue,
               const std::string& account = "");
  // Replaces the accounts of the configuration in force. For
  // `kConfigurationGrace` starts that the earlier one permits are no violation,
  // since orders that it permitted may be on their way.
  void SetAccounts(std::vector<ClientAccount> accounts);
  // Sets the duration of all runs of a step of a submitted job, which otherwise
  // is drawn by `estimate_error` for each run.
  void SetTrueWork(JobId id, size_t step, absl::Duration work) {
    jobs_.at(id).true_work[step] = work;
  }
  // Submits a job whose tasks crash each worker that starts them, soon after
  // the start.
  JobId SubmitCrashing(JobSpec spec);
  void Cancel(JobId id);
  // Ends the leader's process, unless `keep_old_leader`; another leader takes
  // over after `pause`. The seed decides whether batches in flight still reach
  // the store.
  void ReplaceLeader(absl::Duration pause, bool keep_old_leader);
  // Suspends the leader's process, as a rule between a decision and the orders
  // that follow from it; another leader takes over after `pause`. The process
  // resumes where it was after `frozen`, and learns then or shortly afterwards
  // that it was replaced.
  void FreezeLeader(absl::Duration pause, absl::Duration frozen);
  // Crashes the worker. Its next incarnation starts after `down`, under a new
  // worker id.
  void CrashWorker(int index, absl::Duration down);
  // Crashes the worker. Its next incarnation starts after `down`, under the
  // same worker id and address, so that orders sent to the previous incarnation
  // reach it.
  void RestartWorker(int index, absl::Duration down);
  // The worker reports that it is draining. Its process ends after `drain`, and
  // calls to it get no answer from then on; its record remains for a further
  // 3 s. Its next incarnation starts `down` after the end of the process.
  void DrainWorker(int index, absl::Duration drain, absl::Duration down);
  // Reduces the worker's capacity to the fraction `share` for `time`. The
  // worker reports this with its next heartbeat.
  void ShrinkWorker(int index, double share, absl::Duration time);
  // Makes the worker unreachable for `time`; it continues to run.
  void CutWorker(int index, absl::Duration time);
  void StoreDown(absl::Duration time);
  void After(absl::Duration delay, std::function<void()> step);
  void Run(absl::Duration time);

  // Jobs whose acceptance is durable and has been confirmed to the client.
  const std::set<JobId>& accepted() const { return accepted_; }
  std::optional<JobState> StatusOf(JobId id) const;
  // Descriptions of violated invariants.
  const std::vector<std::string>& violations() const { return violations_; }
  const std::vector<SiteRun>& runs() const { return runs_; }
  size_t CountRunning(JobId id) const;
  // Returns the time from the job's submission to its end, or nullopt if it has
  // not ended.
  std::optional<absl::Duration> JobDuration(JobId id) const;
  // Returns the tasks that have used up their attempts.
  std::vector<TaskId> ExhaustedTasks() const;
  bool LeaderActive() const { return current_ != nullptr; }
  // Returns the longest time for which a long-running task was down although
  // there was a leader and the worker that it was last sent to was up,
  // reachable and not draining.
  absl::Duration max_down_time_while_worker_up() const {
    return max_down_time_while_worker_up_;
  }
  // Returns the longest time for which a long-running task was down while there
  // was a leader.
  absl::Duration max_down_time() const { return max_down_time_; }
  JobScheduler* scheduler() {
    return current_ == nullptr ? nullptr : current_->scheduler.get();
  }
  absl::Time now() const { return now_; }

 private:
  struct Leader {
    std::unique_ptr<JobScheduler> scheduler;
    int64_t epoch = 0;
    bool dead = false;
    bool process_ended = false;
    std::set<int64_t> handed_over;  // Epochs of earlier leaders.
    bool appending = false;
    absl::Time last_append = absl::InfinitePast();
    absl::Time confirmed_at = absl::InfinitePast();
    absl::Time frozen_at = absl::InfinitePast();
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time last_order = absl::InfinitePast();
    std::map<int64_t, std::vector<std::function<void()>>>
        on_durable;  // By batch.
  };
  struct WorkerSlot {
    std::unique_ptr<SiteWorker> incarnation;
    std::string name;
    int name_count = 0;  // The number of names used so far.
    int64_t start_time_ms = 0;
    absl::Time cut_until = absl::InfinitePast();
    // Limit on the resources of concurrent runs. A reduced capacity is enforced
    // only once leaders have had time to learn of it.
    Resources capacity_limit;
  };
  // How long a long-running task has been down.
  struct DownTime {
    std::string worker;  // The worker that it was last sent to.
    // That worker has been up, reachable and not draining ever since.
    bool worker_stayed_up = true;
    // Time for which the task was down while there was a leader, since it last
    // ran or was last sent to a worker.
    absl::Duration time;
    // The part of `time` during which `worker_stayed_up` was true.
    absl::Duration time_while_worker_up;
  };
  struct JobFacts {
    JobSpec spec;
    std::string queue;
    std::string account;
    std::map<size_t, absl::Duration> true_work;  // By step; see SetTrueWork.
    bool cancelled = false;
    bool crashes = false;
    absl::Time submitted;
    absl::Time ended = absl::InfiniteFuture();
  };

  Now CurrentTime() const;
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  absl::Duration Delay();
  void StartLeader();
  void Tick(const std::shared_ptr<Leader>& leader);
  void ExecuteActions(const std::shared_ptr<Leader>& leader);
  // Whether the leader gives no orders, since the store has not confirmed it
  // for long, or not since it stood still.
  bool IsUnconfirmed(const Leader& leader) const;
  void Confirm(Leader& leader, absl::Time begun);
  void Append(const std::shared_ptr<Leader>& leader);
  // Starts an incarnation under a new worker id, or under the previous one if
  // `keep_id` is set.
  void StartIncarnation(int index, bool keep_id = false);
  void EndIncarnation(int index, absl::Duration down, bool keep_id);
  // Returns the incarnation that calls to `worker_id` reach: that one or a
  // later one under the same worker name.
  SiteWorker* FindReachableWorker(const std::string& worker_id, bool* cut);
  SiteWorker* FindWorker(const std::string& worker_id, bool* cut);
  void RecordRun(const SiteRun& run, bool begins);
  void CheckStart(const SiteRun& run);
  // Checks that a start keeps the client account of its job within its maximum.
  void CheckAccountMaximum(const SiteRun& run);
  // Returns the maximum of the account that a start may use up now.
  Resources MaximumInForce(const std::string& account) const;
  void CheckCrashingRun(const SiteRun& run);
  WorkerSlot* FindSlot(const std::string& worker_id);
  void SetCapacity(int index, const Resources& capacity);
  TaskId FailureKey(const TaskId& task);
  // Returns the failed runs of the task, without those whose end no leader
  // could learn of before the run's lease expired.
  std::set<int32_t> FailedRunsInLease(const TaskId& task);
  void AdvanceWorkers();
  void RecordEndedJobs();
  void RecordDownTime();
  // Checks periodically whether all leaders before `leader` are dead, and
  // reports it to `leader` once they are. A frozen leader ends when it resumes
  // and learns of `leader`; a leader that never froze is not notified.
  void PollEarlierLeaders(const std::shared_ptr<Leader>& leader);
  // Passes what `from` could not make durable to `to`, once, if `from` has
  // stopped leading and its process still runs.
  void HandOver(const Leader& from, Leader& to);
  // Runs `step` as soon as the leader is not frozen, unless the leader is dead.
  void RunOnLeader(const std::shared_ptr<Leader>& leader,
                   const std::function<void()>& step);
  SiteRunPlan MakeRunPlan(const StartOrder& order);
  void RecordViolation(const std::string& text);
  template <typename Order, typename Reply>
  void Send(const std::shared_ptr<Leader>& leader, const std::string& worker,
            const Order& order,
            std::function<Reply(SiteWorker&, const Order&, bool late)> handle,
            std::function<void(const Reply&)> done, Reply lost,
            std::function<Reply(SiteWorker*)> other_incarnation);

  const Options options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::multimap<absl::Time, std::function<void()>> queue_;
  std::map<std::string, std::string> store_;
  int64_t store_epoch_ = 0;
  std::optional<LeaderAppend> last_append_;  // In the store.
  absl::Time store_down_until_ = absl::InfinitePast();
  std::shared_ptr<Leader> current_;
  std::vector<std::shared_ptr<Leader>> leaders_;      // All, ordered by epoch.
  std::map<int64_t, absl::Time> leader_start_times_;  // Start time by epoch.
  std::vector<WorkerSlot> workers_;
  // Ended incarnations whose worker restarts under the same worker id. Calls to
  // the worker get no answer until it has restarted.
  std::set<std::string> restarting_;
  std::map<JobId, JobFacts> jobs_;
  std::set<JobId> accepted_;
  std::shared_ptr<SiteConfiguration> configuration_;
  std::shared_ptr<SiteConfiguration> earlier_configuration_;
  absl::Time configuration_changed_ = absl::InfinitePast();
  std::vector<SiteRun> runs_;
  // Failed runs by task; those of a gang are counted at its index 0.
  std::map<TaskId, std::set<int32_t>> failed_;
  struct Crashes {
    int workers = 0;       // Workers that the task crashed.
    int starts_after = 0;  // Starts after `kExcusedCrashes` of these crashes.
  };
  std::map<TaskId, Crashes> crashes_;  // By task of a crashing job.
  // Tasks that are done, except for those whose end was lost with their worker.
  std::set<TaskId> done_;
  std::set<TaskId> ever_done_;
  std::map<std::pair<TaskId, int32_t>, absl::Time> gang_done_at_;
  std::map<TaskId, DownTime> long_running_tasks_;
  absl::Duration max_down_time_;
  absl::Duration max_down_time_while_worker_up_;
  std::vector<std::string> violations_;
  JobId next_job_ = 1;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_SIMULATION_H_
