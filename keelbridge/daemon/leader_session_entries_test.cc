// What a leader makes of entries in the list of workers that another writer
// left there.

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
using testing::WorkerEntry;

constexpr char kService[] = "desk";
constexpr char kQueue[] = "r-restore";
constexpr char kAddress[] = "127.0.0.1:9";
constexpr absl::Duration kSettle = absl::Milliseconds(900);

// Workers that run what they are told for good, and who was asked anything.
class AskedWorkers : public WorkerOrders {
 public:
  explicit AskedWorkers(boost::asio::io_context& loop) : loop_(loop) {}

  void Start(const WorkerRecord& worker, const StartOrder& order,
             std::function<void(OrderReply)> done) override {
    asked.insert(worker.id);
    running[worker.id].push_back({order.task, order.run, "", 0});
    boost::asio::post(loop_, [done = std::move(done)] { done(Done()); });
  }
  void Stop(const WorkerRecord& worker, const StopOrder&,
            std::function<void(OrderReply)> done) override {
    asked.insert(worker.id);
    boost::asio::post(loop_, [done = std::move(done)] { done(Done()); });
  }
  void Observe(const WorkerRecord& worker, const ObserveOrder&,
               std::function<void(ObserveReply)> done) override {
    asked.insert(worker.id);
    ObserveReply reply;
    reply.order = Done();
    reply.running = running[worker.id];
    RunAfter(loop_, absl::Milliseconds(20),
             [reply, done = std::move(done)] { done(reply); });
  }
  void Forget(const std::string&) override {}

  std::set<std::string> asked;
  std::map<std::string, std::vector<RunningTask>> running;  // By worker.

 private:
  static OrderReply Done() {
    OrderReply reply;
    reply.result = OrderResult::kDone;
    reply.clock_ms = ToMillis(SystemNow().wall);
    return reply;
  }

  boost::asio::io_context& loop_;
};

std::shared_ptr<const SiteConfiguration> Naming(const std::string& service,
                                                int64_t version = 1) {
  auto configuration = std::make_shared<SiteConfiguration>();
  configuration->version = version;
  configuration->pools.push_back({service, false, false});
  Queue queue;
  queue.name = kQueue;
  queue.pool = service;
  queue.most_attempts = 3;
  configuration->queues.push_back(queue);
  return configuration;
}

// Drops the history of the list of workers when told to: a reader hears that
// what it asks for is gone.
class DropsHistory : public MemoryStoreConnection {
 public:
  using MemoryStoreConnection::MemoryStoreConnection;
  void Read(Stream stream, int64_t from, absl::Duration wait, Patience patience,
            std::function<void(ReadReply)> done) override {
    if (stream != Stream::kWorkers || !std::exchange(dropped, false))
      return MemoryStoreConnection::Read(stream, from, wait, patience,
                                         std::move(done));
    ReadReply reply;
    reply.result = StoreResult::kGone;
    done(std::move(reply));
  }
  bool dropped = false;
};

// A store with workers, and one leader after the other.
class Cell {
 public:
  Cell() : store(loop), workers(loop) {}
  ~Cell() { EndTerm(); }
  Cell(const Cell&) = delete;
  Cell& operator=(const Cell&) = delete;

  void Write(const std::string& id, const std::string& document) {
    AppendOrder order;
    order.stream = Stream::kWorkers;
    order.records = {{id, document}};
    store.Append(order);
  }
  void Drop(const std::string& id) {
    AppendOrder order;
    order.stream = Stream::kWorkers;
    order.records = {{id, std::nullopt}};
    store.Append(order);
  }
  void WriteForeign() {
    for (const auto& entry : testing::ForeignEntries(kService, kAddress))
      Write(entry.id, entry.document);
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
    options.scheduler.earlier_leader_bound = absl::Milliseconds(2600);
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
    call.spec.steps[0].need = {1000, 1024, 0};
    session->Handle(call, [](const ClientReply&) {});
  }
  void Run(absl::Duration time = kSettle) {
    loop.restart();
    loop.run_for(absl::ToChronoNanoseconds(time));
  }
  size_t RunsOn(const std::string& worker) {
    return workers.running[worker].size();
  }

  boost::asio::io_context loop;
  MemoryStore store;
  AskedWorkers workers;
  DropsHistory connection{store};
  Metrics metrics{"test"};
  std::shared_ptr<LeaderSession> session;

 private:
  platform::Dialect dialect_;
  int64_t epoch_ = 0;
};

const std::set<std::string> kOnlyGood = {"i-good"};

