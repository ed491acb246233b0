// A fake of the entire platform on the loopback interface: its store, its
// workers and its advice service on one event loop, with fault injection and a
// journal of the runs.
//
// The payload of a job defines what its tasks do: a JSON list with one object
// per step, with the fields cpu, memory, work_ms, gang (number of members),
// fails (fraction of runs) and crashes (each worker that starts the task
// crashes).
//
//   SitePlatform platform(loop, {.workers = 6});
//   platform.PublishConfiguration(1);
//   settings.store = platform.store_address();

#ifndef KEELBRIDGE_TESTING_FAKES_SITE_PLATFORM_H_
#define KEELBRIDGE_TESTING_FAKES_SITE_PLATFORM_H_

#include <json/json.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "keelbridge/base/clock.h"
#include "keelbridge/protocol/client_account.h"
#include "keelbridge/transport/event_http_server.h"
#include "testing/fakes/fault_proxy.h"
#include "testing/fakes/site_store.h"
#include "testing/fakes/site_worker.h"

namespace keelbridge::testing {

// Host and path prefix of the queue that every version published by
// `PublishConfiguration` has.
inline constexpr char kSiteHost[] = "desk.example";
inline constexpr char kSitePrefix[] = "/restore/";
// Returns the path prefix of a queue that only `version` has. A node that
// serves another version answers calls to it with 404.
std::string VersionPrefix(int64_t version);

// Not thread-safe: use only on the thread of `loop`.
class SitePlatform {
 public:
  struct Options {
    int workers = 6;
    Resources capacity{16000, 65536, 0};
    bool advice = true;
    int max_attempts = 3;
    uint64_t seed = 1;
    absl::Duration max_lease = absl::Seconds(6);
    // A worker that was crashed by a task restarts under the same id. Requires
    // `UseWorkerProxies`.
    bool keep_id_after_crash = false;
    // Workers report when they started, as on a platform where they may restart
    // under the same name.
    bool reports_start_times = true;
    // How long a worker takes for an order to start a run. It takes one after
    // the other.
    absl::Duration start_duration;
    // After this time the first worker takes `kSlowWorker` times as long.
    absl::Duration first_worker_slow_after = absl::InfiniteDuration();
    // Without accounts, calls need no key.
    std::vector<ClientAccount> accounts;
  };

  SitePlatform(boost::asio::io_context& loop, const Options& options);

  Address store_address() const { return store_address_; }
  Address advice_address() const { return advice_address_; }
  SiteStore& store() { return store_; }
  void PublishConfiguration(int64_t version);
  // Sets the accounts of the configurations that are published from now on.
  void SetAccounts(std::vector<ClientAccount> accounts) {
    accounts_ = std::move(accounts);
  }

  // Puts a fault proxy in front of each worker. Call before the first worker
  // record is read.
  void UseWorkerProxies();
  void SetWorkerProxy(int index, FaultProxy::Mode mode);
  // Permanently drops all data on the connections to workers that are open now;
  // see `FaultProxy::BlackholeOpenConnections`.
  void BlackholeOpenWorkerConnections();
  void CrashWorker(int index, absl::Duration down);
  // Crashes the worker and starts its next incarnation under the same id after
  // `down`. The new incarnation has none of the old state, its counters start
  // anew, and no earlier connection leads to it. Until then the proxy resets
  // connections or drops all data. Requires `UseWorkerProxies`.
  void RestartWorker(int index, absl::Duration down);
  // The worker reports that it is draining, but not for how long, and leaves
  // after `drain`: its runs and its unacknowledged ends are gone, and it
  // answers nothing from then on.
  void DrainWorker(int index, absl::Duration drain);
  // Reduces the worker's capacity to the fraction `share` for `time`. Its
  // record shows the reduced capacity from the next heartbeat on.
  void ShrinkWorker(int index, double share, absl::Duration time);
  // Writes foreign entries to the list of workers. No node may call the address
  // that they contain.
  void WriteForeignEntries();
  // Number of calls to the address in the foreign entries.
  int64_t foreign_entry_calls() const { return foreign_entry_calls_; }
  // Sets the fraction of orders that are executed but not answered.
  void SetLostOrderReplies(double share) { lost_order_replies_ = share; }
  // Sets the fraction of orders that are not answered and are executed only 1
  // to 4 s after their arrival, by the incarnation that runs at that time.
  void SetLateOrders(double share) { late_orders_ = share; }
  // The next order to start a run is not answered, and is executed only by the
  // next incarnation of its worker, as soon as that incarnation starts.
  void DelayNextStartToRestart() { delays_next_start_ = true; }

