// Communication between the nodes of a site: heartbeats to the leader, and RPC
// methods that nodes serve for each other.

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

// Each node sends the leader a heartbeat at this interval, or less often in a
// large site: all nodes together send at most kMaxHeartbeatsPerSecond.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(250);
constexpr double kMaxHeartbeatsPerSecond = 100;
// A leader is suspect once two heartbeats in a row remain unanswered, but no
// later than after this time.
constexpr absl::Duration kMaxSuspectAfter = absl::Milliseconds(1400);
constexpr absl::Duration kSuspicionMargin = absl::Milliseconds(50);
// A timer may fire this late on a loaded machine.
constexpr absl::Duration kMaxTimerDelay = absl::Milliseconds(300);
constexpr absl::Duration kHeartbeatRetryDelay = absl::Milliseconds(40);
// A peer that was reported within this time is fresh. Only fresh peers are
// reported to other nodes and used as advisers and relays.
constexpr absl::Duration kPeerFreshness = absl::Milliseconds(1500);
// A peer that was not reported for this long is removed.
constexpr absl::Duration kPeerExpiry = absl::Seconds(30);
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
    reply(Ok(HandleHeartbeat(params)));
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
      out["handover"] = ToJson(handover_);
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
    else if (same_epoch && leader_accepts_jobs_)
      out["age_ms"] = Json::Int64(absl::ToInt64Milliseconds(
          std::min(SystemNow().mono - leader_answered_at_, absl::Hours(1))));
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

void SiteNode::RecordPeer(const Json::Value& in) {
  const std::string name = in["node"].asString();
  if (name.empty() || name == settings_.name) return;
  Peer& peer = peers_[name];
  peer.name = name;
  peer.address = in["address"].asString();
  peer.zone = in["zone"].asString();
  peer.store_ok = in["store_ok"].asBool();
  peer.capacity = in.get("capacity", 1.0).asDouble();
  peer.last_report = SystemNow().mono;
}

void SiteNode::RecordLeaderPeers(const Json::Value& answer) {
  leader_peer_list_version_ = answer["peers_version"].asUInt64();
  if (!answer.isMember("peers")) {
    // The leader omits an unchanged list. The answer counts as a new report of
    // all peers in it.
    for (const std::string& name : leader_peer_names_) {
      const auto peer = peers_.find(name);
      if (peer != peers_.end()) peer->second.last_report = SystemNow().mono;
    }
    return;
  }
  leader_peer_names_.clear();
  for (const Json::Value& peer : answer["peers"]) {
    RecordPeer(peer);
    leader_peer_names_.push_back(peer["node"].asString());
  }
}

Json::Value SiteNode::DescribeSelf() const {
  Json::Value out(Json::objectValue);
  out["node"] = settings_.name;
  out["address"] = settings_.PeerAddress();
  out["zone"] = settings_.zone;
  out["store_ok"] = store_failover_.direct();
  out["capacity"] = Capacity();
  return out;
}

void SiteNode::UpdatePeerList() {
  const absl::Time now = SystemNow().mono;
  Json::Value list(Json::arrayValue);
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_report > kPeerFreshness) continue;
    Json::Value entry(Json::objectValue);
    entry["node"] = name;
    entry["address"] = peer.address;
    entry["zone"] = peer.zone;
    entry["store_ok"] = peer.store_ok;
    entry["capacity"] = peer.capacity;
    list.append(std::move(entry));
  }
  list.append(DescribeSelf());
  if (list == peer_list_) return;
  peer_list_ = std::move(list);
  peer_list_version_ = RandomId();
}

void SiteNode::UpdatePeers() {
  const absl::Time now = SystemNow().mono;
  // Peers are reported by the leader. When it stops responding, the candidates
  // to replace it are the peers in its latest reports.
  absl::Time latest_report = absl::InfinitePast();
  for (const auto& [name, peer] : peers_)
    latest_report = std::max(latest_report, peer.last_report);
  std::vector<ElectionPeer> candidates;
  std::vector<std::string> fresh_peers = {settings_.name};
  std::vector<std::string> store_relays;
  std::vector<OrderRouting::Node> order_relays;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer& peer = it->second;
    if (now - peer.last_report > kPeerExpiry) {
      it = peers_.erase(it);
      continue;
    }
    const bool is_fresh = now - peer.last_report < kPeerFreshness;
    peers_lost_ = peers_lost_ || (it->second.was_fresh && !is_fresh);
    it->second.was_fresh = is_fresh;
    if (latest_report - peer.last_report < kPeerFreshness)
      candidates.push_back({peer.name, peer.capacity, peer.store_ok});
    if (is_fresh) {
      fresh_peers.push_back(peer.name);
      order_relays.push_back(
          {peer.name, peer.address, peer.zone, peer.capacity});
    }
    if (peer.store_ok && is_fresh) store_relays.push_back(peer.address);
    ++it;
  }
  election_.SetPeers(std::move(candidates));
  if (store_relays.empty()) {
    // Until a peer that reaches the store is known, the seeds may reach it.
    for (const std::string& seed : settings_.seeds) {
      const std::string address = absl::StrCat(seed.substr(0, seed.find(':')),
                                               ":", settings_.peer_listen.port);
      if (address != settings_.peer_listen.ToString())
        store_relays.push_back(address);
    }
  }
  store_failover_.SetPeers(std::move(store_relays));
  if (session_ != nullptr && !session_->ended()) {
    session_->SetAdvisers(fresh_peers);
    order_relay_client_.SetNodes(std::move(order_relays), Capacity());
  }
  UpdatePeerList();
}

