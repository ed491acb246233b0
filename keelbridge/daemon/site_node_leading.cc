// Leadership of a site node: reading and following the control stream, claiming
// leadership, and serving a term.

#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Milliseconds(800);
constexpr absl::Duration kFollowWait = absl::Seconds(20);
constexpr absl::Duration kFollowTimeout = absl::Seconds(22);
constexpr absl::Duration kFollowRetryDelay = absl::Milliseconds(500);
// Number of peers that are asked for the leader before a claim. Most nodes are
// in contact with a leader that is well.
constexpr size_t kMaxPeersToAsk = 16;
constexpr absl::Duration kAskPeersTimeout = absl::Milliseconds(300);
constexpr absl::Duration kEarlierLeaderPollInterval = absl::Milliseconds(300);
constexpr absl::Duration kTakeOverTimeout = absl::Milliseconds(800);
// Time that a peer has to take over leadership before it is offered again.
constexpr absl::Duration kOfferInterval = absl::Seconds(2);
// A leader that has reached the store only through peers for this long offers
// leadership to a peer that reaches it directly.
constexpr absl::Duration kMaxStoreLostDuration = absl::Milliseconds(1200);

// Computes for about 0.1 ms on a whole processor.
void DoFixedWork() {
  constexpr int kIterations = 60000;
  constexpr uint64_t kMultiplier = 6364136223846793005;
  uint64_t state = 1;
  for (int i = 0; i < kIterations; ++i) state = state * kMultiplier + 1;
  // Keeps the compiler from removing the loop.
  static volatile uint64_t sink;
  sink = state;
}

}  // namespace

void SiteNode::StepElection() {
  const absl::Time now = SystemNow().mono;
  const bool serving = session_ != nullptr && !session_->ended();
  const bool replaced =
      serving &&
      (!election_.Leads() || election_.leader().epoch != session_->epoch());
  if (replaced) {
    session_->End(absl::StrCat("epoch ", election_.leader().epoch, " of ",
                               election_.leader().node, " was heard"));
    return;
  }
  if (election_.Leads() && !serving) return BeginTerm();
  const bool delayed_claim_possible =
      peers_lost_ ||
      (serving && session_->store_recoveries() > reaffirmed_store_recoveries_);
  const bool should_reaffirm =
      delayed_claim_possible && !election_.control_unreadable();
  if (serving && session_->active() && should_reaffirm) Reaffirm();
  if (serving && session_->active()) OfferLeadership();
  switch (election_.Decide(now)) {
    case ElectionStep::kReadControl:
      return ReadControl();
    case ElectionStep::kClaim:
      if (!claiming_) AskPeersThenClaim();
      return;
    case ElectionStep::kNone:
      return;
  }
}

void SiteNode::ReadControl() {
  if (reading_control_) return;
  reading_control_ = true;
  ports_.store->Newest(
      Stream::kControl, "", kReadTimeout,
      [this, sent = SystemNow().mono](const NewestReply& reply) {
        reading_control_ = false;
        if (reply.result != StoreResult::kDone)
          return OnControlReadFailed("newest", reply.result, reply.message);
        control_lost_ = false;
        ApplyControlRecords(ControlRecords(reply), reply.end, sent);
        control_read_offset_ = reply.end;
        if (!following_control_) FollowControl();
        StepElection();
      });
}

void SiteNode::ApplyControlRecords(const std::vector<Record>& records,
                                   int64_t end, absl::Time read) {
  const bool was_unreadable = election_.control_unreadable();
  election_.OnControlRead(records, end, read);
  const bool unreadable = election_.control_unreadable();
  metrics_.Set("leader_record_unreadable", {}, unreadable ? 1 : 0);
  if (unreadable == was_unreadable) return;
  LogEvent(unreadable ? Severity::kError : Severity::kInfo,
           unreadable ? "leader_record_unreadable" : "leader_record_readable",
           {{"end", absl::StrCat(end)},
            {"epoch", absl::StrCat(election_.leader().epoch)},
            {"leader", election_.leader().node}});
}

