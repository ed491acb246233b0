#include "keelbridge/daemon/leader_session.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/state/job_table.h"
#include "keelbridge/state/known_workers.h"
#include "keelbridge/state/leader_append.h"
#include "keelbridge/transport/event_timer.h"
#include "testing/fakes/memory_store.h"
#include "testing/support/leader_harness.h"

namespace keelbridge {
namespace {

using testing::FakeWorkers;
using testing::kJob;
using testing::kQueue;
using testing::Leader;
using testing::MemoryStore;
using testing::MemoryStoreConnection;
using testing::OneQueueConfiguration;
using testing::RunFor;
using testing::WorkerWithCapacity;

TEST_CASE(
    "leader session: a leader that does not know that it was replaced does not "
    "report a job as unknown") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader former(store, 1);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(former.session().active());
  former.connection().SetUnresponsive(true);
  Leader successor(store, 2);
  std::optional<ClientAnswer> accepted;
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(successor.session().active());
  successor.Send(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(accepted == ClientAnswer::kAccepted);

  std::optional<ClientAnswer> state;
  std::optional<ClientAnswer> cancelled;
  former.Send(ClientCallKind::kStatus, &state);
  former.Send(ClientCallKind::kCancel, &cancelled);
  RunFor(store, absl::Milliseconds(300));
  CHECK(state != ClientAnswer::kNoSuchJob);
  CHECK(cancelled != ClientAnswer::kNoSuchJob);
  // It learns from the store that it was replaced. `kUnknown` makes the client
  // call another leader.
  former.connection().SetUnresponsive(false);
  RunFor(store, absl::Seconds(3));
  CHECK(former.session().ended());
  CHECK(state == ClientAnswer::kUnknown);
  CHECK(cancelled == ClientAnswer::kUnknown);
}

TEST_CASE(
    "leader session: the leader reports a job that was never submitted as "
    "unknown") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader leader(store, 1);
  RunFor(store, absl::Milliseconds(100));
  std::optional<ClientAnswer> state;
  std::optional<ClientAnswer> cancelled;
  leader.Send(ClientCallKind::kStatus, &state);
  leader.Send(ClientCallKind::kCancel, &cancelled);
  RunFor(store, absl::Milliseconds(200));
  CHECK(state == ClientAnswer::kNoSuchJob);
  CHECK(cancelled == ClientAnswer::kNoSuchJob);
}

// Guards against a site that takes no more records, because one of them is
// larger than the store ever takes.
TEST_CASE(
    "leader session: a job that is too large to keep is refused, and others "
    "are accepted") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader::Parts parts;
  parts.scheduler.max_record_bytes = 4096;
  Leader leader(store, 1, parts);
  leader.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  const auto submit = [&](JobId job, const std::string& payload) {
    ClientCall call;
    call.kind = ClientCallKind::kSubmit;
    call.queue = kQueue;
    call.job = job;
    call.spec.payload = payload;
    call.spec.steps.emplace_back();
    std::optional<ClientAnswer> answer;
    leader.session().Handle(
        call, [&answer](const ClientReply& reply) { answer = reply.answer; });
    RunFor(store, absl::Milliseconds(200));
    return answer;
  };
  CHECK(submit(kJob, std::string(5000, 'x')) == ClientAnswer::kInvalid);
  // A letter of two bytes takes six in the record.
  std::string letters;
  for (int i = 0; i < 1000; ++i) letters += "\u00e9";
  CHECK(submit(kJob, letters) == ClientAnswer::kInvalid);
  CHECK(submit(kJob, std::string(3000, 'x')) == ClientAnswer::kAccepted);
}

// Reports that records were appended, but appends none from when `drops` is
// set.
class DropsRecords : public MemoryStoreConnection {
 public:
  using MemoryStoreConnection::MemoryStoreConnection;
  bool drops = false;
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    AppendOrder empty = order;
    if (drops) empty.records.clear();
    MemoryStoreConnection::Append(empty, timeout, std::move(done));
  }
};

