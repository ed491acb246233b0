// One term of leadership of a site. Connects the site's scheduler to the store,
// the workers and the advisers, from the moment this node claims leadership
// until another leader fences it.
//
// A term first fences earlier leaders in the store, then loads the jobs and the
// list of workers, and then serves calls. Batches of records are appended one
// at a time under the term's epoch and a sequence number, so that an append
// that reaches the store twice or late has no further effect.
//
//   auto session = std::make_shared<LeaderSession>(loop, ports, options, epoch,
//                                                  metrics);
//   session->Start();
//   session->Handle(call, [](ClientReply reply) { ... });

#ifndef KEELBRIDGE_DAEMON_LEADER_SESSION_H_
#define KEELBRIDGE_DAEMON_LEADER_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "keelbridge/base/log_rate_limiter.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/coordination/worker_list.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/overload/outage_retry.h"
#include "keelbridge/protocol/client_call.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {

// The external interfaces of a site node. All of them must outlive the node.
struct NodePorts {
  RecordStore* store = nullptr;
  WorkerOrders* workers = nullptr;
  AdviceService* advice = nullptr;
  const SiteDialect* dialect = nullptr;
};

class LeaderSession : public std::enable_shared_from_this<LeaderSession> {
 public:
  using AskAdvice = std::function<void(const AskAdviceAction&,
                                       std::function<void(AdviceReply)>)>;
  struct Options {
    JobScheduler::Options scheduler;
    std::string node;
    // Maximum size of one append. A larger batch is split over several.
    size_t max_append_bytes = 1 << 20;
    AskAdvice ask_advice;  // Asks the node that the action names.
    // Called with the reason for the end of the term.
    std::function<void(const std::string&)> on_ended;
  };

  LeaderSession(boost::asio::io_context& loop, NodePorts ports, Options options,
                int64_t epoch, Metrics& metrics);

  void Start();
  // Ends the term immediately. Calls that are not answered yet get `kUnknown`.
  void End(const std::string& why);

  bool active() const { return phase_ == Phase::kActive; }
  bool ended() const { return phase_ == Phase::kEnded; }
  int64_t epoch() const { return epoch_; }
  // Returns whether new jobs can be accepted: the term is active and the store
  // accepts records.
  bool CanAccept() const;

  void Handle(const ClientCall& call, std::function<void(ClientReply)> reply);
  // Like `Handle`, but waits until the term is active. Calls `dropped` instead
  // if that takes too long, if too many calls are queued, or if the term ends
  // first; the call has then not been executed.
  void HandleOnceActive(const ClientCall& call,
                        std::function<void(ClientReply)> reply,
                        std::function<void()> dropped);
  void SetConfiguration(std::shared_ptr<const SiteConfiguration> configuration);
  void SetAdvisers(const std::vector<AdviserNode>& nodes);
  void OnEarlierLeadersStopped(absl::Time last_order);
  // These two must be called before `Start`.
  void OnEarlierLeaderSeen(int64_t epoch, absl::Time at) {
    scheduler_.OnEarlierLeaderSeen(epoch, at);
  }
  void OnEarlierLeaderClock(int64_t epoch, const LeaderClock& clock) {
    scheduler_.OnEarlierLeaderClock(epoch, clock);
  }
  // Applies the handover of an earlier leader, once the term is active.
  void OnHandover(LeaderHandover handover);
  // Returns what the next leader cannot learn from the store. Nullopt until the
  // term has ended, and if it was never active.
  const std::optional<LeaderHandover>& handover() const { return handover_; }
  // Time of the last order sent that starts a run or extends a lease.
  absl::Time last_order() const { return last_order_; }
  // Number of times that the store became available again after a failure.
  int64_t store_recoveries() const { return store_recoveries_; }

 private:
  // Identifies the writer of the jobs stream to the store. Its epoch increases
  // with each leader.
  static constexpr char kLeaderWriter[] = "leader";
  static constexpr absl::Duration kAppendTimeout = absl::Milliseconds(700);
  // Delay before a failed store call is retried.
  static constexpr absl::Duration kRetryDelay = absl::Milliseconds(60);