  const std::vector<SiteRun>& runs() const { return runs_; }
  // Descriptions of the violated guarantees that the workers observed.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Slot {
    std::unique_ptr<SiteWorker> incarnation;
    std::unique_ptr<EventHttpServer> server;
    Address address;  // Published in its record.
    std::unique_ptr<FaultProxy> proxy;
    std::string name;           // Current worker id, without the incarnation.
    int64_t start_time_ms = 0;  // Wall clock.
    int name_count = 0;         // Number of ids used so far.
    // Orders to start runs that the next incarnation executes.
    std::vector<Json::Value> delayed_starts;
    // When the worker has taken all starts that it has received.
    absl::Time starts_taken_at = absl::InfinitePast();
    // Limit on the resources of concurrent runs. A capacity that was reduced by
    // `ShrinkWorker` is enforced only after nodes had time to learn of it.
    Resources capacity_limit;
  };
  struct PendingObservation {
    int slot;
    ObserveOrder order;
    absl::Time deadline;
    EventHttpServer::Reply reply;
    std::string incarnation;
  };

  Address Serve(std::unique_ptr<EventHttpServer>* server,
                EventHttpServer::Handler handler);
  // Starts an incarnation, under a new id unless `keep_id`.
  void StartIncarnation(int index, bool keep_id);
  void EndIncarnation(int index, absl::Duration down, bool keep_id);
  // Executes an order to start or stop a run. Returns nullopt for other paths.
  std::optional<OrderReply> ExecuteOrder(SiteWorker& incarnation,
                                         const std::string& path,
                                         const Json::Value& body);
  double RandomFraction() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  void HandleWorker(int index, const ServerRequest& request,
                    EventHttpServer::Reply reply);
  void AnswerObservation(const PendingObservation& observation);
  void HandleAdvice(const ServerRequest& request, EventHttpServer::Reply reply);
  void RecordRun(const SiteRun& run, bool begins);
  void ScheduleCrash(const SiteRun& run);
  Slot* FindSlot(const std::string& worker);
  // Answers an order to start a run once the worker has taken it.
  void QueueStart(int index, const Json::Value& body,
                  EventHttpServer::Reply reply);
  void RunAfter(absl::Duration delay, std::function<void()> step);
  void Advance();
  void AdvanceGangs(absl::Time now);
  void ScheduleAdvance();

  boost::asio::io_context& loop_;
  const Options options_;
  std::vector<ClientAccount> accounts_;
  std::mt19937_64 random_;
  SiteStore store_;
  std::unique_ptr<EventHttpServer> store_server_;
  std::unique_ptr<EventHttpServer> advice_server_;
  std::unique_ptr<EventHttpServer> foreign_server_;
  int64_t foreign_entry_calls_ = 0;
  Address store_address_;
  Address advice_address_;
  std::vector<Slot> slots_;
  // Replies to orders that stay unanswered. Keeping a reply keeps its
  // connection open.
  std::vector<EventHttpServer::Reply> unanswered_;
  std::vector<PendingObservation> pending_observations_;
  boost::asio::steady_timer timer_;
  int ticks_ = 0;
  double lost_order_replies_ = 0;
  double late_orders_ = 0;
  bool delays_next_start_ = false;
  const absl::Time began_ = SystemNow().mono;
  std::vector<SiteRun> runs_;
  std::map<TaskId, std::string> completed_on_;
  std::map<std::pair<TaskId, int32_t>, absl::Time> gang_done_at_;
  std::map<TaskId, int32_t> gang_size_;
  struct CrashCount {
    int workers = 0;  // Number of workers that the task crashed.
    // Number of starts after `kExcusedCrashes` of these crashes.
    int starts_after_excused = 0;
  };
  std::map<TaskId, CrashCount> crash_counts_;
  std::vector<std::string> violations_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_PLATFORM_H_
