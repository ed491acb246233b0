#include "keelbridge/coordination/call_outcome.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace keelbridge {
namespace {

using TryResult = CallOutcome::TryResult;

TEST_CASE("call fate: a call that reached no leader has not run") {
  CallOutcome outcome;
  CHECK(!outcome.MayHaveRun());
  for (const TryResult end : {TryResult::kNothingSent, TryResult::kNotLeader}) {
    outcome.BeginTry();
    CHECK(!outcome.EndTry(end));
    CHECK(!outcome.MayHaveRun());
  }
  outcome.BeginTry();
  CHECK(outcome.EndTry(TryResult::kRejected));
}

TEST_CASE("call fate: a try in flight may run") {
  CallOutcome outcome;
  outcome.BeginTry();
  CHECK(outcome.MayHaveRun());
}

TEST_CASE("call fate: a rejection does not rule out that an earlier try ran") {
  for (const TryResult earlier :
       {TryResult::kNoAnswer, TryResult::kTermEnded}) {
    CallOutcome outcome;
    outcome.BeginTry();
    CHECK(!outcome.EndTry(earlier));
    for (const TryResult later :
         {TryResult::kNothingSent, TryResult::kNotLeader,
          TryResult::kRejected}) {
      outcome.BeginTry();
      CHECK(!outcome.EndTry(later));
      CHECK(outcome.MayHaveRun());
    }
    outcome.BeginTry();
    CHECK(outcome.EndTry(TryResult::kAnswered));
  }
}

struct Session {
  int64_t epoch = 0;
  bool fenced = false;  // Earlier epochs are fenced in the store.
  bool active = false;
  bool knows_job = false;
  // Tries that wait for the term to become active.
  std::vector<int> awaiting_term;
  // Tries that wait for the job to become durable.
  std::vector<int> awaiting_append;
};
struct Node {
  // An epoch whose claim this node has not learned of yet, or 0.
  int64_t claimed = 0;
  std::optional<Session> session;
};
struct Call {
  int node;
  int number;
};
struct Reply {
  int number;
  TryResult end;
};

// A simulated site to which one client submits one job in several consecutive
// attempts, each at a randomly chosen node. Losses, delays, rejections and
// changes of leader are random. The node that each node takes for the leader is
// random as well, which covers every belief that a real node can hold, and
// more.
class Site {
 public:
  static constexpr int kNodes = 3;
  static constexpr int kMaxAttempts = 3;

  explicit Site(uint64_t seed) : random_(seed) {
    max_attempts_ = 1 + Draw(kMaxAttempts);
    nodes_[0].claimed = ++last_epoch_;
    BeginTerm(0);
    BeginAttempt();
  }

  void Step() {
    const int node = Draw(kNodes);
    // The weights make changes of leader rarer than calls and replies.
    switch (std::discrete_distribution<>({2, 4, 4, 1, 4, 3, 8, 6, 8, 2, 1})(
        random_)) {
      case 0:
        nodes_[Index(node)].claimed = ++last_epoch_;
        return;
      case 1:
        return BeginTerm(node);
      case 2:
        return Advance(node);
      case 3:
        return EndTerm(node);
      case 4:
        store_writable_ = !store_writable_;
        return;
      case 5:
        return DeliverAppend();
      case 6:
        return Try();
      case 7:
        return DeliverCall();
      case 8:
        return DeliverReply();
      case 9:
        // The node stops waiting for the answer. The call may still arrive.
        if (remote_) OnTryEnd(current_try_, TryResult::kNoAnswer);
        return;
      default:
        return GiveUp();
    }
  }

  // Makes the store writable and delivers everything that is in flight.
  void Settle() {
    while (attempt_) GiveUp();
    store_writable_ = true;
    for (int pass = 0; pass < 3; ++pass) {
      for (int node = 0; node < kNodes; ++node) {
        BeginTerm(node);
        Advance(node);
        Advance(node);
      }
      while (!calls_.empty()) DeliverCall();
      while (!appends_.empty()) DeliverAppend();
    }
  }

  bool durable() const { return durable_; }
  int rejected() const { return rejected_; }
  int attempts() const { return attempts_; }

 private:
  size_t Index(int node) const { return static_cast<size_t>(node); }
  int Draw(int below) {
    return std::uniform_int_distribution<>(0, below - 1)(random_);
  }
  template <typename T>
  T RemoveRandom(std::vector<T>& from) {
    const auto at = from.begin() + Draw(static_cast<int>(from.size()));
    const T removed = *at;
    from.erase(at);
    return removed;
  }

