// Communication between the nodes of a site: heartbeats, and RPC methods that
// nodes serve for each other.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/membership_messages.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

// Each node sends its parent a heartbeat at this interval. If all nodes send
// theirs to the leader, it receives at most kMaxHeartbeatsPerSecond.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(250);
constexpr double kMaxHeartbeatsPerSecond = 100;
// A leader is suspect once two heartbeats in a row remain unanswered, but no
// later than after this time.
constexpr absl::Duration kMaxSuspectAfter = absl::Milliseconds(1400);
constexpr absl::Duration kSuspicionMargin = absl::Milliseconds(50);
// A timer may fire this late on a loaded machine.
constexpr absl::Duration kMaxTimerDelay = absl::Milliseconds(300);
constexpr absl::Duration kHeartbeatRetryDelay = absl::Milliseconds(40);
// A parent that has not been in contact with the leader for this long is
// avoided by its children, and a little later by the nodes below them, which
// thereby give their parents time to find another way.
constexpr absl::Duration kMaxParentAge = absl::Seconds(1);
constexpr absl::Duration kParentAgeStep = absl::Milliseconds(300);
// The present members are reported upwards at once when they change, but not
// more often than this.
constexpr absl::Duration kMinHeartbeatInterval = absl::Milliseconds(100);
// Number of nodes that may relay a call to the store, in a large site.
constexpr size_t kStoreRelays = 16;
// The relative speed of this node is reported in these steps, so that the list
// of members does not change with every fluctuation.
constexpr double kSpeedStep = 1.0 / 16;
// Number of leaders to remember: enough for a minute in which the leader
// changes every 4 s. A leader that was forgotten only makes a later leader wait
// longer.
constexpr size_t kMaxLeadersSeen = 16;
constexpr int kInvalidParams = -32602;

JsonRpcReply Ok(Json::Value result) { return {std::move(result), 0, ""}; }

}  // namespace

void SiteNode::AddPeerMethods() {
  peer_server_.Add("heartbeat", [this](const Json::Value& params,
                                       const EventRpcServer::Reply& reply) {
    auto answer = HandleHeartbeat(params);
    if (answer) return reply(Ok(std::move(answer.value())));
    LogEvent(Severity::kWarning, "heartbeat_refused",
             {{"why", answer.error().message}});
    reply({Json::Value(), kInvalidParams, answer.error().message});
  });
  peer_server_.Add("call", [this](const Json::Value& params,
                                  const EventRpcServer::Reply& reply) {
    const auto not_leader = [reply] {
      Json::Value out(Json::objectValue);
      out["not_leader"] = true;
      reply(Ok(out));
    };
    if (session_ == nullptr || session_->ended()) return not_leader();
    std::shared_ptr<Span> span;
    const TraceContext parent =
        TraceContext::Parse(params["traceparent"].asString());
    if (parent.valid()) span = std::make_shared<Span>("leader.call", parent);
    const auto call = ClientCallFromJson(params);
    if (!call) {
      ClientReply invalid;
      invalid.answer = ClientAnswer::kInvalid;
      invalid.message = call.error().message;
      return reply(Ok(ToJson(invalid)));
    }
    session_->HandleOnceActive(
        call.value(),
        [span, reply](const ClientReply& answer) { reply(Ok(ToJson(answer))); },
        not_leader);
  });
  peer_server_.Add("advise", [this](const Json::Value& params,
                                    EventRpcServer::Reply reply) {
    ports_.advice->Ask(AdviceRequestFromJson(params),
                       absl::Milliseconds(params["timeout_ms"].asInt64()),
                       [reply = std::move(reply)](const AdviceReply& answer) {
                         reply(Ok(ToJson(answer)));
                       });
  });
  peer_server_.Add(StoreFailover::kMethod, [this](const Json::Value& params,
                                                  EventRpcServer::Reply reply) {
    store_failover_.ServePeer(params, std::move(reply));
  });
  peer_server_.Add("configuration", [this](const Json::Value&,
                                           const EventRpcServer::Reply& reply) {
    if (configuration_ == nullptr)
      return reply({Json::Value(), kInvalidParams, "no configuration"});
    Json::Value out(Json::objectValue);
    out["document"] = configuration_->document;
    reply(Ok(out));
  });
  // Called by a leader on an earlier leader: reports the new leader, and
  // returns whether the earlier one has stopped and what it hands over.
  peer_server_.Add("leader_heard", [this](const Json::Value& params,
                                          const EventRpcServer::Reply& reply) {
    election_.OnLeaderReported(LeaderFromJson(params["leader"]),
                               SystemNow().mono);
    StepElection();
    Json::Value out(Json::objectValue);
    out["leads"] = session_ != nullptr && !session_->ended();
    out["idle_ms"] = Json::Int64(
        absl::ToInt64Milliseconds(SystemNow().mono - LastOrderTime()));
    if (!out["leads"].asBool() && handover_.epoch > 0)
      out["handover"] = ToJson(CurrentHandover());
    reply(Ok(out));
  });
  // Returns the time since the leader last answered this node, in milliseconds.
  peer_server_.Add("leader_age", [this](const Json::Value& params,
                                        const EventRpcServer::Reply& reply) {
    Json::Value out(Json::objectValue);
    const bool same_epoch =
        params["epoch"].asInt64() == election_.leader().epoch;
    const bool leads = session_ != nullptr && session_->CanAccept();
    out["newer"] = ToJson(election_.leader());
    if (leads)
      out["age_ms"] = 0;
    else if (same_epoch && leader_contact_.accepts)
      out["age_ms"] = AgeToJson(SystemNow().mono - leader_contact_.at);
    reply(Ok(out));
  });
  peer_server_.Add("take_over", [this](const Json::Value& params,
                                       const EventRpcServer::Reply& reply) {
    if (params["epoch"].asInt64() == election_.leader().epoch && !draining_) {
      LogEvent(Severity::kInfo, "asked_to_take_over",
               {{"epoch", params["epoch"].asString()}});
      Claim();
    }
    reply(Ok(Json::Value(Json::objectValue)));
  });
}

