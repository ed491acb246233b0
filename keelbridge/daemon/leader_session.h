// One term of leadership: drives the scheduler of a site against the store, the
// workers and the advisers, from the claim until another leader fences it.
//
// A term begins by fencing earlier leaders in the store, loads the jobs, learns
// the workers, and then serves. Batches of records are appended one at a time,
// under the term's epoch and a sequence number, so that a try that lands twice
// or late changes nothing.
//
//   LeaderSession session(loop, ports, options, epoch, configuration);
//   session.Start();
//   session.Handle(call, [](ClientReply reply) { ... });

#ifndef KEELBRIDGE_DAEMON_LEADER_SESSION_H_
#define KEELBRIDGE_DAEMON_LEADER_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "keelbridge/base/log_rate_limiter.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/coordination/worker_list.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/protocol/client_call.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {

// What a node of a site talks to. All must outlive the node.
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
    // What one append may carry; a larger batch takes several.
    size_t max_append_bytes = 1 << 20;
    AskAdvice ask_advice;  // Through the node that the action names.
    std::function<void(const std::string&)> on_ended;  // Why the term ended.
  };

  LeaderSession(boost::asio::io_context& loop, NodePorts ports, Options options,
                int64_t epoch, Metrics& metrics);

  void Start();
  // Ends the term at once; unanswered calls get `kUnknown`.
  void End(const std::string& why);

  bool active() const { return phase_ == Phase::kActive; }
  bool ended() const { return phase_ == Phase::kEnded; }
  int64_t epoch() const { return epoch_; }
  // Whether new jobs can be kept: the store takes records.
  bool CanAccept() const;

  void Handle(const ClientCall& call, std::function<void(ClientReply)> reply);
  // The same, once the term is active; `dropped` when that takes too long, when
  // too many calls wait, or when the term ends first: the call has not run.
  void HandleOnceActive(const ClientCall& call,
                        std::function<void(ClientReply)> reply,
                        std::function<void()> dropped);
  void SetConfiguration(std::shared_ptr<const SiteConfiguration> configuration);
  void SetAdvisers(const std::vector<std::string>& nodes);
  void OnEarlierLeadersStopped(absl::Time last_order);
  void OnEarlierLeaderSeen(int64_t epoch, absl::Time at) {
    scheduler_.OnEarlierLeaderSeen(epoch, at);
  }
  // When it last gave an order that begins a run or extends a lease.
  absl::Time last_order() const { return last_order_; }
  // How often the store came back after it was lost.
  int64_t store_recoveries() const { return store_recoveries_; }

 private:
  // By which the store knows the writer of the jobs stream; its epochs rise
  // from leader to leader.
  static constexpr char kLeaderWriter[] = "leader";
  static constexpr absl::Duration kAppendTimeout = absl::Milliseconds(700);
  // Before a call of the store that failed is made again.
  static constexpr absl::Duration kRetryDelay = absl::Milliseconds(60);

  enum class Phase { kFencing, kLoadingJobs, kLoadingWorkers, kActive, kEnded };
  struct InFlightAppend {
    JobScheduler::Batch batch;
    // The part of the batch's records that the append under way carries.
    size_t begin = 0;
    size_t count = 0;
    int64_t sequence = 0;
    int tries = 0;
    int open_tries = 0;  // Tries that are under way.
  };
  struct Waiter {
    std::function<void(ClientReply)> reply;
    ClientReply answer;
  };

  // A call that waits for the term to be active.
  struct QueuedCall {
    ClientCall call;
    std::function<void(ClientReply)> reply;
    std::function<void()> dropped;
    absl::Time deadline;
  };

  // leader_session_loading.cc
  void Fence();
  void LoadJobs(const std::string& after);
  // Goes on after `page`, which was read after the key `after`.
  void ContinueLoadingJobs(const NewestReply& page, const std::string& after);
  void AddJobRecord(const Record& record);
  void OnJobsLoaded(int64_t stream_end);
  void LoadWorkers(const std::string& after);
  // The same for the list of workers, which ends where a page does not lead on.
  void ContinueLoadingWorkers(const NewestReply& page,
                              const std::string& after);
  void OnWorkersLoaded();
  void PollWorkers();
  void ApplyWorkerRecord(const Record& record);
  // Carries out what the list of workers means for the scheduler.
  void ApplyWorkerList();

  // leader_session_appends.cc
  void MaybeFlush();
  absl::Duration AppendTimeout(int tries) const;
  // The next part of the batch under way, under a number of its own.
  void BeginAppend();
  void SendAppend();
  // Sends the append under way once more after a pause, beside tries that are
  // not answered yet.
  void ScheduleResend();
  // `flight`: the number of the append that was tried.
  void OnAppended(const AppendReply& reply, int64_t append_number,
                  absl::Time sent);
  void OnAppendFailed(const AppendReply& reply, absl::Time sent);
  // Whether the stream ends where this leader's records put its end; if not,
  // some are missing, or another wrote after the fence.
  bool VerifyStreamEnd(const AppendReply& reply);

  // leader_session.cc
  void Activate();
  void ScheduleTick();
  void RunCycle();
  // How late the loop comes to a timer that was due then.
  void RecordLoopLag(BootClock::time_point due);
  void ScheduleCycle();
  void ExecuteActions(const std::vector<Action>& actions);
  void ReplyWhenDurable(int64_t batch, ClientReply answer,
                        std::function<void(ClientReply)> reply);
  void RunAfterUnlessEnded(absl::Duration delay, std::function<void()> step);
  void PublishMetrics();
  void DropQueuedCalls(absl::Time deadline);
  void DropExpiredCalls();
  // Refuses a new job that could not begin in time; whether it did.
  bool RefuseIfOverloaded(const ClientCall& call,
                          const std::function<void(ClientReply)>& reply);
  // Says that there is no such job once the store has confirmed, after the
  // call, that this node still leads.
  void ReplyNoSuchJobOnceConfirmed(const ClientCall& call,
                                   std::function<void(ClientReply)> reply);
  // What is said of a job some record of which cannot be read: neither that
  // there is none, nor how far it is.
  ClientReply UnreadableJobReply(const ClientCall& call) const;

  boost::asio::io_context& loop_;
  const NodePorts ports_;
  const Options options_;
  const int64_t epoch_;
  Metrics& metrics_;
  JobScheduler scheduler_;
  Phase phase_ = Phase::kFencing;
  JobRecords records_;
  std::set<JobId> unreadable_jobs_;
  absl::Time load_started_ = absl::InfinitePast();
  int64_t pages_loaded_ = 0;
  int64_t records_loaded_ = 0;
  int64_t load_retries_ = 0;
  std::vector<KnownWorker> known_workers_;
  int64_t unreadable_workers_ = 0;  // Of those.
  WorkerList worker_list_;
  LogRateLimiter entry_log_limit_;
  int stuck_pages_ = 0;  // Of workers, in a row, that did not lead on.
  int64_t next_worker_offset_ =
      -1;  // Offset to read on from; -1: list them anew.
  absl::Time next_worker_poll_ = absl::InfinitePast();
  bool polling_workers_ = false;

  std::unique_ptr<InFlightAppend> in_flight_append_;
  int64_t appends_started_ = 0;  // Appends begun; the number of the last one.
  int64_t next_sequence_ = 1;
  bool confirmation_requested_ = false;  // A caller waits for the next append.
  absl::Time last_flush_ = absl::InfinitePast();
  absl::Time last_append_sent_ = absl::InfinitePast();  // Of a successful one.
  absl::Duration append_latency_ = absl::Milliseconds(10);  // Smoothed.
  absl::Time failing_since_ = absl::InfiniteFuture();
  int64_t stream_end_ = -1;  // After the last append that was done.
  int64_t store_recoveries_ = 0;
  std::multimap<int64_t, Waiter> waiters_;  // By batch.
  std::deque<QueuedCall> queued_calls_;     // In the order of their arrival.

  EventTimer tick_timer_;
  EventTimer cycle_timer_;
  bool cycle_scheduled_ = false;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time last_order_ = absl::InfinitePast();
  absl::Time next_metrics_at_ = absl::InfinitePast();
  bool stalled_ = false;
  absl::Time last_stall_end_ = absl::InfinitePast();  // The last time.
  absl::Duration longest_lag_;                        // Since the last figures.
  absl::Duration total_decision_time_;  // What the scheduler took of this term.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_LEADER_SESSION_H_
