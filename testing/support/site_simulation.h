// A whole site on a virtual clock: schedulers, a store, workers and advice,
// with faults drawn from a seed, judged from what the workers really ran.
//
//   SiteSimulation site({.seed = 7, .lost_answers = 0.05});
//   site.Submit(spec);
//   site.Run(absl::Seconds(60));
//   CHECK(site.faults().empty());

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
    double lost_answers = 0;  // Share of orders carried out but not answered.
    double late_orders = 0;   // Share carried out 2 to 12 s later, unanswered.
    double failing_runs = 0.02;
    // Of runs that last, which otherwise end with their worker or a stop: the
    // share that fails, within 8 s.
    double failing_long_running_runs = 0.5;
    // Share of the workers that the platform's list misses for 3 s when a
    // leader begins.
    double unlisted_workers = 0;
    // Workers that tasks crash start again under the id that they had.
    bool keep_id_after_crash = false;
    bool advice = false;  // Half of the workers may run a step.
    int max_attempts = 3;
    absl::Duration store_delay = absl::Milliseconds(5);
    // Queues instead of the one that jobs otherwise go to.
    std::vector<Queue> queues;
    int nodes = 1;  // That can ask for advice.
    // Work takes its estimate, give or take up to this share of it.
    double estimate_error = 0.5;
    SchedulerPolicy policy;
  };
  static constexpr char kQueue[] = "restore";
  static constexpr char kPool[] = "pool";

  explicit SiteSimulation(const Options& options);

  JobId Submit(JobSpec spec, const std::string& queue = kQueue);
  // A job whose tasks crash each worker that starts them, soon after the start.
  JobId SubmitCrashing(JobSpec spec);
  void Cancel(JobId id);
  // The leader's process is gone; another takes over after `pause`. Batches on
  // their way land or do not, as the seed draws.
  void ReplaceLeader(absl::Duration pause, bool keep_old_leader);
  // Its process stands still, as a rule between what it decided and its orders;
  // another takes over after `pause`. It goes on where it was after `frozen`,
  // and hears then that it was replaced, or a little later.
  void FreezeLeader(absl::Duration pause, absl::Duration frozen);
  void CrashWorker(int index, absl::Duration down);
  // The same, and the next life comes under the id that it had, at the same
  // address: what is sent to the life before reaches it.
  void RestartWorker(int index, absl::Duration down);
  // The worker says that it leaves, is gone after `drain` and answers nothing;
  // its record lingers for 3 s. The next life comes after `down`.
  void DrainWorker(int index, absl::Duration drain, absl::Duration down);
  // The worker has only this share of its capacity for a time, and says so with
  // its next heartbeat.
  void ShrinkWorker(int index, double share, absl::Duration time);
  // Nobody reaches the worker meanwhile; it runs on.
  void CutWorker(int index, absl::Duration time);
  void StoreDown(absl::Duration time);
  void After(absl::Duration delay, std::function<void()> step);
  void Run(absl::Duration time);

  // Jobs whose acceptance is durable and answered.
  const std::set<JobId>& accepted() const { return accepted_; }
  std::optional<JobState> StatusOf(JobId id) const;
  // Broken promises, in words.
  const std::vector<std::string>& faults() const { return faults_; }
  const std::vector<SiteRun>& runs() const { return runs_; }
  size_t CountRunning(JobId id) const;
  // From the job's submission to its end; none: it has not ended.
  std::optional<absl::Duration> JobDuration(JobId id) const;
  // Tasks of which as many runs failed as a job bears.
  std::vector<TaskId> ExhaustedTasks() const;
  bool LeaderActive() const { return current_ != nullptr; }
  // The longest time for which a task that lasts did not run though a leader
  // was at work and the worker that it was last sent to was in reach and
  // stayed, and the longest at all.
  absl::Duration max_down_time_with_worker() const {
    return max_down_time_with_worker_;
  }
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
    bool appending = false;
    absl::Time frozen_at = absl::InfinitePast();
    absl::Time frozen_until = absl::InfinitePast();
    absl::Time last_order = absl::InfinitePast();
    std::map<int64_t, std::vector<std::function<void()>>>
        on_durable;  // By batch.
  };
  struct WorkerSlot {
    std::unique_ptr<SiteWorker> incarnation;
    std::string name;
    int name_count = 0;  // That it has had.
    int64_t start_time_ms = 0;
    absl::Time cut_until = absl::InfinitePast();
    // The most that may run there: a capacity that has shrunk counts only once
    // leaders had time to hear of it.
    Resources capacity_limit;
  };
  // Of a task that lasts.
  struct DownTime {
    std::string worker;  // That it was last sent to.
    bool worker_stayed_up = true;
    absl::Duration time;
    absl::Duration with_worker;
  };
  struct JobFacts {
    JobSpec spec;
    std::string queue;
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
  void Append(const std::shared_ptr<Leader>& leader);
  // Under a new id, unless it starts again.
  void StartIncarnation(int index, bool keep_id = false);
  void EndIncarnation(int index, absl::Duration down, bool keep_id);
  // The life that calls to `worker_id` reach: it, or a later one of that name.
  SiteWorker* FindReachableWorker(const std::string& worker_id, bool* cut);
  SiteWorker* FindWorker(const std::string& worker_id, bool* cut);
  void RecordRun(const SiteRun& run, bool begins);
  void CheckStart(const SiteRun& run);
  void CheckCrashingRun(const SiteRun& run);
  WorkerSlot* FindSlot(const std::string& worker_id);
  void SetCapacity(int index, const Resources& capacity);
  TaskId FailureKey(const TaskId& task);
  void AdvanceWorkers();
  void RecordEndedJobs();
  void RecordDownTime();
  // Again and again until all leaders before `leader` are dead. One that was
  // frozen hears of `leader` when it wakes, and ends; one that never froze is
  // told nothing.
  void PollEarlierLeaders(const std::shared_ptr<Leader>& leader);
  // Has `step` done by the leader once it is not frozen, unless it is dead.
  void RunOnLeader(const std::shared_ptr<Leader>& leader,
                   const std::function<void()>& step);
  SiteRunPlan MakeRunPlan(const StartOrder& order);
  void Fault(const std::string& text);
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
  absl::Time store_down_until_ = absl::InfinitePast();
  std::shared_ptr<Leader> current_;
  std::vector<std::shared_ptr<Leader>> leaders_;      // All, by epoch.
  std::map<int64_t, absl::Time> leader_start_times_;  // By epoch: since when.
  std::vector<WorkerSlot> workers_;
  // Lives that ended, and whose worker starts again: calls to it get no answer
  // until it does.
  std::set<std::string> restarting_;
  std::map<JobId, JobFacts> jobs_;
  std::set<JobId> accepted_;
  std::shared_ptr<SiteConfiguration> configuration_;
  std::vector<SiteRun> runs_;
  std::map<TaskId, std::set<int32_t>> failed_;  // Of a gang: at its index 0.
  struct Crashes {
    int workers = 0;       // That crashed under it.
    int starts_after = 0;  // After the last of them that counts.
  };
  std::map<TaskId, Crashes> crashes_;  // Of tasks that crash their workers.
  std::set<TaskId> done_;  // But for ends that died with their worker.
  std::set<TaskId> ever_done_;
  std::map<std::pair<TaskId, int32_t>, absl::Time> gang_done_at_;
  std::map<TaskId, DownTime> long_running_tasks_;
  absl::Duration max_down_time_;
  absl::Duration max_down_time_with_worker_;
  std::vector<std::string> faults_;
  JobId next_job_ = 1;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_SIMULATION_H_