  enum class Phase { kFencing, kLoading, kActive, kEnded };
  struct InFlightAppend {
    JobScheduler::Batch batch;
    // Range of the batch's records that the current append carries.
    size_t begin = 0;
    size_t count = 0;
    int64_t sequence = 0;
    absl::Time begun;  // Before the first try of the first part.
    int tries = 0;
    int open_tries = 0;    // Tries that are not answered yet.
    bool invalid = false;  // The store has said that it never takes it.
  };
  // A reply that waits until a batch is durable.
  struct Waiter {
    std::function<void(ClientReply)> reply;
    ClientReply answer;
  };

  // A call that is queued until the term is active.
  struct QueuedCall {
    ClientCall call;
    std::function<void(ClientReply)> reply;
    std::function<void()> dropped;
    absl::Time deadline;
  };

  // Returns the answer to a call that is refused because the store is away.
  ClientReply RefuseInOutage(const ClientCall& call, std::string why);

  // leader_session_loading.cc
  void Fence();
  void LoadJobs(const std::string& after);
  // Reads the page that follows `page`, which holds the records after the key
  // `after`.
  void ContinueLoadingJobs(const NewestReply& page, const std::string& after);
  void AddJobRecord(const Record& record);
  void OnJobsLoaded(int64_t stream_end);
  void LoadWorkers(const std::string& after);
  // Like `ContinueLoadingJobs` for the list of workers. Returns false if the
  // list ends at `page` because repeated reads did not advance.
  bool ContinueLoadingWorkers(const NewestReply& page,
                              const std::string& after);
  void OnWorkersLoaded();
  // Activates the term once the jobs and the list of workers are loaded.
  void MaybeActivate();
  void PollWorkers();
  void ApplyWorkerRecord(const Record& record);
  // Passes changes in the list of workers to the scheduler.
  void ApplyWorkerList();

  // leader_session_appends.cc
  void SetConfirmed(absl::Time begun);
  void MaybeFlush();
  absl::Duration AppendTimeout(int tries) const;
  // Starts the append of the current batch's next part, under a sequence number
  // of its own.
  void BeginAppend();
  void SendAppend();
  // Schedules another try of the current append. Earlier tries may still be
  // answered.
  void ScheduleResend();
  // `append_number` identifies the append that was tried.
  void OnAppended(const AppendReply& reply, int64_t append_number,
                  absl::Time sent);
  void OnAppendFailed(const AppendReply& reply, absl::Time sent);
  // Logs once that the store never takes the current append, and what its
  // largest record is.
  void LogInvalidAppend(const AppendReply& reply);
  // Returns whether the stream ends where it must after the current append, and
  // stores the new end. If it does not, records are missing or another writer
  // appended after the fence.
  bool VerifyStreamEnd(const AppendReply& reply);

  // leader_session.cc
  void Activate();
  void ScheduleTick();
  // Runs one scheduler tick, executes its actions and writes its records.
  void RunCycle();
  // Records how late the event loop ran a timer that was due at `due`.
  void RecordLoopLag(BootClock::time_point due);
  // Schedules a cycle before the next tick. Cycles requested shortly after each
  // other are merged.
  void ScheduleCycle();
  void ExecuteActions(const std::vector<Action>& actions);
  void RunAfterUnlessEnded(absl::Duration delay, std::function<void()> step);
  void PublishMetrics();