Json::Value SiteNode::HandleHeartbeat(const Json::Value& params) {
  RecordPeer(params);
  const LeaderRecord sender_leader = LeaderFromJson(params["leader"]);
  if (sender_leader.epoch > election_.leader().epoch)
    election_.OnLeaderReported(sender_leader, SystemNow().mono);
  const int64_t version = params["configuration_version"].asInt64();
  if (version > configuration_version())
    CatchUpWithConfiguration(params["address"].asString(), version);
  Json::Value out(Json::objectValue);
  out["boot"] = Json::UInt64(incarnation_);
  out["leads"] = session_ != nullptr && !session_->ended();
  out["accepts"] = session_ != nullptr && session_->CanAccept();
  out["draining"] = draining_;
  out["leader"] = ToJson(election_.leader());
  DescribeConfiguration(&out);
  out["peers_version"] = Json::UInt64(peer_list_version_);
  if (params["peers_version"].asUInt64() != peer_list_version_)
    out["peers"] = peer_list_;
  return out;
}

absl::Duration SiteNode::HeartbeatPeriod() const {
  const auto nodes = static_cast<double>(peers_.size() + 1);
  return std::max(kHeartbeatInterval,
                  absl::Seconds(nodes / kMaxHeartbeatsPerSecond));
}

void SiteNode::Heartbeat() {
  UpdatePeers();
  const LeaderRecord leader = election_.leader();
  const bool is_self = leader.address == settings_.PeerAddress();
  if (leader.epoch == 0 || is_self || heartbeat_in_flight_) return;
  heartbeat_in_flight_ = true;
  const absl::Time now = SystemNow().mono;
  next_heartbeat_at_ = now + HeartbeatPeriod();
  const absl::Duration timeout = heartbeat_times_.AnswerTimeout();
  const absl::Duration two_failures =
      HeartbeatPeriod() + kHeartbeatRetryDelay + 2 * timeout + kSuspicionMargin;
  election_.SetSuspectAfter(std::min(two_failures, kMaxSuspectAfter));
  Json::Value params = DescribeSelf();
  params["leader"] = ToJson(leader);
  params["peers_version"] = Json::UInt64(leader_peer_list_version_);
  params["configuration_version"] = Json::Int64(configuration_version());
  rpc_.Call(
      leader.address, "heartbeat", params, timeout,
      [this, leader, timeout, sent = now](const RpcOutcome& outcome) {
        heartbeat_in_flight_ = false;
        OnHeartbeatReply(outcome, leader, sent, timeout);
      },
      RpcLane::kControl);
}

void SiteNode::OnHeartbeatReply(const RpcOutcome& outcome,
                                const LeaderRecord& to, absl::Time sent,
                                absl::Duration timeout) {
  const absl::Time now = SystemNow().mono;
  // An answer that lay in the socket while this process was paused says nothing
  // about the present. An answer in time counts from its arrival, so that a
  // slow leader is not mistaken for an unresponsive one.
  const bool in_time = now - sent <= timeout + kMaxTimerDelay;
  if (!outcome.answered || !in_time) {
    // A closed port means that the process is gone. After any first failure,
    // such as a broken connection, another heartbeat follows soon.
    if (outcome.refused && to.epoch == election_.leader().epoch)
      election_.OnLeaderGone(now);
    if (++failed_heartbeats_ == 1) {
      RunAfter(loop_, kHeartbeatRetryDelay, [this] { Heartbeat(); });
      LogEvent(Severity::kWarning, "leader_silent",
               {{"leader", to.node},
                {"epoch", absl::StrCat(to.epoch)},
                {"detail", outcome.answered ? "the answer arrived too late"
                                            : outcome.error}});
    }
    return;
  }
  if (failed_heartbeats_ > 0)
    LogEvent(Severity::kInfo, "leader_back", {{"leader", to.node}});
  failed_heartbeats_ = 0;
  heartbeat_times_.OnAnswer(now - sent);
  const Json::Value& in = outcome.result;
  election_.OnLeaderReported(LeaderFromJson(in["leader"]), now);
  RecordLeaderPeers(in);
  OnPeerConfiguration(to.address, in, sent);
  // The rest of the answer is about the process that was asked, which the
  // leader named in the answer may have replaced.
  if (election_.leader().epoch != to.epoch) return;
  if (in["boot"].asUInt64() != to.incarnation) {
    election_.OnLeaderGone(now);
    return;
  }
  // A leader that stepped down is not recorded as answering, so it becomes
  // suspect.
  if (!in["leads"].asBool()) return;
  election_.OnHeartbeatAnswered(now);
  leader_accepts_jobs_ = in["accepts"].asBool();
  leader_answered_at_ = now;
  if (!leader_accepts_jobs_) return;
  leaders_seen_.try_emplace(to.epoch, now);
  if (leaders_seen_.size() > kMaxLeadersSeen)
    leaders_seen_.erase(leaders_seen_.begin());
}

void SiteNode::AskAdvice(const AskAdviceAction& action,
                         std::function<void(AdviceReply)> done) {
  if (action.adviser == settings_.name)
    return ports_.advice->Ask(action.request, action.timeout, std::move(done));
  const auto peer = peers_.find(action.adviser);
  if (peer == peers_.end()) {
    boost::asio::post(loop_, [done] { done(AdviceReply()); });
    return;
  }
  Json::Value params = ToJson(action.request);
  params["timeout_ms"] = Json::Int64(absl::ToInt64Milliseconds(action.timeout));
  rpc_.Call(peer->second.address, "advise", params,
            action.timeout + absl::Milliseconds(100),
            [done](const RpcOutcome& outcome) {
              done(outcome.answered ? AdviceReplyFromJson(outcome.result)
                                    : AdviceReply());
            });
}

}  // namespace keelbridge