TEST_CASE(
    "leader session: a job whose records the store did not append is not "
    "reported as accepted") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  DropsRecords connection(store);
  Leader leader(store, 1, &connection);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  connection.drops = true;
  std::optional<ClientAnswer> accepted;
  leader.Send(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(300));
  CHECK(accepted != ClientAnswer::kAccepted);
}

// Fails reads of the worker list only after their timeout, like a dead
// connection.
class HangsWorkerReads : public MemoryStoreConnection {
 public:
  explicit HangsWorkerReads(MemoryStore& store)
      : MemoryStoreConnection(store), store_(store) {}
  void Read(Stream stream, int64_t from, absl::Duration wait,
            ReadTimeout timeout, std::function<void(ReadReply)> done) override {
    if (stream != Stream::kWorkers || to_hang == 0)
      return MemoryStoreConnection::Read(stream, from, wait, timeout,
                                         std::move(done));
    --to_hang;
    RunAfter(store_.loop(), std::min(timeout.total, timeout.progress_timeout),
             [done] { done(ReadReply()); });
  }
  int to_hang = 0;

 private:
  MemoryStore& store_;
};

// A worker that announces that it leaves must get no orders 3 s later. A single
// read that hung, because only the leader's own connection to the store was
// unresponsive, delayed such announcements by 1.3 s; two in a row would use up
// the whole 3 s.
TEST_CASE(
    "leader session: changes of the worker list arrive although reads hang") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  HangsWorkerReads connection(store);
  FakeWorkers workers(loop);
  Leader leader(store, 1, Leader::Parts{&connection, &workers, {}});
  leader.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  connection.to_hang = 2;
  RunFor(store, absl::Milliseconds(450));
  REQUIRE(connection.to_hang < 2);
  AppendOrder entry;
  entry.stream = Stream::kWorkers;
  entry.records.push_back({"w", "{}", 0});
  store.Append(entry);
  RunFor(store, absl::Milliseconds(2200));
  CHECK(workers.observed.count("w") == 1);
}

// Delays replies to appends, like a proxy that holds back a store's answers.
class DelaysAppendReplies : public MemoryStoreConnection {
 public:
  DelaysAppendReplies(MemoryStore& store, absl::Duration late)
      : MemoryStoreConnection(store), store_(store), late_(late) {}
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    (void)timeout;
    const AppendReply reply = store_.Append(order);
    ++unanswered_;
    RunAfter(store_.loop(), late_, [this, reply, done] {
      --unanswered_;
      done(reply);
    });
  }
  // Number of appends that are not answered yet.
  int unanswered() const { return unanswered_; }

 private:
  MemoryStore& store_;
  const absl::Duration late_;
  int unanswered_ = 0;
};

// Executes appends but loses the replies to some of them.
class LosesAppendReplies : public MemoryStoreConnection {
 public:
  explicit LosesAppendReplies(MemoryStore& store)
      : MemoryStoreConnection(store), store_(store) {}
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    if (order.records.empty() || lost >= to_lose)
      return MemoryStoreConnection::Append(order, timeout, std::move(done));
    ++lost;
    MemoryStoreConnection::Append(order, timeout, [](const AppendReply&) {});
    RunAfter(store_.loop(), timeout, [done] { done(AppendReply()); });
  }
  int to_lose = 0;
  int lost = 0;

 private:
  MemoryStore& store_;
};

// Computed from the delays, three lost replies in a row cost 1.3 s if each is
// waited for in turn, and 0.37 s if the append is sent again in parallel.
TEST_CASE(
    "leader session: an append is sent again before its first try times out") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  LosesAppendReplies connection(store);
  Leader leader(store, 1, &connection);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  connection.to_lose = 3;
  std::optional<ClientAnswer> accepted;
  leader.Send(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(600));
  CHECK(accepted == ClientAnswer::kAccepted);
  CHECK(connection.lost == 3);
  RunFor(store, absl::Seconds(1));
  CHECK(!leader.session().ended());
}

