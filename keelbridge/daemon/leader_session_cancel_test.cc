// Tests that a job that is handed in after its cancel was answered does not
// run, whatever has become of the leader that answered.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>

#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/state/leader_append.h"
#include "testing/support/leader_harness.h"

namespace keelbridge {
namespace {

using testing::FakeWorkers;
using testing::kJob;
using testing::kQueue;
using testing::Leader;
using testing::MemoryStore;
using testing::OneQueueConfiguration;
using testing::RunFor;

const Caller kAccountA{"key-a", "a", 1, false};
const Caller kAccountB{"key-b", "b", 1, false};
const Caller kNobody;

// A site of one worker, with a sequence of leaders.
class Site {
 public:
  Site() : store_(loop_), workers_(loop_) {
    AppendOrder order;
    order.stream = Stream::kWorkers;
    order.records = {{"i-1", "any"}};
    store_.Append(order);
    BeginTerm();
  }

  // The leader is killed, and another one begins.
  void BeginTerm(absl::Duration retention = absl::Seconds(130)) {
    leader_.reset();
    Leader::Parts parts{nullptr, &workers_, {}};
    parts.scheduler.ended_retention = retention;
    leader_.emplace(store_, ++epoch_, parts);
    leader_->session().SetConfiguration(OneQueueConfiguration());
    Run(absl::Milliseconds(200));
    REQUIRE(leader_->session().active());
  }
  // Returns the answer to a call for `job`, or one of `kUnknown` if there is
  // none soon.
  ClientReply Ask(ClientCallKind kind, const Caller& caller = kNobody,
                  JobId job = kJob) {
    ClientCall call;
    call.kind = kind;
    call.queue = kQueue;
    call.job = job;
    call.caller = caller;
    if (kind == ClientCallKind::kSubmit) call.spec.steps.emplace_back();
    const auto out = std::make_shared<ClientReply>();
    leader_->session().Handle(
        call, [out](const ClientReply& reply) { *out = reply; });
    Run(absl::Milliseconds(300));
    return *out;
  }
  void Run(absl::Duration time) { RunFor(store_, time); }
  Leader& leader() { return *leader_; }
  size_t starts() const { return workers_.starts.size(); }
  // Returns how many appends of records the store has taken.
  int64_t appends() const {
    const ReadReply all = store_.Read(Stream::kJobs, 0);
    return std::count_if(
        all.records.begin(), all.records.end(),
        [](const Record& record) { return IsLeaderAppendKey(record.key); });
  }

 private:
  boost::asio::io_context loop_;
  MemoryStore store_;
  FakeWorkers workers_;
  int64_t epoch_ = 0;
  std::optional<Leader> leader_;
};

// Guards against: a call that hands a job in lay at a node that stood still,
// arrived after the job's cancel was answered, and the job ran (UNASKED).
TEST_CASE("leader session: a job that arrives after its cancel is refused") {
  Site site;
  REQUIRE(site.Ask(ClientCallKind::kCancel).answer == ClientAnswer::kNoSuchJob);
  const ClientReply late = site.Ask(ClientCallKind::kSubmit);
  CHECK(late.answer == ClientAnswer::kRejected);
  CHECK(late.retry_after > absl::Seconds(100));
  CHECK(site.Ask(ClientCallKind::kStatus).answer == ClientAnswer::kNoSuchJob);
  site.Run(absl::Seconds(1));
  CHECK(site.starts() == 0);
  // Another job is taken.
  CHECK(site.Ask(ClientCallKind::kSubmit, kNobody, kJob + 1).answer ==
        ClientAnswer::kAccepted);
}

// Guards against: only the leader that answered the cancel knew of it.
TEST_CASE(
    "leader session: a job that arrives after its cancel is refused by later "
    "leaders too") {
  Site site;
  REQUIRE(site.Ask(ClientCallKind::kCancel).answer == ClientAnswer::kNoSuchJob);
  for (int term = 0; term < 2; ++term) {
    site.BeginTerm();
    CHECK(site.Ask(ClientCallKind::kSubmit).answer == ClientAnswer::kRejected);
  }
  CHECK(site.starts() == 0);
}

// Guards against: the cancel is answered before later leaders know of it.
TEST_CASE(
    "leader session: the cancel of an unknown job is answered only once it is "
    "durable") {
  Site site;
  site.leader().connection().SetUnresponsive(true);
  CHECK(site.Ask(ClientCallKind::kCancel).answer == ClientAnswer::kUnknown);
}

// Guards against: an account keeps another one's jobs from being taken.
TEST_CASE(
    "leader session: a cancel refuses later jobs only for who could have "
    "cancelled them") {
  Site site;
  REQUIRE(site.Ask(ClientCallKind::kCancel, kAccountB).answer ==
          ClientAnswer::kNoSuchJob);
  CHECK(site.Ask(ClientCallKind::kSubmit, kAccountA).answer ==
        ClientAnswer::kAccepted);
  REQUIRE(site.Ask(ClientCallKind::kCancel, kAccountA, kJob + 1).answer ==
          ClientAnswer::kNoSuchJob);
  CHECK(site.Ask(ClientCallKind::kSubmit, kAccountA, kJob + 1).answer ==
        ClientAnswer::kRejected);
}

// Guards against: an id can never be used again.
TEST_CASE(
    "leader session: a job that is handed in again on purpose is taken once "
    "its cancel is forgotten") {
  Site site;
  site.BeginTerm(absl::Milliseconds(1200));
  REQUIRE(site.Ask(ClientCallKind::kCancel).answer == ClientAnswer::kNoSuchJob);
  const ClientReply refused = site.Ask(ClientCallKind::kSubmit);
  REQUIRE(refused.answer == ClientAnswer::kRejected);
  CHECK(refused.retry_after <= absl::Milliseconds(1200));
  site.Run(refused.retry_after + absl::Milliseconds(1200));
  CHECK(site.Ask(ClientCallKind::kSubmit).answer == ClientAnswer::kAccepted);
  site.BeginTerm();
  CHECK(site.Ask(ClientCallKind::kStatus).answer == ClientAnswer::kState);
}

// Guards against: a crowd of cancels costs as many appends.
TEST_CASE(
    "leader session: a crowd of cancels of unknown jobs shares its appends") {
  Site site;
  const int64_t before = site.appends();
  for (JobId job = 1000; job < 1500; ++job) {
    ClientCall call;
    call.kind = ClientCallKind::kCancel;
    call.queue = kQueue;
    call.job = job;
    site.leader().session().Handle(call, [](const ClientReply&) {});
    if (job % 10 == 0) site.Run(absl::Milliseconds(10));
  }
  site.Run(absl::Milliseconds(300));
  // 0.8 s, at one append in 100 ms.
  CHECK(site.appends() - before <= 10);
}

}  // namespace
}  // namespace keelbridge
