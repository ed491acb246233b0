// Tests how a leader handles entries in the list of workers that an unrelated
// writer has left there.

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/state/known_workers.h"
#include "keelbridge/transport/event_timer.h"
#include "platform/dialect.h"
#include "testing/fakes/foreign_entries.h"
#include "testing/fakes/memory_store.h"

namespace keelbridge {
namespace {

using testing::MemoryStore;
using testing::MemoryStoreConnection;
using testing::ValidWorkerEntry;

constexpr char kService[] = "desk";
constexpr char kQueue[] = "r-restore";
constexpr char kAddress[] = "127.0.0.1:9";
constexpr absl::Duration kSettle = absl::Milliseconds(900);

// Workers that run every started task forever, and record which workers were
// contacted.
class RecordingWorkers : public WorkerOrders {
 public:
  explicit RecordingWorkers(boost::asio::io_context& loop) : loop_(loop) {}

  void Start(const WorkerRecord& worker, const StartOrder& order,
             std::function<void(OrderReply)> done) override {
    contacted.insert(worker.id);
    running[worker.id].push_back({order.task, order.run, "", 0});
    boost::asio::post(loop_, [done = std::move(done)] { done(Done()); });
  }
  void Stop(const WorkerRecord& worker, const StopOrder&,
            std::function<void(OrderReply)> done) override {
    contacted.insert(worker.id);
    boost::asio::post(loop_, [done = std::move(done)] { done(Done()); });
  }
  void Observe(const WorkerRecord& worker, const ObserveOrder&,
               std::function<void(ObserveReply)> done) override {
    contacted.insert(worker.id);
    ObserveReply reply;
    reply.order = Done();
    reply.running = running[worker.id];
    RunAfter(loop_, absl::Milliseconds(20),
             [reply, done = std::move(done)] { done(reply); });
  }
  void Forget(const std::string&) override {}

  std::set<std::string> contacted;
  std::map<std::string, std::vector<RunningTask>> running;  // By worker id.

 private:
  static OrderReply Done() {
    OrderReply reply;
    reply.result = OrderResult::kDone;
    reply.clock_ms = ToMillis(SystemNow().wall);
    return reply;
  }

  boost::asio::io_context& loop_;
};

std::shared_ptr<const SiteConfiguration> ConfigurationWithService(
    const std::string& service, int64_t version = 1) {
  auto configuration = std::make_shared<SiteConfiguration>();
  configuration->version = version;
  configuration->pools.push_back({service, false, false});
  Queue queue;
  queue.name = kQueue;
  queue.pool = service;
  queue.max_attempts = 3;
  configuration->queues.push_back(queue);
  return configuration;
}

// If `history_lost` is set, answers the next read of the list of workers as if
// the requested part of its history had been deleted.
class LosesHistory : public MemoryStoreConnection {
 public:
  using MemoryStoreConnection::MemoryStoreConnection;
  void Read(Stream stream, int64_t from, absl::Duration wait,
            ReadTimeout timeout, std::function<void(ReadReply)> done) override {
    if (stream != Stream::kWorkers || !std::exchange(history_lost, false))
      return MemoryStoreConnection::Read(stream, from, wait, timeout,
                                         std::move(done));
    ReadReply reply;
    reply.result = StoreResult::kGone;
    done(std::move(reply));
  }
  bool history_lost = false;
};

// A store, workers and a sequence of leaders.
class TestCluster {
 public:
  TestCluster() : store(loop), workers(loop) {}
  ~TestCluster() { EndTerm(); }
  TestCluster(const TestCluster&) = delete;
  TestCluster& operator=(const TestCluster&) = delete;

  void WriteEntry(const std::string& id, const std::string& document) {
    AppendOrder order;
    order.stream = Stream::kWorkers;
    order.records = {{id, document}};
    store.Append(order);
  }
  void RemoveEntry(const std::string& id) {
    AppendOrder order;
    order.stream = Stream::kWorkers;
    order.records = {{id, std::nullopt}};
    store.Append(order);
  }
  void WriteForeignEntries() {
    for (const auto& entry : testing::ForeignEntries(kService, kAddress))
      WriteEntry(entry.id, entry.document);
  }
  void BeginTerm(std::shared_ptr<const SiteConfiguration> configuration) {
    EndTerm();
    NodePorts ports;
    ports.store = &connection;
    ports.workers = &workers;
    ports.dialect = &dialect_;
    LeaderSession::Options options;
    options.on_ended = [](const std::string&) {};
    options.scheduler.lease = absl::Milliseconds(500);
    options.scheduler.earlier_leader_grace = absl::Milliseconds(2600);
    session = std::make_shared<LeaderSession>(loop, ports, std::move(options),
                                              ++epoch_, metrics);
    session->SetConfiguration(std::move(configuration));
    session->Start();
    Run();
    REQUIRE(session->active());
  }
  void EndTerm() {
    if (session != nullptr) session->End("the test is over");
    session.reset();
    Run(absl::Milliseconds(50));
  }
  void Submit(JobId job) {
    ClientCall call;
    call.kind = ClientCallKind::kSubmit;
    call.queue = kQueue;
    call.job = job;
    call.spec.steps.emplace_back();
    call.spec.steps[0].requested = {1000, 1024, 0};
    session->Handle(call, [](const ClientReply&) {});
  }
  void Run(absl::Duration time = kSettle) {
    loop.restart();
    loop.run_for(absl::ToChronoNanoseconds(time));
  }
  size_t RunCount(const std::string& worker) {
    return workers.running[worker].size();
  }