TEST_CASE("foreign entries: no leader asks or uses one, the others hold") {
  Cell cell;
  cell.WriteForeign();
  cell.Write("i-good", WorkerEntry(kService, kAddress));
  cell.BeginTerm(Naming(kService));
  cell.Submit(1);
  cell.Run();
  CHECK(cell.workers.asked == kOnlyGood);
  CHECK(cell.RunsOn("i-good") == 1);
  // The same while it leads.
  cell.WriteForeign();
  cell.Run();
  cell.Submit(2);
  cell.Run();
  CHECK(cell.workers.asked == kOnlyGood);
  CHECK(cell.RunsOn("i-good") == 2);
  CHECK(absl::StrContains(cell.metrics.Text(), "workers 1\n"));
}

TEST_CASE(
    "foreign entries: a worker whose entry turns bad keeps what it runs, and "
    "every leader judges it alike") {
  for (const std::string& bad : {std::string("no record"), std::string("{}"),
                                 WorkerEntry("unheard-of", kAddress)}) {
    CAPTURE(bad);
    Cell cell;
    cell.Write("i-good", WorkerEntry(kService, kAddress));
    cell.BeginTerm(Naming(kService));
    cell.Submit(1);
    cell.Run();
    REQUIRE(cell.RunsOn("i-good") == 1);
    cell.Write("i-good", bad);
    cell.Run();
    cell.workers.asked.clear();
    cell.Submit(2);
    cell.Run();
    // It is asked for what it runs, and gets nothing more.
    CHECK(cell.workers.asked == kOnlyGood);
    CHECK(cell.RunsOn("i-good") == 1);
    cell.workers.asked.clear();
    cell.BeginTerm(Naming(kService));
    cell.Run();
    CHECK(cell.workers.asked == kOnlyGood);
    CHECK(cell.RunsOn("i-good") == 1);
    // Once it is good again the waiting job begins there.
    cell.Write("i-good", WorkerEntry(kService, kAddress));
    cell.Run();
    CHECK(cell.RunsOn("i-good") == 2);
  }
}

TEST_CASE(
    "foreign entries: a worker of a service that is named later is used "
    "without another entry") {
  Cell cell;
  cell.Write("i-good", WorkerEntry(kService, kAddress));
  cell.BeginTerm(Naming("other"));
  cell.Run();
  CHECK(cell.workers.asked.empty());
  cell.session->SetConfiguration(Naming(kService, 2));
  cell.Submit(1);
  cell.Run();
  CHECK(cell.workers.asked == kOnlyGood);
  CHECK(cell.RunsOn("i-good") == 1);
  // Once no configuration names it, it keeps its work and gets no more.
  cell.session->SetConfiguration(Naming("other", 3));
  cell.Run();
  CHECK(cell.RunsOn("i-good") == 1);
  cell.workers.asked.clear();
  cell.Run();
  CHECK(cell.workers.asked == kOnlyGood);
}

// The list is read anew then; what it does not show any more is gone, as it is
// for a leader that begins now.
TEST_CASE(
    "foreign entries: a worker whose entry went with the history is not used") {
  Cell cell;
  cell.Write("i-good", WorkerEntry(kService, kAddress));
  cell.Write("i-other", WorkerEntry(kService, kAddress));
  cell.BeginTerm(Naming(kService));
  // In one turn: no read comes between.
  cell.Drop("i-good");
  cell.connection.dropped = true;
  cell.Run();
  REQUIRE_FALSE(cell.connection.dropped);
  for (JobId job = 1; job <= 6; ++job) cell.Submit(job);
  cell.Run();
  CHECK(cell.RunsOn("i-good") == 0);
  CHECK(cell.RunsOn("i-other") == 6);
}

// A known worker whose record cannot be read may still run something.
TEST_CASE(
    "foreign entries: a record of an earlier leader that cannot be read ends "
    "no load, and its worker is waited for") {
  Cell cell;
  cell.Write("i-good", WorkerEntry(kService, kAddress));
  cell.BeginTerm(Naming(kService));
  cell.Submit(1);
  cell.Run();
  REQUIRE(cell.RunsOn("i-good") == 1);
  cell.EndTerm();
  for (const char* broken :
       {"no record", R"({"machine":["m"],"labels":{"a":[]}})",
        R"({"epoch":"x","cpu_milli":"y"})"}) {
    CAPTURE(broken);
    AppendOrder order;
    order.stream = Stream::kJobs;
    order.records = {{KnownWorkerKey("i-good"), broken},
                     {KnownWorkerKey("i-lost"), broken}};
    cell.store.Append(order);
    cell.BeginTerm(Naming(kService));
    // The run is found where it is, and is not begun again.
    CHECK(cell.RunsOn("i-good") == 1);
    cell.EndTerm();
  }
}

}  // namespace
}  // namespace keelbridge