// The store is unreachable for 2 s. The leader must use it again within 0.25 s;
// waiting for a try to time out (0.7 s) and for a retry delay of 0.2 s would
// take longer.
TEST_CASE("leader session: jobs are accepted soon after the store recovers") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader leader(store, 1);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  leader.connection().SetUnresponsive(true);
  std::optional<ClientAnswer> waiting;
  leader.Send(ClientCallKind::kSubmit, &waiting);
  RunFor(store, absl::Seconds(2));
  CHECK(!leader.session().CanAccept());
  leader.connection().SetUnresponsive(false);
  RunFor(store, absl::Milliseconds(250));
  CHECK(leader.session().CanAccept());
  CHECK(waiting == ClientAnswer::kAccepted);
}

// Submits jobs to a leader whose store has been unreachable for 2 s. Returns
// after which times their clients are told to return.
std::set<absl::Duration> RefuseInOutage(bool spread_retries) {
  constexpr JobId kClients = 200;
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader::Parts parts;
  parts.scheduler.policy.spread_retries = spread_retries;
  Leader leader(store, 1, parts);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  leader.connection().SetUnresponsive(true);
  std::optional<ClientAnswer> waiting;
  leader.Send(ClientCallKind::kSubmit, &waiting);
  RunFor(store, absl::Seconds(2));
  REQUIRE(!leader.session().CanAccept());
  std::set<absl::Duration> told;
  for (JobId job = 1; job <= kClients; ++job) {
    ClientCall call;
    call.kind = ClientCallKind::kSubmit;
    call.queue = kQueue;
    call.job = job;
    call.spec.steps.emplace_back();
    leader.session().Handle(call, [&told](const ClientReply& reply) {
      CHECK(reply.answer == ClientAnswer::kRejected);
      told.insert(reply.retry_after);
    });
  }
  return told;
}

TEST_CASE(
    "leader session: clients that are refused together in an outage are told "
    "different times if retries are spread") {
  const std::set<absl::Duration> same = {absl::Seconds(1)};
  const std::set<absl::Duration> spread = {absl::Seconds(1), absl::Seconds(2)};
  CHECK(RefuseInOutage(false) == same);
  CHECK(RefuseInOutage(true) == spread);
}

TEST_CASE(
    "leader session: an append sent before a call does not confirm that its "
    "job is unknown") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  DelaysAppendReplies late(store, absl::Milliseconds(600));
  Leader former(store, 1, &late);
  RunFor(store, absl::Milliseconds(700));
  REQUIRE(former.session().active());
  RunFor(store, absl::Milliseconds(300));  // A first append is in flight.
  Leader successor(store, 2);
  RunFor(store, absl::Milliseconds(50));
  REQUIRE(successor.session().active());
  std::optional<ClientAnswer> accepted;
  successor.Send(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(50));
  REQUIRE(accepted == ClientAnswer::kAccepted);
  std::optional<ClientAnswer> state;
  former.Send(ClientCallKind::kStatus, &state);
  RunFor(store, absl::Seconds(3));
  CHECK(former.session().ended());
  CHECK(state == ClientAnswer::kUnknown);
}

// Stores the records of an earlier leader: a job with one task, and a worker
// that it may run on.
void StoreJobAndWorker(MemoryStore& store, const std::string& worker) {
  JobSpec spec;
  spec.steps.emplace_back();
  spec.steps[0].requested = {1000, 1024, 0};
  AppendOrder order;
  order.stream = Stream::kJobs;
  order.records = {DescriptionRecord(Job(kJob, kQueue, spec, 0)),
                   KnownWorkerRecord({WorkerWithCapacity(worker), 1})};
  store.Append(order);
}

// Adds a worker to the platform's list of workers.
void AddWorkerEntry(MemoryStore& store, const std::string& worker) {
  AppendOrder order;
  order.stream = Stream::kWorkers;
  order.records = {{worker, "any"}};
  store.Append(order);
}

