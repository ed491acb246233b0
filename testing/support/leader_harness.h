// A leader's term on stand-ins of the store and the workers, for tests.
//
//   boost::asio::io_context loop;
//   MemoryStore store(loop);
//   Leader leader(store, /*epoch=*/1);
//   RunFor(store, absl::Milliseconds(100));
//   std::optional<ClientAnswer> answer;
//   leader.Send(ClientCallKind::kSubmit, &answer);

#ifndef KEELBRIDGE_TESTING_SUPPORT_LEADER_HARNESS_H_
#define KEELBRIDGE_TESTING_SUPPORT_LEADER_HARNESS_H_

#include <boost/asio/post.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "keelbridge/base/clock.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/transport/event_timer.h"
#include "platform/dialect.h"
#include "testing/fakes/memory_store.h"

namespace keelbridge::testing {

constexpr JobId kJob = 0x5c0e7a21d94b36f8;
constexpr char kQueue[] = "r-restore";

inline WorkerRecord WorkerWithCapacity(const std::string& id) {
  WorkerRecord record;
  record.id = id;
  record.machine = "machine-of-" + id;
  record.pool = "pool";
  record.capacity = {8000, 8192, 0};
  return record;
}

// Workers that answer immediately or never.
class FakeWorkers : public WorkerOrders {
 public:
  explicit FakeWorkers(boost::asio::io_context& loop) : loop_(loop) {}

  void Start(const WorkerRecord& worker, const StartOrder& order,
             std::function<void(OrderReply)> done) override {
    starts.push_back(order.task);
    running_[worker.id].push_back({order.task, order.run, "", 0});
    PostReply([done] { done(Done()); });
  }
  void Stop(const WorkerRecord&, const StopOrder&,
            std::function<void(OrderReply)> done) override {
    PostReply([done] { done(Done()); });
  }
  void Observe(const WorkerRecord& worker, const ObserveOrder& order,
               std::function<void(ObserveReply)> done) override {
    observed.insert(worker.id);
    if (order.lease_until_ms > 0) ++leases;
    if (unresponsive.count(worker.id) > 0) return;
    ObserveReply reply;
    reply.order = Done();
    reply.running = running_[worker.id];
    RunAfter(loop_, kObserveLatency, [reply, done] { done(reply); });
  }
  void Forget(const std::string&) override {}

  std::set<std::string> unresponsive;
  std::vector<TaskId> starts;
  std::set<std::string> observed;
  int leases = 0;  // Observations that extended a lease.

 private:
  static constexpr absl::Duration kObserveLatency = absl::Milliseconds(20);

  static OrderReply Done() {
    OrderReply reply;
    reply.result = OrderResult::kDone;
    reply.clock_ms = ToMillis(SystemNow().wall);
    return reply;
  }
  void PostReply(std::function<void()> answer) {
    boost::asio::post(loop_, std::move(answer));
  }

  boost::asio::io_context& loop_;
  std::map<std::string, std::vector<RunningTask>> running_;  // By worker id.
};

inline std::shared_ptr<const SiteConfiguration> OneQueueConfiguration() {
  auto configuration = std::make_shared<SiteConfiguration>();
  configuration->version = 1;
  Queue queue;
  queue.name = kQueue;
  queue.pool = "pool";
  queue.max_attempts = 2;
  configuration->queues.push_back(queue);
  return configuration;
}

// Parses every worker record as a worker with free capacity in the pool of
// `OneQueueConfiguration`.
class AnyWorkerDialect : public platform::Dialect {
 public:
  Result<WorkerRecord> ParseWorkerRecord(const std::string& id,
                                         const std::string&) const override {
    return WorkerWithCapacity(id);
  }
};

// A leader with a connection to the store and, optionally, workers.
class Leader {
 public:
  struct Parts {
    // Replaces the leader's own connection if set.
    RecordStore* store = nullptr;
    WorkerOrders* workers = nullptr;
    JobScheduler::Options scheduler;
  };

  Leader(MemoryStore& store, int64_t epoch, RecordStore* instead = nullptr)
      : Leader(store, epoch, Parts{instead, nullptr, {}}) {}
  Leader(MemoryStore& store, int64_t epoch, const Parts& parts)
      : connection_(store), metrics_("test") {
    NodePorts ports;
    ports.store = parts.store == nullptr ? &connection_ : parts.store;
    ports.workers = parts.workers;
    ports.dialect = &dialect_;
    LeaderSession::Options options;
    options.scheduler = parts.scheduler;
    options.on_ended = [](const std::string&) {};
    session_ = std::make_shared<LeaderSession>(
        store.loop(), ports, std::move(options), epoch, metrics_);
    session_->Start();
  }
  ~Leader() { session_->End("the test is over"); }
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Sends a call of `kind` for `kJob`; stores the answer in `answer` when it
  // arrives.
  void Send(ClientCallKind kind, std::optional<ClientAnswer>* answer) {
    ClientCall call;
    call.kind = kind;
    call.queue = kQueue;
    call.job = kJob;
    if (kind == ClientCallKind::kSubmit) call.spec.steps.emplace_back();
    session_->Handle(
        call, [answer](const ClientReply& reply) { *answer = reply.answer; });
  }
  MemoryStoreConnection& connection() { return connection_; }
  LeaderSession& session() { return *session_; }

 private:
  MemoryStoreConnection connection_;
  AnyWorkerDialect dialect_;
  Metrics metrics_;
  std::shared_ptr<LeaderSession> session_;
};

// Runs the loop of the store, and so all that is on it.
inline void RunFor(MemoryStore& store, absl::Duration time) {
  store.loop().restart();
  store.loop().run_for(absl::ToChronoNanoseconds(time));
}

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_LEADER_HARNESS_H_