void SiteNode::FollowControl() {
  following_control_ = true;
  const int64_t from = control_read_offset_;
  ports_.store->Read(
      Stream::kControl, from, kFollowWait, kFollowTimeout,
      [this, from](const ReadReply& reply) {
        if (reply.result == StoreResult::kDone) {
          const int64_t next =
              from + static_cast<int64_t>(reply.records.size());
          control_read_offset_ = std::max(control_read_offset_, next);
          if (!reply.records.empty()) {
            ApplyControlRecords(reply.records, next, SystemNow().mono);
            StepElection();
          }
          return FollowControl();
        }
        OnControlReadFailed("poll", reply.result, reply.message);
        RunAfter(loop_, kFollowRetryDelay, [this] {
          following_control_ = false;
          ReadControl();
          if (!following_control_ && control_read_offset_ >= 0) FollowControl();
        });
      });
}

void SiteNode::OnControlReadFailed(const char* read, StoreResult result,
                                   const std::string& detail) {
  // An outage is logged once, not for each failed read.
  if (control_lost_) return;
  control_lost_ = true;
  LogEvent(Severity::kWarning, "control_source_lost",
           {{"read", read},
            {"result", StoreResultName(result)},
            {"detail", detail}});
}

std::vector<std::string> SiteNode::AddressesToAskForLeader() const {
  const LeaderRecord& leader = election_.leader();
  const MemberList& members = membership_.members();
  const bool is_flat = membership_.is_flat();
  std::vector<std::string> addresses;
  for (const SiteMember* member :
       SampleMembers(members, is_flat ? members.size() : kMaxPeersToAsk,
                     RandomId(), {settings_.name, leader.node}))
    addresses.push_back(member->address);
  // In a large site this node hears of the leader through others.
  if (!is_flat && leader.epoch > 0 && leader.node != settings_.name)
    addresses.push_back(leader.address);
  return addresses;
}

void SiteNode::AskPeersThenClaim() {
  claiming_ = true;
  struct PeerPoll {
    size_t outstanding = 0;
    // When the leader last answered any of the peers.
    absl::Time answered = absl::InfinitePast();
    absl::Time started_at;
  };
  auto poll = std::make_shared<PeerPoll>();
  poll->started_at = SystemNow().mono;
  const auto finish = [this, poll] {
    claiming_ = false;
    if (poll->started_at - poll->answered < election_.suspect_after()) {
      election_.OnLeaderConfirmedByPeer(poll->answered);
      return;
    }
    // A newer leader may have been reported in the meantime.
    if (election_.Decide(SystemNow().mono) == ElectionStep::kClaim) Claim();
  };
  Json::Value params(Json::objectValue);
  params["epoch"] = Json::Int64(election_.leader().epoch);
  for (const std::string& address : AddressesToAskForLeader()) {
    ++poll->outstanding;
    rpc_.Call(
        address, "leader_age", params, kAskPeersTimeout,
        [this, poll, finish](const RpcOutcome& outcome) {
          if (outcome.answered) {
            election_.OnLeaderReported(LeaderFromJson(outcome.result["newer"]),
                                       SystemNow().mono);
            if (outcome.result.isMember("age_ms")) {
              const auto age =
                  absl::Milliseconds(outcome.result["age_ms"].asInt64());
              poll->answered = std::max(poll->answered, poll->started_at - age);
            }
          }
          if (--poll->outstanding == 0) finish();
        },
        RpcLane::kControl);
  }
  if (poll->outstanding == 0) finish();
}

void SiteNode::Claim() {
  if (claiming_ || election_.Leads()) return;
  claiming_ = true;
  const Now started_at = SystemNow();
  LogEvent(Severity::kInfo, "claiming",
           {{"after_epoch", absl::StrCat(election_.leader().epoch)},
            {"leader", election_.leader().node},
            {"silent_ms", absl::StrCat(absl::ToInt64Milliseconds(
                              started_at.mono - election_.last_contact()))}});
  ports_.store->Append(election_.Claim(ToMillis(started_at.wall)), kReadTimeout,
                       [this](const AppendReply& reply) {
                         claiming_ = false;
                         LogEvent(Severity::kInfo, "claim_answered",
                                  {{"result", StoreResultName(reply.result)}});
                         if (reply.result == StoreResult::kDone)
                           election_.OnClaimed(reply.end, SystemNow().mono);
                         else
                           election_.OnClaimFailed();
                         StepElection();
                       });
}