// An earlier leader may extend leases until it is fenced, however long that
// takes. So the time after which nothing can still run on an unreachable worker
// counts from the fence.
TEST_CASE(
    "leader session: the last lease of an earlier leader counts from its "
    "fencing") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  StoreJobAndWorker(store, "gone");
  AddWorkerEntry(store, "there");
  FakeWorkers workers(loop);
  workers.unresponsive = {"gone"};
  MemoryStoreConnection connection(store);
  connection.SetUnresponsive(true);
  Leader::Parts parts;
  parts.store = &connection;
  parts.workers = &workers;
  parts.scheduler.lease = absl::Milliseconds(500);
  parts.scheduler.earlier_leader_grace = absl::Milliseconds(2600);
  Leader leader(store, 2, parts);
  leader.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(1500));
  connection.SetUnresponsive(false);
  const absl::Time reachable = absl::Now();
  while (!leader.session().active() &&
         absl::Now() - reachable < absl::Seconds(2))
    RunFor(store, absl::Milliseconds(20));
  REQUIRE(leader.session().active());
  // The fence was written after `reachable`.
  while (absl::Now() - reachable < absl::Milliseconds(3000))
    RunFor(store, absl::Milliseconds(20));
  CHECK(workers.starts.empty());
  RunFor(store, absl::Seconds(3));
  CHECK(workers.starts.size() == 1);
}

// Guards against recovered work that waits for a leader's orders longer than it
// can have given any: nothing told when it stopped.
TEST_CASE(
    "leader session: the log tells when the last confirmed append was begun") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  const absl::Time before = SystemNow().mono;
  {
    Leader leader(store, 1);
    // Runs past a renewal: nothing else is written.
    RunFor(store, absl::Milliseconds(1800));
    REQUIRE(leader.session().active());
  }
  const absl::Time after = SystemNow().mono;
  std::optional<LeaderAppend> last;
  for (const Record& record : store.Newest(Stream::kJobs, "").records) {
    if (IsLeaderAppendKey(record.key)) last = ParseLeaderAppend(record);
  }
  REQUIRE(last.has_value());
  CHECK(last->begun.epoch == 1);
  CHECK(last->begun.at > before + absl::Milliseconds(1000));
  CHECK(last->begun.at <= after + absl::Milliseconds(1));
  REQUIRE(last->leases_over.has_value());
  CHECK(*last->leases_over > last->begun.at);
}

// A reply that lay in the socket while this process was suspended only confirms
// the time before the suspension. Another leader may have taken over since.
TEST_CASE(
    "leader session: an append sent before a stall confirms nothing after it") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  AddWorkerEntry(store, "there");
  FakeWorkers workers(loop);
  DelaysAppendReplies late(store, absl::Milliseconds(400));
  Leader::Parts parts;
  parts.store = &late;
  parts.workers = &workers;
  Leader former(store, 1, parts);
  former.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(600));
  REQUIRE(former.session().active());
  while (late.unanswered() == 0) RunFor(store, absl::Milliseconds(10));
  // This process is blocked while another leader writes its fence; then its
  // event loop runs again.
  absl::SleepFor(absl::Milliseconds(1800));
  AppendOrder fence;
  fence.stream = Stream::kJobs;
  fence.writer = WriterEpoch{"leader", 2, 0};
  store.Append(fence);
  const int leases = workers.leases;
  RunFor(store, absl::Milliseconds(300));
  CHECK(workers.leases == leases);
}

// A clock that stops while the machine is suspended shows no gap. A leader that
// was replaced during the suspension would continue as if its last append had
// just confirmed it.
TEST_CASE(
    "leader session: a suspension counts as a standstill, whatever the length "
    "that the loop saw") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  AddWorkerEntry(store, "there");
  FakeWorkers workers(loop);
  DelaysAppendReplies late(store, absl::Milliseconds(400));
  Leader::Parts parts;
  parts.store = &late;
  parts.workers = &workers;
  Leader former(store, 1, parts);
  former.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(600));
  REQUIRE(former.session().active());
  while (late.unanswered() == 0) RunFor(store, absl::Milliseconds(10));
  BootClock::SimulateSuspensionForTest(absl::Seconds(8));
  AppendOrder fence;
  fence.stream = Stream::kJobs;
  fence.writer = WriterEpoch{"leader", 2, 0};
  store.Append(fence);
  const int leases = workers.leases;
  RunFor(store, absl::Milliseconds(300));
  CHECK(workers.leases == leases);
}

