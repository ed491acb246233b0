// A stand-in for the whole of the users' platform on loopback: its store, its
// workers, its advice, on one event loop, with faults and a journal of what
// ran.
//
// Tasks say in their job's payload what they do: a JSON list with an object a
// step, of cpu, memory, work_ms, gang (members), fails (a share) and crashes
// (the task crashes each worker that starts it).
//
//   SitePlatform platform(loop, {.workers = 6});
//   platform.PublishConfiguration(1);
//   std::string settings = platform.NodeSettings("node-a", ports);

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
#include <vector>

#include "keelbridge/transport/event_http_server.h"
#include "testing/fakes/fault_proxy.h"
#include "testing/fakes/site_store.h"
#include "testing/fakes/site_worker.h"

namespace keelbridge::testing {

// The queue that `PublishConfiguration` makes in every version.
inline constexpr char kSiteHost[] = "desk.example";
inline constexpr char kSitePrefix[] = "/restore/";
// The prefix of a queue that only this version has: a node that serves by
// another one answers calls to it with 404.
std::string VersionPrefix(int64_t version);

// All on the loop's thread.
class SitePlatform {
 public:
  struct Options {
    int workers = 6;
    Resources capacity{16000, 65536, 0};
    bool advice = true;
    int max_attempts = 3;
    uint64_t seed = 1;
    absl::Duration max_lease = absl::Seconds(6);
    // A worker that a task crashed comes back under its id; with proxies.
    bool keep_id_after_crash = false;
  };

  SitePlatform(boost::asio::io_context& loop, Options options);

  Address store_address() const { return store_address_; }
  Address advice_address() const { return advice_address_; }
  SiteStore& store() { return store_; }
  void PublishConfiguration(int64_t version);

  // Puts a proxy before each worker. Call before the first record is read.
  void UseWorkerProxies();
  void SetWorkerProxy(int index, FaultProxy::Mode mode);
  // The connections that are open to workers go silent for good.
  void SilenceOpenWorkerConnections();
  void CrashWorker(int index, absl::Duration down);
  // The worker crashes, and its next life comes under the id that it had: it
  // knows nothing of before, its counts begin anew, and no connection of before
  // leads to it. Until then it refuses connections or is dark. With proxies.
  void RestartWorker(int index, absl::Duration down);
  // The worker has only this share of its capacity for a time; its record says
  // so with the next heartbeat.
  void ShrinkWorker(int index, double share, absl::Duration time);
  // Leaves entries of another writer in the list of workers; the address that
  // they tell is nobody's to call.
  void WriteForeignEntries();
  // Calls that came there.
  int64_t foreign_calls() const { return foreign_calls_; }
  // Lost: the worker carries orders out and does not answer.
  void SetLostOrders(double share) { lost_orders_ = share; }
  // Late: the same, 1 to 4 s after they came, by the life that is there then.
  void SetLateOrders(double share) { late_orders_ = share; }

  const std::vector<SiteRun>& runs() const { return runs_; }
  // Broken promises that the workers saw, in words.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  struct Slot {
    std::unique_ptr<SiteWorker> incarnation;
    std::unique_ptr<EventHttpServer> server;
    Address address;  // That its record tells.
    std::unique_ptr<FaultProxy> proxy;
    std::string name;           // Its id for the platform.
    int64_t start_time_ms = 0;  // Wall clock.
    int name_count = 0;         // That it has had.
    // The most that may run there; see ShrinkWorker: a capacity that has shrunk
    // counts once nodes had time to hear of it.
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
  // Under a new id, unless it starts again.
  void StartIncarnation(int index, bool keep_id);
  void EndIncarnation(int index, absl::Duration down, bool keep_id);
  // Carries out an order to start or to stop; none: it is another call.
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
  void RunAfter(absl::Duration delay, std::function<void()> step);
  void Advance();
  void AdvanceGangs(absl::Time now);
  void ScheduleAdvance();

  boost::asio::io_context& loop_;
  const Options options_;
  std::mt19937_64 random_;
  SiteStore store_;
  std::unique_ptr<EventHttpServer> store_server_;
  std::unique_ptr<EventHttpServer> advice_server_;
  std::unique_ptr<EventHttpServer> foreign_server_;
  int64_t foreign_calls_ = 0;
  Address store_address_;
  Address advice_address_;
  std::vector<Slot> slots_;
  // Orders that get no answer: their connections stay open and say nothing.
  std::vector<EventHttpServer::Reply> unanswered_;
  std::vector<PendingObservation> pending_observations_;
  boost::asio::steady_timer timer_;
  int ticks_ = 0;
  double lost_orders_ = 0;
  double late_orders_ = 0;
  std::vector<SiteRun> runs_;
  std::map<TaskId, std::string> completed_on_;
  std::map<std::pair<TaskId, int32_t>, absl::Time> gang_done_at_;
  std::map<TaskId, int32_t> gang_size_;
  struct CrashCount {
    int workers = 0;               // That crashed under the task.
    int starts_after_excused = 0;  // After the last of them that counts.
  };
  std::map<TaskId, CrashCount>
      crash_counts_;  // Tasks that crash their workers.
  std::vector<std::string> faults_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_PLATFORM_H_