void SiteNode::AddOrderMethods() {
  peer_server_.Add(
      OrderRelayClient::kOrdersMethod,
      [this](const Json::Value& params, const EventRpcServer::Reply& reply) {
        reply(Ok(Json::Value(Json::objectValue)));
        order_relay_server_.HandleOrders(params);
      });
  peer_server_.Add(
      OrderRelayClient::kRepliesMethod,
      [this](const Json::Value& params, const EventRpcServer::Reply& reply) {
        reply(Ok(Json::Value(Json::objectValue)));
        order_relay_client_.HandleReplies(params);
      });
}

SiteMember SiteNode::DescribeSelf() const {
  const double steps = std::ceil(speed_.RelativeSpeed() / kSpeedStep);
  return {settings_.name, settings_.PeerAddress(), settings_.zone,
          store_failover_.direct(), settings_.Capacity() * steps * kSpeedStep};
}

bool SiteNode::InContactWithLeader() const {
  if (session_ != nullptr && !session_->ended()) return true;
  return SystemNow().mono - leader_contact_.at < kMaxLeaderContactAge;
}

void SiteNode::UpdateMembership() {
  const absl::Time now = SystemNow().mono;
  membership_.SetSelf(DescribeSelf());
  membership_.OnLeader(election_.leader().node, election_.leader().epoch,
                       election_.Leads(), now);
  membership_.Update(now);
  const MembershipView view{membership_.members().changes(),
                            election_.leader().epoch, election_.Leads(),
                            InContactWithLeader(),
                            session_ != nullptr && !session_->ended()};
  if (view == published_view_) return;
  published_view_ = view;
  peers_lost_ = peers_lost_ || membership_.members_lost() > members_lost_;
  members_lost_ = membership_.members_lost();
  PublishMembers();
}

void SiteNode::PublishMembers() {
  std::vector<ElectionPeer> candidates;
  std::vector<AdviserNode> advisers = {{settings_.name, settings_.zone}};
  std::vector<OrderRouting::Node> order_relays;
  for (const auto& [name, member] : membership_.members().members()) {
    if (name == settings_.name) continue;
    candidates.push_back({name, member.capacity, member.store_ok,
                          membership_.DepthOf(name) == 1});
    advisers.push_back({name, member.zone});
    order_relays.push_back(
        {name, member.address, member.zone, member.capacity});
  }
  election_.SetPeers(std::move(candidates));
  election_.SetWatchesLeader(membership_.DepthOf(settings_.name) == 1);
  store_failover_.SetPeers(StoreRelays());
  if (session_ == nullptr || session_->ended()) return;
  session_->SetAdvisers(advisers);
  order_relay_client_.SetNodes(std::move(order_relays), Capacity());
}