// An unreadable record still shows that the job exists.
TEST_CASE(
    "leader session: a job with an unreadable record is not reported as "
    "unknown") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  AppendOrder order;
  order.stream = Stream::kJobs;
  order.records = {{DescriptionKey(kJob), "not a description"}};
  store.Append(order);
  Leader leader(store, 1);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  std::optional<ClientAnswer> state;
  std::optional<ClientAnswer> cancelled;
  std::optional<ClientAnswer> resubmitted;
  leader.Send(ClientCallKind::kStatus, &state);
  leader.Send(ClientCallKind::kCancel, &cancelled);
  leader.Send(ClientCallKind::kSubmit, &resubmitted);
  RunFor(store, absl::Milliseconds(300));
  CHECK(state == ClientAnswer::kRejected);
  CHECK(cancelled == ClientAnswer::kRejected);
  // The job was accepted earlier, so it may have run.
  CHECK(resubmitted == ClientAnswer::kUnknown);
}

TEST_CASE(
    "leader session: a job whose record an earlier leader appended after the "
    "fence is not reported as unknown, and the next term knows it") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader successor(store, 2);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(successor.session().active());
  // The store received this append before the fence and executes it only now.
  // The earlier leader then reports to its client that the job was accepted.
  JobSpec spec;
  spec.steps.emplace_back();
  AppendOrder late;
  late.stream = Stream::kJobs;
  late.records.push_back(DescriptionRecord(Job(kJob, kQueue, spec, 1)));
  REQUIRE(store.Append(late).result == StoreResult::kDone);

  std::optional<ClientAnswer> state;
  successor.Send(ClientCallKind::kStatus, &state);
  RunFor(store, absl::Milliseconds(300));
  CHECK(state == ClientAnswer::kUnknown);
  CHECK(successor.session().ended());
  Leader next(store, 3);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(next.session().active());
  std::optional<ClientAnswer> known;
  next.Send(ClientCallKind::kStatus, &known);
  RunFor(store, absl::Milliseconds(100));
  CHECK(known == ClientAnswer::kState);
}

// From when `repeats` is set, answers each append with the reply of the last
// one before and appends nothing, as if the two had the same sequence number.
class RepeatsEarlierReply : public MemoryStoreConnection {
 public:
  using MemoryStoreConnection::MemoryStoreConnection;
  bool repeats = false;
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    if (repeats) return done(last_);
    MemoryStoreConnection::Append(
        order, timeout,
        [this, done = std::move(done)](const AppendReply& reply) {
          last_ = reply;
          done(reply);
        });
  }

 private:
  AppendReply last_;
};

TEST_CASE(
    "leader session: a job whose append got the reply of an earlier one is not "
    "reported as accepted") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  RepeatsEarlierReply connection(store);
  Leader leader(store, 1, &connection);
  // Runs past a renewal.
  RunFor(store, absl::Milliseconds(1800));
  REQUIRE(leader.session().active());
  connection.repeats = true;
  std::optional<ClientAnswer> accepted;
  leader.Send(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(300));
  CHECK(accepted == ClientAnswer::kUnknown);
  CHECK(leader.session().ended());
}

// Returns a configuration in which `keys` belong to the account "a".
std::shared_ptr<const SiteConfiguration> ConfigurationWithKeys(
    int64_t version, std::vector<std::string> keys) {
  auto configuration =
      std::make_shared<SiteConfiguration>(*OneQueueConfiguration());
  configuration->version = version;
  configuration->has_accounts = true;
  configuration->accounts.resize(2);
  configuration->accounts[0].name = "a";
  configuration->accounts[0].keys = std::move(keys);
  configuration->accounts[1].name = "b";
  configuration->accounts[1].keys = {"key-b"};
  configuration->BuildIndex();
  return configuration;
}