void SiteNode::Reaffirm() {
  reaffirmed_store_recoveries_ = session_->store_recoveries();
  peers_lost_ = false;
  ports_.store->Append(election_.Reaffirm(), kReadTimeout,
                       [this](const AppendReply& reply) {
                         if (reply.result == StoreResult::kDone)
                           election_.OnReaffirmed(reply.end);
                         else if (reply.result == StoreResult::kConflict)
                           ReadControl();
                       });
}

void SiteNode::BeginTerm() {
  if (draining_) return;
  reaffirmed_store_recoveries_ = 0;
  next_offer_at_ = SystemNow().mono + kOfferInterval;
  LeaderSession::Options options;
  options.node = settings_.name;
  // Half of the store's limit, because headers and framing are not counted.
  options.max_append_bytes =
      static_cast<size_t>(settings_.store_append_bytes) / 2;
  options.scheduler.max_record_bytes =
      static_cast<size_t>(settings_.store_record_bytes);
  options.scheduler.lease = settings_.lease;
  options.scheduler.start_window = settings_.start_window;
  options.scheduler.policy = settings_.policy;
  options.scheduler.gang_wait = settings_.gang_wait;
  options.scheduler.stop_timeout = settings_.stop_timeout;
  options.scheduler.ended_retention =
      settings_.ended_retention + absl::Seconds(10);
  options.ask_advice = [this](const AskAdviceAction& action,
                              std::function<void(AdviceReply)> done) {
    AskAdvice(action, std::move(done));
  };
  options.on_ended = [this](const std::string& why) { OnTermEnded(why); };
  last_order_ = LastOrderTime();
  std::vector<std::string> earlier;
  for (const EarlierLeader& earlier_leader : election_.leader().earlier)
    earlier.push_back(earlier_leader.address);
  earlier_leaders_ = EarlierLeaders(std::move(earlier), last_order_);
  NodePorts ports = ports_;
  order_relay_client_.BeginTerm();
  ports.workers = &order_relay_client_;
  session_ = std::make_shared<LeaderSession>(
      loop_, ports, std::move(options), election_.leader().epoch, metrics_);
  for (const auto& [epoch, at] : leaders_seen_)
    session_->OnEarlierLeaderSeen(epoch, at);
  for (const auto& [epoch, clock] : leader_clocks_)
    session_->OnEarlierLeaderClock(epoch, clock);
  if (configuration_ != nullptr) session_->SetConfiguration(configuration_);
  // Another leader may have led in between without asking for it.
  if (handover_.epoch > 0) session_->OnHandover(CurrentHandover());
  UpdateMembership();
  session_->Start();
  ResumeFollowingConfiguration();
  PollEarlierLeaders(session_);
}

void SiteNode::OnTermEnded(const std::string& why) {
  (void)why;
  // The clock of that term is this node's own.
  const absl::Time now = SystemNow().mono;
  leader_clocks_[session_->epoch()].OnReading(now, now);
  // A term that was never active knows nothing, so the handover of an earlier
  // one is kept.
  if (session_->handover()) {
    handover_ = *session_->handover();
    handover_created_ = now;
  }
  election_.StepDown(now);
  ReadControl();
}

LeaderHandover SiteNode::CurrentHandover() const {
  LeaderHandover handover = handover_;
  handover.age = SystemNow().mono - handover_created_;
  return handover;
}

void SiteNode::RequestTakeover(const SiteMember& member) {
  Json::Value params(Json::objectValue);
  params["epoch"] = Json::Int64(session_->epoch());
  rpc_.Call(
      member.address, "take_over", params, kTakeOverTimeout,
      [](const RpcOutcome&) {}, RpcLane::kControl);
}