std::vector<std::string> SiteNode::StoreRelays() const {
  std::vector<std::string> relays;
  // While no leader confirms the members, they may be out of reach.
  if (InContactWithLeader()) {
    const MemberList& members = membership_.members();
    const size_t count = membership_.is_flat() ? members.size() : kStoreRelays;
    for (const SiteMember* member :
         SampleMembers(members, count, incarnation_, {settings_.name})) {
      if (member->store_ok) relays.push_back(member->address);
    }
  }
  if (!relays.empty()) return relays;
  // Until a peer that reaches the store is known, the seeds may reach it.
  for (const std::string& seed : settings_.seeds) {
    const std::string address = absl::StrCat(seed.substr(0, seed.find(':')),
                                             ":", settings_.peer_listen.port);
    if (address != settings_.peer_listen.ToString()) relays.push_back(address);
  }
  return relays;
}

Result<Json::Value> SiteNode::HandleHeartbeat(const Json::Value& params) {
  auto report = params.isMember("members")
                    ? HeartbeatReportFromJson(params["members"])
                    : EarlierHeartbeatFromJson(params);
  if (!report) return report.error();
  auto applied = MemberList::ApplyResult::kApplied;
  const HeartbeatReportAnswer members =
      membership_.HandleReport(report.value(), SystemNow().mono, &applied);
  LogUnlessApplied(applied, report.value().sender.name);
  const LeaderRecord sender_leader = LeaderFromJson(params["leader"]);
  if (sender_leader.epoch > election_.leader().epoch)
    election_.OnLeaderReported(sender_leader, SystemNow().mono);
  const int64_t version = params["configuration_version"].asInt64();
  if (version > configuration_version())
    CatchUpWithConfiguration(report.value().sender.address, version);
  const bool leads = session_ != nullptr && !session_->ended();
  Json::Value out(Json::objectValue);
  out["boot"] = Json::UInt64(incarnation_);
  out["leads"] = leads;
  out["accepts"] = leads ? session_->CanAccept() : leader_contact_.accepts;
  out["contact_epoch"] =
      Json::Int64(leads ? session_->epoch() : leader_contact_.epoch);
  out["contact_age_ms"] = AgeToJson(
      leads ? absl::ZeroDuration() : SystemNow().mono - leader_contact_.at);
  DescribeLeaderClock(&out);
  out["leader_gone"] = election_.leader_gone();
  out["draining"] = draining_;
  out["leader"] = ToJson(election_.leader());
  out["members"] = ToJson(members);
  DescribeConfiguration(&out);
  return out;
}

void SiteNode::LogUnlessApplied(MemberList::ApplyResult result,
                                const std::string& sender) {
  // Another base is usual after a lost answer.
  if (result == MemberList::ApplyResult::kApplied ||
      result == MemberList::ApplyResult::kOtherBase)
    return;
  LogEvent(Severity::kWarning, "members_refused",
           {{"from", sender}, {"why", ApplyResultName(result)}});
}

absl::Duration SiteNode::HeartbeatPeriod() const {
  if (!membership_.is_flat()) return kHeartbeatInterval;
  const auto nodes = static_cast<double>(membership_.members().size());
  return std::max(kHeartbeatInterval,
                  absl::Seconds(nodes / kMaxHeartbeatsPerSecond));
}

bool SiteNode::HeartbeatDue(absl::Time now) const {
  if (now >= next_heartbeat_at_) return true;
  return membership_.HasNews() &&
         now >= last_heartbeat_at_ + kMinHeartbeatInterval;
}

absl::Duration SiteNode::SuspectAfter(absl::Duration timeout) const {
  const int parent_depth = membership_.DepthOf(settings_.name) - 1;
  // Nodes further down hear of the leader later, and do not take the loss of
  // their parent for that of the leader.
  if (parent_depth > 0)
    return kMaxSuspectAfter + parent_depth * HeartbeatPeriod();
  const absl::Duration two_failures =
      HeartbeatPeriod() + kHeartbeatRetryDelay + 2 * timeout + kSuspicionMargin;
  return std::min(two_failures, kMaxSuspectAfter);
}