// An active leader of a site in whose configuration, version 2, the account "a"
// has `keys`.
class LeaderWithAccounts {
 public:
  explicit LeaderWithAccounts(std::vector<std::string> keys)
      : store_(loop_), leader_(store_, 1) {
    Activate(leader_, std::move(keys));
  }

  void Activate(Leader& leader, std::vector<std::string> keys) {
    leader.session().SetConfiguration(
        ConfigurationWithKeys(2, std::move(keys)));
    RunFor(store_, absl::Milliseconds(100));
    REQUIRE(leader.session().active());
  }

  // Returns the leader's answer to a call for `kJob` that another node has
  // checked by the configuration `version`.
  std::optional<ClientAnswer> AnswerOf(Leader& leader, ClientCallKind kind,
                                       const Caller& caller) {
    ClientCall call;
    call.kind = kind;
    call.queue = kQueue;
    call.job = kJob;
    call.caller = caller;
    if (kind == ClientCallKind::kSubmit) call.spec.steps.emplace_back();
    std::optional<ClientAnswer> answer;
    leader.session().Handle(
        call, [&answer](const ClientReply& reply) { answer = reply.answer; });
    RunFor(store_, absl::Milliseconds(300));
    return answer;
  }
  std::optional<ClientAnswer> Answer(ClientCallKind kind,
                                     const Caller& caller) {
    return AnswerOf(leader_, kind, caller);
  }

  MemoryStore& store() { return store_; }

 private:
  boost::asio::io_context loop_;
  MemoryStore store_;
  Leader leader_;
};

// The node that received the call has not learned of the revocation yet.
TEST_CASE(
    "leader session: a revoked key is denied by the newer configuration") {
  LeaderWithAccounts site({"key-2"});
  for (const ClientCallKind kind :
       {ClientCallKind::kSubmit, ClientCallKind::kStatus,
        ClientCallKind::kCancel, ClientCallKind::kWaiting})
    CHECK(site.Answer(kind, {"key-1", "a", 1, false}) ==
          ClientAnswer::kUnauthorized);
  CHECK(site.Answer(ClientCallKind::kSubmit, {"key-2", "a", 1, false}) ==
        ClientAnswer::kAccepted);
}

// The leader has not learned of the key yet.
TEST_CASE("leader session: a key of a newer configuration is accepted") {
  LeaderWithAccounts site({"key-2"});
  CHECK(site.Answer(ClientCallKind::kSubmit, {"key-3", "a", 3, false}) ==
        ClientAnswer::kAccepted);
}

TEST_CASE("leader session: a job is hidden from other accounts") {
  LeaderWithAccounts site({"key-a"});
  const Caller a{"key-a", "a", 2, false};
  const Caller b{"key-b", "b", 2, false};
  REQUIRE(site.Answer(ClientCallKind::kSubmit, a) == ClientAnswer::kAccepted);
  CHECK(site.Answer(ClientCallKind::kStatus, b) == ClientAnswer::kNoSuchJob);
  CHECK(site.Answer(ClientCallKind::kCancel, b) == ClientAnswer::kNoSuchJob);
  CHECK(site.Answer(ClientCallKind::kSubmit, b) == ClientAnswer::kConflict);
  CHECK(site.Answer(ClientCallKind::kStatus, a) == ClientAnswer::kState);
  // A later leader learns the account from the job's records.
  Leader successor(site.store(), 2);
  site.Activate(successor, {"key-a"});
  CHECK(site.AnswerOf(successor, ClientCallKind::kCancel, b) ==
        ClientAnswer::kNoSuchJob);
  CHECK(site.AnswerOf(successor, ClientCallKind::kCancel, a) ==
        ClientAnswer::kAccepted);
}

// A leader that has accepted `kJob`, which then runs.
class LeaderWithJob {
 public:
  LeaderWithJob()
      : store_(loop_),
        workers_(loop_),
        leader_(store_, 1, Leader::Parts{nullptr, &workers_, {}}) {
    leader_.session().SetConfiguration(OneQueueConfiguration());
    Run(absl::Milliseconds(100));
    std::optional<ClientAnswer> accepted;
    leader_.Send(ClientCallKind::kSubmit, &accepted);
    Run(absl::Milliseconds(100));
    REQUIRE(accepted == ClientAnswer::kAccepted);
  }

