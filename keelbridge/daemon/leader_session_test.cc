#include "keelbridge/daemon/leader_session.h"

#include <doctest/doctest.h>

#include <optional>

#include "keelbridge/transport/event_timer.h"
#include "platform/dialect.h"
#include "testing/fakes/memory_store.h"

namespace keelbridge {
namespace {

using testing::MemoryStore;
using testing::MemoryStoreConnection;

constexpr JobId kJob = 0x5c0e7a21d94b36f8;
constexpr char kQueue[] = "r-restore";

// A leader with a connection to the store and nothing else.
class Leader {
 public:
  Leader(MemoryStore& store, int64_t epoch, RecordStore* instead = nullptr)
      : connection_(store), metrics_("test") {
    NodePorts ports;
    ports.store = instead == nullptr ? &connection_ : instead;
    ports.dialect = &dialect_;
    LeaderSession::Options options;
    options.on_ended = [](const std::string&) {};
    session_ = std::make_shared<LeaderSession>(
        store.loop(), ports, std::move(options), epoch, metrics_);
    session_->Start();
  }
  ~Leader() { session_->End("the test is over"); }
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // The answers so far, in `answer`.
  void Ask(ClientCallKind kind, std::optional<ClientAnswer>* answer) {
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
  platform::Dialect dialect_;
  Metrics metrics_;
  std::shared_ptr<LeaderSession> session_;
};

void RunFor(MemoryStore& store, absl::Duration time) {
  store.loop().restart();
  store.loop().run_for(absl::ToChronoNanoseconds(time));
}

TEST_CASE(
    "leader session: a leader that was replaced without its knowledge denies "
    "no job") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader former(store, 1);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(former.session().active());
  former.connection().SetSilent(true);
  Leader successor(store, 2);
  std::optional<ClientAnswer> accepted;
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(successor.session().active());
  successor.Ask(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(accepted == ClientAnswer::kAccepted);

  std::optional<ClientAnswer> state;
  std::optional<ClientAnswer> cancelled;
  former.Ask(ClientCallKind::kStatus, &state);
  former.Ask(ClientCallKind::kCancel, &cancelled);
  RunFor(store, absl::Milliseconds(300));
  CHECK(state != ClientAnswer::kNoSuchJob);
  CHECK(cancelled != ClientAnswer::kNoSuchJob);
  // It hears from the store that it was replaced: another leader is asked.
  former.connection().SetSilent(false);
  RunFor(store, absl::Seconds(3));
  CHECK(former.session().ended());
  CHECK(state == ClientAnswer::kUnknown);
  CHECK(cancelled == ClientAnswer::kUnknown);
}

TEST_CASE("leader session: what nobody submitted is denied by who leads") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  Leader leader(store, 1);
  RunFor(store, absl::Milliseconds(100));
  std::optional<ClientAnswer> state;
  std::optional<ClientAnswer> cancelled;
  leader.Ask(ClientCallKind::kStatus, &state);
  leader.Ask(ClientCallKind::kCancel, &cancelled);
  RunFor(store, absl::Milliseconds(200));
  CHECK(state == ClientAnswer::kNoSuchJob);
  CHECK(cancelled == ClientAnswer::kNoSuchJob);
}

// Says that records were appended, and adds none.
class WithoutEffect : public MemoryStoreConnection {
 public:
  using MemoryStoreConnection::MemoryStoreConnection;
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    AppendOrder empty = order;
    empty.records.clear();
    MemoryStoreConnection::Append(empty, timeout, std::move(done));
  }
};

TEST_CASE(
    "leader session: a job whose records the store did not add is not told to "
    "be accepted") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  WithoutEffect connection(store);
  Leader leader(store, 1, &connection);
  RunFor(store, absl::Milliseconds(100));
  REQUIRE(leader.session().active());
  std::optional<ClientAnswer> accepted;
  leader.Ask(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(300));
  CHECK(accepted != ClientAnswer::kAccepted);
}

// Answers appends late, as a store does on whose answers a proxy sits.
class LateAnswers : public MemoryStoreConnection {
 public:
  LateAnswers(MemoryStore& store, absl::Duration late)
      : MemoryStoreConnection(store), store_(store), late_(late) {}
  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override {
    (void)timeout;
    const AppendReply reply = store_.Append(order);
    RunAfter(store_.loop(), late_, [reply, done] { done(reply); });
  }

 private:
  MemoryStore& store_;
  const absl::Duration late_;
};

TEST_CASE(
    "leader session: an append that was sent before the call does not confirm "
    "a denial") {
  boost::asio::io_context loop;
  MemoryStore store(loop);
  LateAnswers late(store, absl::Milliseconds(600));
  Leader former(store, 1, &late);
  RunFor(store, absl::Milliseconds(700));
  REQUIRE(former.session().active());
  RunFor(store, absl::Milliseconds(300));  // A first append is under way.
  Leader successor(store, 2);
  RunFor(store, absl::Milliseconds(50));
  REQUIRE(successor.session().active());
  std::optional<ClientAnswer> accepted;
  successor.Ask(ClientCallKind::kSubmit, &accepted);
  RunFor(store, absl::Milliseconds(50));
  REQUIRE(accepted == ClientAnswer::kAccepted);
  std::optional<ClientAnswer> state;
  former.Ask(ClientCallKind::kStatus, &state);
  RunFor(store, absl::Seconds(3));
  CHECK(former.session().ended());
  CHECK(state == ClientAnswer::kUnknown);
}

}  // namespace
}  // namespace keelbridge