void SiteNode::Heartbeat() {
  const LeaderRecord leader = election_.leader();
  const bool is_self = leader.address == settings_.PeerAddress();
  if (leader.epoch == 0 || is_self || heartbeat_in_flight_) return;
  heartbeat_in_flight_ = true;
  const absl::Time now = SystemNow().mono;
  last_heartbeat_at_ = now;
  next_heartbeat_at_ = now + HeartbeatPeriod();
  const absl::Duration timeout = heartbeat_times_.AnswerTimeout();
  election_.SetSuspectAfter(SuspectAfter(timeout));
  const SiteMember* parent = membership_.Parent(now);
  HeartbeatTarget target{leader, leader.node, leader.address,
                         parent == nullptr};
  if (parent != nullptr) {
    target.name = parent->name;
    target.address = parent->address;
  }
  Json::Value params(Json::objectValue);
  params["members"] = ToJson(membership_.MakeReport(target.name));
  params["leader"] = ToJson(leader);
  params["configuration_version"] = Json::Int64(configuration_version());
  rpc_.Call(
      target.address, "heartbeat", params, timeout,
      [this, target, timeout, sent = now](const RpcOutcome& outcome) {
        heartbeat_in_flight_ = false;
        // An answer that lay in the socket while this process was paused says
        // nothing about the present. An answer in time counts from its arrival,
        // so that a slow node is not mistaken for an unresponsive one.
        const bool in_time =
            SystemNow().mono - sent <= timeout + kMaxTimerDelay;
        if (outcome.answered && in_time)
          OnHeartbeatAnswer(outcome.result, target, sent);
        else
          OnHeartbeatUnanswered(outcome, target);
      },
      RpcLane::kControl);
}

void SiteNode::OnHeartbeatUnanswered(const RpcOutcome& outcome,
                                     const HeartbeatTarget& target) {
  const absl::Time now = SystemNow().mono;
  membership_.OnNoAnswer(target.name, outcome.refused, now);
  // A closed port means that the process is gone.
  if (outcome.refused && target.is_leader &&
      target.leader.epoch == election_.leader().epoch)
    election_.OnLeaderGone(now);
  // After any first failure, such as a broken connection, another heartbeat
  // follows soon.
  const bool first = ++failed_heartbeats_ == 1;
  if (first || !target.is_leader)
    RunAfter(loop_, kHeartbeatRetryDelay, [this] { Heartbeat(); });
  if (!first) return;
  LogEvent(Severity::kWarning,
           target.is_leader ? "leader_silent" : "parent_silent",
           {{"node", target.name},
            {"epoch", absl::StrCat(target.leader.epoch)},
            {"detail", outcome.answered ? "the answer arrived too late"
                                        : outcome.error}});
}

void SiteNode::OnHeartbeatAnswer(const Json::Value& in,
                                 const HeartbeatTarget& target,
                                 absl::Time sent) {
  const absl::Time now = SystemNow().mono;
  if (failed_heartbeats_ > 0)
    LogEvent(Severity::kInfo, "heartbeat_answered", {{"node", target.name}});
  failed_heartbeats_ = 0;
  heartbeat_times_.OnAnswer(now - sent);
  election_.OnLeaderReported(LeaderFromJson(in["leader"]), now);
  // A leader of an earlier version says nothing of members.
  if (in.isMember("members")) HandleMembersOf(target.name, in["members"]);
  OnPeerConfiguration(target.address, in, sent);
  // The rest of the answer is about the leader that was known when the
  // heartbeat was sent; another one may have replaced it.
  if (election_.leader().epoch != target.leader.epoch) return;
  if (target.is_leader)
    OnLeaderAnswer(in, target.leader);
  else
    OnParentAnswer(in, target, sent);
}

void SiteNode::HandleMembersOf(const std::string& from, const Json::Value& in) {
  auto members = HeartbeatReportAnswerFromJson(in);
  if (members)
    return LogUnlessApplied(membership_.OnAnswer(from, members.value()), from);
  LogEvent(Severity::kWarning, "members_unreadable",
           {{"from", from}, {"why", members.error().message}});
}