  void Run(absl::Duration time) { RunFor(store_, time); }
  Leader& leader() { return leader_; }
  // Stores the state in `state` when the answer arrives.
  void AskState(std::optional<std::string>* state) {
    ClientCall call;
    call.kind = ClientCallKind::kStatus;
    call.queue = kQueue;
    call.job = kJob;
    leader_.session().Handle(
        call, [state](const ClientReply& reply) { *state = reply.state; });
  }

 private:
  boost::asio::io_context loop_;
  MemoryStore store_;
  FakeWorkers workers_;
  Leader leader_;
};

// Guards against telling a client that its job still runs when the end is known
// and is being written: the client would ask again only some time later.
TEST_CASE(
    "leader session: a status call waits for an end that is not durable") {
  LeaderWithJob site;
  std::optional<ClientAnswer> cancelled;
  std::optional<std::string> state;
  site.leader().Send(ClientCallKind::kCancel, &cancelled);
  site.AskState(&state);
  CHECK_FALSE(state.has_value());
  site.Run(absl::Milliseconds(100));
  CHECK(cancelled == ClientAnswer::kAccepted);
  CHECK(state == "cancelled");
}

TEST_CASE("leader session: a status call waits only briefly for the store") {
  LeaderWithJob site;
  site.leader().connection().SetUnresponsive(true);
  std::optional<ClientAnswer> cancelled;
  std::optional<std::string> state;
  site.leader().Send(ClientCallKind::kCancel, &cancelled);
  site.AskState(&state);
  site.Run(absl::Milliseconds(300));
  CHECK_FALSE(cancelled.has_value());
  REQUIRE(state.has_value());
  // The end is not durable, so it is not reported.
  CHECK(state != "cancelled");
}

// A leader that admits jobs by work has told a refused client when to return,
// and has not recorded its job.
TEST_CASE("leader session: jobs of much work are refused and promised a time") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  FakeWorkers workers(loop);
  AddWorkerEntry(store, "i-1");
  Leader::Parts parts{nullptr, &workers, {}};
  parts.scheduler.policy.admit_by_work = true;
  Leader leader(store, 1, parts);
  leader.session().SetConfiguration(OneQueueConfiguration());
  RunFor(store, absl::Milliseconds(2500));
  REQUIRE(leader.session().active());
  ClientCall call;
  call.kind = ClientCallKind::kSubmit;
  call.queue = kQueue;
  call.spec.steps.emplace_back();
  call.spec.steps[0].count = 100;
  call.spec.steps[0].requested = {1000, 64, 0};
  call.spec.steps[0].estimated_ms = 10000;
  std::optional<ClientReply> refused;
  for (call.job = 1; call.job < 50; ++call.job) {
    leader.session().Handle(call, [&refused](const ClientReply& reply) {
      if (reply.answer == ClientAnswer::kRejected) refused = reply;
    });
    if (refused) break;
  }
  REQUIRE(refused.has_value());
  CHECK(refused->retry_after >= absl::Seconds(1));
  CHECK(refused->retry_after <= absl::Seconds(5));
  CHECK(refused->retry_after ==
        absl::Floor(refused->retry_after, absl::Seconds(1)));
  RunFor(store, absl::Milliseconds(200));
  call.kind = ClientCallKind::kStatus;
  std::optional<ClientAnswer> state;
  leader.session().Handle(
      call, [&state](const ClientReply& reply) { state = reply.answer; });
  RunFor(store, absl::Milliseconds(200));
  CHECK(state == ClientAnswer::kNoSuchJob);
  leader.session().End("replaced");
  REQUIRE(leader.session().handover().has_value());
  REQUIRE(leader.session().handover()->returns.size() == 1);
  CHECK(leader.session().handover()->returns[0].job == call.job);
}

}  // namespace
}  // namespace keelbridge