  // leader_session_calls.cc
  // Calls `reply` with `answer` once `batch` is durable; immediately if `batch`
  // is 0.
  void ReplyWhenDurable(int64_t batch, ClientReply answer,
                        std::function<void(ClientReply)> reply);
  // Drops queued calls whose deadline is not after `deadline`.
  void DropQueuedCalls(absl::Time deadline);
  void DropExpiredCalls();
  void CountVerdict(const std::string& queue,
                    const Admission::Verdict& verdict);
  // Replies that the job, which could not start in time, is refused.
  static void Refuse(const ClientCall& call, const Admission::Verdict& verdict,
                     const std::function<void(ClientReply)>& reply);
  // Replies that the job does not exist, once the store has confirmed after the
  // call that this node still leads.
  void ReplyNoSuchJobOnceConfirmed(const ClientCall& call,
                                   std::function<void(ClientReply)> reply);
  // Returns the reply to a call whose key is no longer valid under this
  // leader's configuration, or nullopt if the call may proceed.
  std::optional<ClientReply> CheckCaller(const ClientCall& call) const;
  // Replies with the state of a job. If its end is decided but not durable yet,
  // waits for that briefly: a client that asks as its last task ends would
  // otherwise learn of the end only when it asks again.
  void HandleStatus(const ClientCall& call,
                    std::function<void(ClientReply)> reply);
  void HandleSubmit(const ClientCall& call,
                    std::function<void(ClientReply)> reply);
  // Cancels a job, or remembers the cancel for a job that may yet arrive.
  void HandleCancel(const ClientCall& call,
                    std::function<void(ClientReply)> reply);
  // Returns the reply to the submission of a job that was cancelled before it
  // arrived, or nullopt if it was not.
  std::optional<ClientReply> RefuseIfCancelled(const ClientCall& call, Now now);
  // Returns the reply to the submission of a job whose description is larger
  // than the store takes, or nullopt if the store takes it.
  std::optional<ClientReply> RefuseIfTooLarge(const ClientCall& call) const;
  // Returns whether the job was submitted by another account than the caller's.
  bool BelongsToAnotherAccount(const ClientCall& call) const;
  // Returns the reply for a job with an unreadable record. It states neither
  // that the job does not exist nor its state.
  ClientReply UnreadableJobReply(const ClientCall& call) const;

  boost::asio::io_context& loop_;
  const NodePorts ports_;
  const Options options_;
  const int64_t epoch_;
  Metrics& metrics_;
  JobScheduler scheduler_;
  std::shared_ptr<const SiteConfiguration> configuration_;
  Phase phase_ = Phase::kFencing;
  JobRecords records_;
  std::set<JobId> unreadable_jobs_;
  absl::Time load_started_ = absl::InfinitePast();
  int64_t pages_loaded_ = 0;
  int64_t records_loaded_ = 0;
  int64_t load_retries_ = 0;
  bool jobs_loaded_ = false;
  bool workers_loaded_ = false;
  std::vector<KnownWorker> known_workers_;
  int64_t unreadable_workers_ = 0;  // Count within `known_workers_`.
  // The last append of an earlier leader, if it has left a record of it.
  std::optional<LeaderAppend> earlier_append_;
  WorkerList worker_list_;
  LogRateLimiter entry_log_limiter_;
  int stuck_pages_ = 0;  // Consecutive pages of workers that did not advance.
  // Next offset to read; -1: read the whole list again.
  int64_t next_worker_offset_ = -1;
  absl::Time next_worker_poll_ = absl::InfinitePast();
  bool polling_workers_ = false;

  std::unique_ptr<InFlightAppend> in_flight_append_;
  int64_t appends_started_ = 0;  // Also the number of the last append.
  int64_t next_sequence_ = 1;
  // A call waits for the next append to confirm this leader.
  bool confirmation_requested_ = false;
  absl::Time last_flush_ = absl::InfinitePast();
  // When the last successful append was sent.
  absl::Time last_append_sent_ = absl::InfinitePast();
  // When the last confirmed append, or the fence, was begun. Later leaders
  // learn this time from the append, so no order is given for long after it,
  // and no lease outlasts it by much.
  absl::Time confirmed_at_ = absl::InfinitePast();
  absl::Duration append_latency_ = absl::Milliseconds(10);  // Smoothed.
  absl::Time failing_since_ = absl::InfiniteFuture();
  OutageRetry outage_retry_{OutageRetry::Options()};
  int64_t stream_end_ = -1;  // After the last successful append.
  int64_t store_recoveries_ = 0;
  std::multimap<int64_t, Waiter> waiters_;  // Keyed by batch number.
  std::deque<QueuedCall> queued_calls_;     // In order of arrival.
  // Handovers of earlier leaders that arrived before the term was active.
  std::vector<LeaderHandover> queued_handovers_;
  std::optional<LeaderHandover> handover_;

  EventTimer tick_timer_;
  EventTimer cycle_timer_;
  bool cycle_scheduled_ = false;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time last_order_ = absl::InfinitePast();
  absl::Time next_metrics_at_ = absl::InfinitePast();
  // The process was suspended, and no append sent since has confirmed this
  // leader.
  bool stalled_ = false;
  absl::Time last_stall_end_ = absl::InfinitePast();
  absl::Duration longest_lag_;  // Since metrics were last published.
  // Time spent in scheduler ticks during this term.
  absl::Duration total_decision_time_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_LEADER_SESSION_H_