void SiteNode::OnLeaderAnswer(const Json::Value& in, const LeaderRecord& to) {
  const absl::Time now = SystemNow().mono;
  if (in["boot"].asUInt64() != to.incarnation) {
    election_.OnLeaderGone(now);
    return;
  }
  // A leader that stepped down is not recorded as answering, so it becomes
  // suspect.
  if (!in["leads"].asBool()) return;
  ReadLeaderClock(in);
  election_.OnHeartbeatAnswered(now);
  RecordLeaderContact({to.epoch, now, in["accepts"].asBool()});
}

void SiteNode::OnParentAnswer(const Json::Value& in,
                              const HeartbeatTarget& target, absl::Time sent) {
  const absl::Time now = SystemNow().mono;
  const int64_t epoch = target.leader.epoch;
  const bool knows_leader = in["contact_epoch"].asInt64() == epoch;
  // The parent computed the age after `sent`, so this time is no later than the
  // true time of its contact.
  const absl::Time at =
      sent - absl::Milliseconds(in["contact_age_ms"].asInt64());
  const bool is_newer =
      leader_contact_.epoch != epoch || at > leader_contact_.at;
  if (knows_leader && is_newer) {
    election_.OnLeaderConfirmedByPeer(at);
    RecordLeaderContact({epoch, at, in["accepts"].asBool()});
    ReadLeaderClock(in);
  }
  if (in["leader_gone"].asBool()) return election_.OnLeaderGone(now);
  const int parent_depth = membership_.DepthOf(settings_.name) - 1;
  const absl::Duration max_age =
      kMaxParentAge + std::max(0, parent_depth - 1) * kParentAgeStep;
  const bool parent_out_of_contact = !knows_leader || now - at > max_age;
  if (parent_out_of_contact && now - election_.last_contact() > max_age)
    membership_.OnParentWithoutLeader(target.name, now);
}

void SiteNode::RecordLeaderContact(const LeaderContact& contact) {
  leader_contact_ = contact;
  if (!contact.accepts) return;
  leaders_seen_.try_emplace(contact.epoch, contact.at);
  if (leaders_seen_.size() > kMaxLeadersSeen)
    leaders_seen_.erase(leaders_seen_.begin());
}

void SiteNode::DescribeLeaderClock(Json::Value* answer) const {
  const absl::Time now = SystemNow().mono;
  std::optional<absl::Time> shown;
  if (session_ != nullptr && !session_->ended()) {
    shown = now;
  } else {
    const auto clock = leader_clocks_.find(leader_contact_.epoch);
    if (clock != leader_clocks_.end()) shown = clock->second.ShownAt(now);
  }
  if (shown) (*answer)["clock_ms"] = Json::Int64(absl::ToUnixMillis(*shown));
}

void SiteNode::ReadLeaderClock(const Json::Value& answer) {
  // A node of an earlier version does not report it.
  if (!answer["clock_ms"].isInt64() || !answer["contact_epoch"].isInt64())
    return;
  leader_clocks_[answer["contact_epoch"].asInt64()].OnReading(
      absl::FromUnixMillis(answer["clock_ms"].asInt64()), SystemNow().mono);
  if (leader_clocks_.size() > kMaxLeadersSeen)
    leader_clocks_.erase(leader_clocks_.begin());
}

void SiteNode::AskAdvice(const AskAdviceAction& action,
                         std::function<void(AdviceReply)> done) {
  if (action.adviser == settings_.name)
    return ports_.advice->Ask(action.request, action.timeout, std::move(done));
  const SiteMember* adviser = membership_.members().Find(action.adviser);
  if (adviser == nullptr) {
    boost::asio::post(loop_, [done] { done(AdviceReply()); });
    return;
  }
  Json::Value params = ToJson(action.request);
  params["timeout_ms"] = Json::Int64(absl::ToInt64Milliseconds(action.timeout));
  rpc_.Call(adviser->address, "advise", params,
            action.timeout + absl::Milliseconds(100),
            [done](const RpcOutcome& outcome) {
              done(outcome.answered ? AdviceReplyFromJson(outcome.result)
                                    : AdviceReply());
            });
}

}  // namespace keelbridge
