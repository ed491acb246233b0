#include "keelbridge/daemon/leader_session.h"

#include <doctest/doctest.h>

#include <optional>

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
  Leader(MemoryStore& store, int64_t epoch)
      : connection_(store), metrics_("test") {
    NodePorts ports;
    ports.store = &connection_;
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

}  // namespace
}  // namespace keelbridge