  // Leaders.
  void BeginTerm(int node) {
    Node& node_state = nodes_[Index(node)];
    if (node_state.claimed == 0 || node_state.session) return;
    node_state.session.emplace();
    node_state.session->epoch = node_state.claimed;
    node_state.claimed = 0;
  }
  void Advance(int node) {
    Node& node_state = nodes_[Index(node)];
    if (!node_state.session || node_state.session->active) return;
    Session& session = *node_state.session;
    if (!session.fenced) {
      if (session.epoch < fence_) return EndTerm(node);
      fence_ = session.epoch;
      session.fenced = true;
      return;
    }
    session.knows_job = durable_;
    session.active = true;
    for (const int number : std::exchange(session.awaiting_term, {}))
      Handle(node, number);
  }
  void EndTerm(int node) {
    if (!nodes_[Index(node)].session) return;
    const Session ended = *nodes_[Index(node)].session;
    nodes_[Index(node)].session.reset();
    for (const int number : ended.awaiting_term)
      Answer(node, number, TryResult::kNotLeader);
    for (const int number : ended.awaiting_append)
      Answer(node, number, TryResult::kTermEnded);
  }
  void Handle(int node, int number) {
    Session& session = *nodes_[Index(node)].session;
    if (!session.knows_job && !store_writable_)
      return Answer(node, number, TryResult::kRejected);
    if (!session.knows_job) appends_.push_back(session.epoch);
    session.knows_job = true;
    session.awaiting_append.push_back(number);
  }
  void DeliverAppend() {
    if (appends_.empty()) return;
    const int64_t epoch = RemoveRandom(appends_);
    const bool fenced = epoch < fence_;
    durable_ = durable_ || !fenced;
    for (int node = 0; node < kNodes; ++node) {
      auto& session = nodes_[Index(node)].session;
      if (!session || session->epoch != epoch) continue;
      if (fenced) return EndTerm(node);
      for (const int number : std::exchange(session->awaiting_append, {}))
        Answer(node, number, TryResult::kAnswered);
      return;
    }
  }

  // The node that forwards the attempt.
  void Answer(int node, int number, TryResult end) {
    // The answer is immediate if the forwarding node is itself the leader.
    if (number == current_try_ && !remote_ && node == attempt_node_)
      return OnTryEnd(number, end);
    replies_.push_back({number, end});
  }
  void BeginAttempt() {
    ++attempts_;
    attempt_node_ = Draw(kNodes);
    attempt_.emplace();
  }
  void Try() {
    if (!attempt_ || current_try_ != 0) return;
    const auto& session = nodes_[Index(attempt_node_)].session;
    if (session && !session->active) return;
    attempt_->BeginTry();
    current_try_ = ++last_try_;
    remote_ = !session;
    if (!remote_) return Handle(attempt_node_, current_try_);
    if (Draw(2) == 0) return OnTryEnd(current_try_, TryResult::kNothingSent);
    const int other = (attempt_node_ + 1 + Draw(kNodes - 1)) % kNodes;
    calls_.push_back({other, current_try_});
  }
  void DeliverCall() {
    if (calls_.empty()) return;
    const Call call = RemoveRandom(calls_);
    auto& session = nodes_[Index(call.node)].session;
    if (!session) return Answer(call.node, call.number, TryResult::kNotLeader);
    if (session->active) return Handle(call.node, call.number);
    session->awaiting_term.push_back(call.number);
  }
  void DeliverReply() {
    if (replies_.empty()) return;
    const Reply reply = RemoveRandom(replies_);
    if (Draw(8) != 0) OnTryEnd(reply.number, reply.end);
  }
  void OnTryEnd(int number, TryResult end) {
    if (!attempt_ || number != current_try_) return;
    current_try_ = 0;
    remote_ = false;
    if (!attempt_->EndTry(end)) return;
    EndAttempt(end != TryResult::kAnswered);
  }
  void GiveUp() {
    if (attempt_) EndAttempt(!attempt_->MayHaveRun());
  }
  void EndAttempt(bool rejected) {
    if (rejected) ++rejected_;
    current_try_ = 0;
    remote_ = false;
    attempt_.reset();
    if (rejected && attempts_ < max_attempts_) BeginAttempt();
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_ = std::vector<Node>(kNodes);
  int64_t last_epoch_ = 0;
  int64_t fence_ = 0;
  bool store_writable_ = true;
  bool durable_ = false;
  std::vector<int64_t> appends_;  // Epochs of the senders.
  std::vector<Call> calls_;
  std::vector<Reply> replies_;

  std::optional<CallOutcome> attempt_;
  int attempt_node_ = 0;  // The node that forwards the attempt.
  int current_try_ = 0;   // Number of the try in flight, or 0.
  bool remote_ = false;   // The try was sent to another node.
  int last_try_ = 0;
  int max_attempts_ = 1;
  int attempts_ = 0;
  int rejected_ = 0;
};

TEST_CASE("call fate: a job does not run if all its attempts were rejected") {
  constexpr uint64_t kSeeds = 200000;
  constexpr int kSteps = 60;
  int all_rejected = 0;
  int ran = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Site site(seed);
    for (int i = 0; i < kSteps; ++i) site.Step();
    site.Settle();
    const bool rejected = site.rejected() == site.attempts();
    if (rejected) ++all_rejected;
    if (site.durable()) ++ran;
    CAPTURE(seed);
    const bool broken = rejected && site.durable();
    REQUIRE(!broken);
  }
  // Both outcomes must be frequent for the check above to be meaningful.
  CHECK(all_rejected > static_cast<int>(kSeeds) / 10);
  CHECK(ran > static_cast<int>(kSeeds) / 10);
}

}  // namespace
}  // namespace keelbridge