  boost::asio::io_context loop;
  MemoryStore store;
  RecordingWorkers workers;
  LosesHistory connection{store};
  Metrics metrics{"test"};
  std::shared_ptr<LeaderSession> session;

 private:
  platform::Dialect dialect_;
  int64_t epoch_ = 0;
};

const std::set<std::string> kOnlyGood = {"i-good"};

TEST_CASE(
    "foreign entries: a leader neither contacts nor uses them, and uses the "
    "valid ones") {
  TestCluster cluster;
  cluster.WriteForeignEntries();
  cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
  cluster.BeginTerm(ConfigurationWithService(kService));
  cluster.Submit(1);
  cluster.Run();
  CHECK(cluster.workers.contacted == kOnlyGood);
  CHECK(cluster.RunCount("i-good") == 1);
  // Entries that are written during the term are handled likewise.
  cluster.WriteForeignEntries();
  cluster.Run();
  cluster.Submit(2);
  cluster.Run();
  CHECK(cluster.workers.contacted == kOnlyGood);
  CHECK(cluster.RunCount("i-good") == 2);
  const std::string metrics = cluster.metrics.Text();
  CHECK(absl::StrContains(metrics, "workers 1\n"));
  // Each is counted once, however often it is read.
  const size_t foreign = testing::ForeignEntries(kService, kAddress).size();
  CHECK(absl::StrContains(
      metrics, absl::StrCat("worker_entries_refused_total ", foreign, "\n")));
}

TEST_CASE(
    "foreign entries: a worker whose entry becomes invalid keeps its runs, "
    "under this leader and the next") {
  for (const std::string& bad : {std::string("no record"), std::string("{}"),
                                 ValidWorkerEntry("unheard-of", kAddress)}) {
    CAPTURE(bad);
    TestCluster cluster;
    cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
    cluster.BeginTerm(ConfigurationWithService(kService));
    cluster.Submit(1);
    cluster.Run();
    REQUIRE(cluster.RunCount("i-good") == 1);
    cluster.WriteEntry("i-good", bad);
    cluster.Run();
    cluster.workers.contacted.clear();
    cluster.Submit(2);
    cluster.Run();
    // The worker is still observed for its run but gets no further tasks.
    CHECK(cluster.workers.contacted == kOnlyGood);
    CHECK(cluster.RunCount("i-good") == 1);
    cluster.workers.contacted.clear();
    cluster.BeginTerm(ConfigurationWithService(kService));
    cluster.Run();
    CHECK(cluster.workers.contacted == kOnlyGood);
    CHECK(cluster.RunCount("i-good") == 1);
    // Once the entry is valid again, the waiting job starts there.
    cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
    cluster.Run();
    CHECK(cluster.RunCount("i-good") == 2);
  }
}

TEST_CASE(
    "foreign entries: a worker of a service that is configured later is used "
    "without a new entry") {
  TestCluster cluster;
  cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
  cluster.BeginTerm(ConfigurationWithService("other"));
  cluster.Run();
  CHECK(cluster.workers.contacted.empty());
  cluster.session->SetConfiguration(ConfigurationWithService(kService, 2));
  cluster.Submit(1);
  cluster.Run();
  CHECK(cluster.workers.contacted == kOnlyGood);
  CHECK(cluster.RunCount("i-good") == 1);
  // Once the configuration no longer names the service, the worker keeps its
  // runs and gets no more.
  cluster.session->SetConfiguration(ConfigurationWithService("other", 3));
  cluster.Run();
  CHECK(cluster.RunCount("i-good") == 1);
  cluster.workers.contacted.clear();
  cluster.Run();
  CHECK(cluster.workers.contacted == kOnlyGood);
}

// When history is lost, the leader reads the whole list again. An entry that is
// missing from it counts as removed, as it does for a new leader.
TEST_CASE(
    "foreign entries: a worker whose entry was removed in lost history is not "
    "used") {
  TestCluster cluster;
  cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
  cluster.WriteEntry("i-other", ValidWorkerEntry(kService, kAddress));
  cluster.BeginTerm(ConfigurationWithService(kService));
  // The event loop does not run between these two changes, so no read does
  // either.
  cluster.RemoveEntry("i-good");
  cluster.connection.history_lost = true;
  cluster.Run();
  REQUIRE_FALSE(cluster.connection.history_lost);
  for (JobId job = 1; job <= 6; ++job) cluster.Submit(job);
  cluster.Run();
  CHECK(cluster.RunCount("i-good") == 0);
  CHECK(cluster.RunCount("i-other") == 6);
}

// A known worker whose record cannot be read may still have runs.
TEST_CASE(
    "foreign entries: an unreadable record of an earlier leader does not stop "
    "the load, and its worker is waited for") {
  TestCluster cluster;
  cluster.WriteEntry("i-good", ValidWorkerEntry(kService, kAddress));
  cluster.BeginTerm(ConfigurationWithService(kService));
  cluster.Submit(1);
  cluster.Run();
  REQUIRE(cluster.RunCount("i-good") == 1);
  cluster.EndTerm();
  for (const char* broken :
       {"no record", R"({"machine":["m"],"labels":{"a":[]}})",
        R"({"epoch":"x","cpu_milli":"y"})"}) {
    CAPTURE(broken);
    AppendOrder order;
    order.stream = Stream::kJobs;
    order.records = {{KnownWorkerKey("i-good"), broken},
                     {KnownWorkerKey("i-lost"), broken}};
    cluster.store.Append(order);
    cluster.BeginTerm(ConfigurationWithService(kService));
    // The run is found on its worker and is not started again.
    CHECK(cluster.RunCount("i-good") == 1);
    cluster.EndTerm();
  }
}

}  // namespace
}  // namespace keelbridge