void SiteNode::OfferLeadership() {
  const absl::Time now = SystemNow().mono;
  if (draining_ || now < next_offer_at_) return;
  const bool lost_store =
      now - store_failover_.lost_since() > kMaxStoreLostDuration;
  const auto better = election_.BetterLeader(lost_store);
  const SiteMember* peer =
      better ? membership_.members().Find(*better) : nullptr;
  if (peer == nullptr) return;
  next_offer_at_ = now + kOfferInterval;
  LogEvent(Severity::kInfo, "leadership_offered",
           {{"to", peer->name},
            {"its_capacity", absl::StrCat(peer->capacity)},
            {"own_capacity", absl::StrCat(Capacity())},
            {"lost_store", lost_store ? "yes" : "no"},
            {"epoch", absl::StrCat(session_->epoch())}});
  RequestTakeover(*peer);
}

void SiteNode::ProbeSpeed() {
  const absl::Time begin = SystemNow().mono;
  DoFixedWork();
  const bool was_slowed = speed_.slowed();
  speed_.OnProbe(SystemNow().mono - begin);
  election_.SetCapacity(Capacity());
  metrics_.Set("relative_speed", {}, speed_.RelativeSpeed());
  if (speed_.slowed() == was_slowed) return;
  LogEvent(Severity::kWarning, was_slowed ? "speed_back" : "slowed",
           {{"relative_speed", absl::StrCat(speed_.RelativeSpeed())}});
  // A slowed leader may be too busy to reach its next regular offer soon.
  if (was_slowed || session_ == nullptr || !session_->active()) return;
  next_offer_at_ = SystemNow().mono;
  OfferLeadership();
}

double SiteNode::Capacity() const {
  return settings_.Capacity() * speed_.RelativeSpeed();
}

absl::Time SiteNode::LastOrderTime() const {
  if (session_ == nullptr) return last_order_;
  return std::max(last_order_, session_->last_order());
}

void SiteNode::OnHandoverMessage(const std::string& address,
                                 const Json::Value& message) {
  auto handover = LeaderHandoverFromJson(message);
  if (!handover)
    return LogEvent(Severity::kWarning, "handover_unreadable",
                    {{"address", address}});
  session_->OnHandover(*std::move(handover));
}

void SiteNode::PollEarlierLeaders(const std::weak_ptr<LeaderSession>& term) {
  // An answer to a request of an earlier term proves nothing in this one: that
  // node may have led in between.
  const auto in_term = [this, term] {
    return term.lock() == session_ && session_ != nullptr && !session_->ended();
  };
  if (!in_term()) return;
  if (earlier_leaders_.AllStopped()) {
    session_->OnEarlierLeadersStopped(earlier_leaders_.LastOrderTime());
    return;
  }
  Json::Value params(Json::objectValue);
  params["leader"] = ToJson(election_.leader());
  for (const std::string& address : earlier_leaders_.Unconfirmed()) {
    rpc_.Call(
        address, "leader_heard", params, kReadTimeout,
        [this, in_term, address](const RpcOutcome& outcome) {
          const Json::Value& answer = outcome.result;
          const bool stopped = outcome.answered && answer.isObject() &&
                               answer["leads"].isBool() &&
                               !answer["leads"].asBool();
          if (!in_term() || !stopped) return;
          const int64_t idle_ms =
              answer["idle_ms"].isInt64() ? answer["idle_ms"].asInt64() : 0;
          LogEvent(Severity::kInfo, "earlier_leader_stopped",
                   {{"address", address}, {"idle_ms", absl::StrCat(idle_ms)}});
          if (answer.isMember("handover"))
            OnHandoverMessage(address, answer["handover"]);
          earlier_leaders_.OnStopped(address, absl::Milliseconds(idle_ms),
                                     SystemNow().mono);
        },
        RpcLane::kControl);
  }
  RunAfter(loop_, kEarlierLeaderPollInterval,
           [this, term] { PollEarlierLeaders(term); });
}

}  // namespace keelbridge
