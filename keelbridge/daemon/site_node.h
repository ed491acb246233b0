// A node of a site: takes clients' calls, follows the configuration, knows who
// leads, and leads when it is its turn.
//
//   SiteNode node(loop, settings, ports, carrier, rpc);
//   Result<void> started = node.Start();
//   loop.run();

#ifndef KEELBRIDGE_DAEMON_SITE_NODE_H_
#define KEELBRIDGE_DAEMON_SITE_NODE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "keelbridge/coordination/answer_times.h"
#include "keelbridge/coordination/call_outcome.h"
#include "keelbridge/coordination/earlier_leaders.h"
#include "keelbridge/coordination/freshness.h"
#include "keelbridge/coordination/site_election.h"
#include "keelbridge/coordination/source_reads.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/daemon/node_settings.h"
#include "keelbridge/daemon/order_relay_client.h"
#include "keelbridge/daemon/order_relay_server.h"
#include "keelbridge/daemon/store_failover.h"
#include "keelbridge/transport/event_http_server.h"
#include "keelbridge/transport/event_rpc.h"

namespace keelbridge {

// All on the loop's thread.
class SiteNode {
 public:
  SiteNode(boost::asio::io_context& loop, NodeSettings settings,
           NodePorts ports, StoreFailover& store_failover, EventRpcClient& rpc);

  Result<void> Start();
  // A planned stop: no longer ready, hands leadership over, finishes what is in
  // flight, then calls `done`.
  void Drain(std::function<void()> done);

 private:
  // Another node, as far as this one has heard of it.
  struct Peer {
    std::string name;
    std::string address;
    std::string zone;
    bool store_ok = false;
    double capacity = 1;  // In processors; see NodeSettings::Capacity.
    absl::Time last_report = absl::InfinitePast();
    bool was_fresh = false;  // At the last look.
  };
  // A client's call on its way to an answer.
  struct PendingCall {
    ClientCall call;
    absl::Time started_at;
    absl::Time deadline;
    CallOutcome call_outcome;
    absl::Duration retry_delay;  // Before the next try.
    std::string trace;  // W3C traceparent of this node's span; "": not traced.
    std::function<void(ClientReply)> reply;
  };

  // site_node.cc
  void RunPeriodically(absl::Duration period, std::function<void()> step);
  void ServeReady(const ServerRequest& request,
                  const EventHttpServer::Reply& reply);
  void ServeMetrics(const ServerRequest& request,
                    const EventHttpServer::Reply& reply);
  bool Ready() const;
  // Nobody leads, as far as this node can tell, and it does not itself.
  bool LeaderOutOfReach() const;
  void AddPeerMethods();
  void AddOrderMethods();

  // site_node_clients.cc
  void ServeClient(const ServerRequest& request, EventHttpServer::Reply reply);
  // The answer to a call that this node cannot pass on: what it asks for does
  // not exist, or perhaps does by a newer configuration.
  ClientReply DenialReply(const ServerRequest& request,
                          const Error& error) const;
  // Counts and logs how a call was answered.
  void RecordReply(ClientCallKind kind, JobId job, const ClientReply& answer,
                   int status, absl::Duration took);
  void TryCall(const std::shared_ptr<PendingCall>& pending);
  void TryLocally(const std::shared_ptr<PendingCall>& pending);
  void TryRemotely(const std::string& address,
                   const std::shared_ptr<PendingCall>& pending);
  // Answers the call, unless it was answered before.
  void Finish(const std::shared_ptr<PendingCall>& pending,
              const ClientReply& reply);
  // Answers all calls that wait: the process is about to end.
  void GiveUpAll();
  void RetryLater(const std::shared_ptr<PendingCall>& pending);
  void GiveUp(const std::shared_ptr<PendingCall>& pending);

  // site_node_peers.cc
  absl::Duration HeartbeatPeriod() const;
  void Heartbeat();
  // `sent`: when the heartbeat was; `timeout`: how long its answer was waited
  // for.
  void OnHeartbeatReply(const RpcOutcome& outcome, const LeaderRecord& to,
                        absl::Time sent, absl::Duration timeout);
  Json::Value HandleHeartbeat(const Json::Value& params);
  void RecordPeer(const Json::Value& in);
  void RecordLeaderPeers(const Json::Value& answer);
  void UpdatePeers();
  void UpdatePeerList();
  Json::Value DescribeSelf() const;
  void FetchConfiguration(const std::string& address);
  void AskAdvice(const AskAdviceAction& action,
                 std::function<void(AdviceReply)> done);

  // site_node_leading.cc
  void StepElection();
  void ReadControl();
  void FollowControl();
  void OnControlReadFailed(const char* read, StoreResult result,
                           const std::string& detail);
  void AskPeersThenClaim();
  void Claim();
  // Records of who leads, of which the stream ends at `end`.
  void ApplyControlRecords(const std::vector<Record>& records, int64_t end,
                           absl::Time read);
  void Reaffirm();
  void BeginTerm();
  void OnTermEnded(const std::string& why);
  // Again and again in that term, until all have stopped.
  void PollEarlierLeaders(const std::weak_ptr<LeaderSession>& term);
  // When this process last gave an order as a leader, at the latest.
  absl::Time LastOrder() const;
  void OfferLeadership();
  void RequestTakeover(const Peer& peer);

  // site_node_configuration.cc
  // Reads it anew: where to follow it from is not known.
  void ReadConfiguration();
  // One page of that, after `key`. `begun`: when the first page was asked for;
  // `end`: where the stream ended then.
  void ReadConfigurationAfter(const std::string& key, absl::Time started_at,
                              int64_t end);
  void FollowConfiguration();
  void FollowConfigurationFrom(int64_t next);
  // False: it cannot be read.
  bool ApplyConfiguration(const std::string& document,
                          const std::string& source);
  // Nothing has told for a while that the version in force is the newest, or
  // something tells that it is not.
  bool ConfigurationCheckDue(absl::Time now) const;
  // Asks the store when that is so, as `SourceReads` lets it.
  void CheckConfiguration();
  // One read that does not wait.
  void ReadConfigurationNow(absl::Time now);
  // Asks something small, to learn whether the store answers.
  void ProbeStore();
  // A peer has a newer one: from the store, or from the peer without it.
  void CatchUpWithConfiguration(const std::string& peer, int64_t version);
  void OnConfigurationChecked(const ReadReply& reply, int64_t from,
                              absl::Time sent);
  void ApplyConfigurationRecords(const std::vector<Record>& records);
  void RecordUnreadableItems(const std::vector<UnreadableItem>& items);
  // A peer said which version it has, and how long ago that was confirmed;
  // `sent`: when it was asked.
  void OnPeerConfiguration(const std::string& address, const Json::Value& in,
                           absl::Time sent);
  // Nothing newer than the version in force was written before `at`.
  void OnConfigurationConfirmed(absl::Time at);
  // The store answered a read of it.
  void OnConfigurationSourceAnswered();
  void OnConfigurationReadFailed(const char* read, StoreResult result,
                                 const std::string& detail);
  // How long ago the version in force was confirmed to be the newest.
  absl::Duration ConfigurationAge() const;
  // The same in milliseconds for log lines; "never" before the first time.
  std::string UnconfirmedText() const;
  // Adds to `out` what `OnPeerConfiguration` reads.
  void DescribeConfiguration(Json::Value* out) const;
  int64_t configuration_version() const;  // 0: none yet.

  boost::asio::io_context& loop_;
  const NodeSettings settings_;
  const NodePorts ports_;
  StoreFailover& store_failover_;
  EventRpcClient& rpc_;
  const uint64_t boot_;
  Metrics metrics_;

  std::unique_ptr<EventHttpServer> client_server_;
  std::unique_ptr<EventHttpServer> ready_server_;
  std::unique_ptr<EventHttpServer> metrics_server_;
  EventRpcServer peer_server_;
  OrderRelayClient order_relay_client_;  // Its own, as the leader.
  OrderRelayServer order_relay_server_;  // Other leaders' orders.

  std::shared_ptr<const SiteConfiguration> configuration_;
  int64_t configuration_read_offset_ =
      -1;  // Offset to follow from; -1: read anew.
  bool fetching_configuration_ = false;
  int64_t configuration_record_offset_ =
      -1;  // Of the newest record that was taken.
  // That record cannot be read: the version in force is not the newest, is not
  // confirmed, and denies nothing.
  bool configuration_unreadable_ = false;
  int64_t unreadable_offset_ =
      -1;  // Of the last record that could not be read.
  int64_t newest_reported_version_ =
      0;  // The highest version that a peer told of.
  Freshness configuration_freshness_{Freshness::Options()};
  SourceReads configuration_reads_{SourceReads::Options()};
  // Only a read anew tells from where to follow it. No poll is under way then,
  // so that there is one loop.
  bool configuration_reload_needed_ = true;
  // The long poll under way: an answer to an earlier one is passed over.
  int64_t configuration_poll_number_ = 0;
  // The last read of the store failed, and no peer has told since that the
  // version in force is the newest.
  bool configuration_source_lost_ = false;
  // A log line told so, and no read was answered since.
  bool configuration_loss_logged_ = false;

  SiteElection election_;
  std::shared_ptr<LeaderSession> session_;
  std::map<std::string, Peer> peers_;  // By name.
  // What this node tells of its peers when it leads, and which version of that
  // the others have: an unchanged list is not sent again.
  Json::Value peer_list_;
  uint64_t peer_list_version_ = 0;
  uint64_t leader_peer_list_version_ = 0;
  std::vector<std::string> leader_peer_names_;  // Names in the leader's list.
  absl::Time next_offer_at_ = absl::InfinitePast();  // Of leadership to a peer.
  EarlierLeaders earlier_leaders_;
  // Of this process as a leader; at first when it started, since another that
  // had its address before cannot have given a later one.
  absl::Time last_order_ = SystemNow().mono;
  bool reading_control_ = false;
  bool following_control_ = false;
  bool control_lost_ = false;  // The last read of the control stream failed.
  bool claiming_ = false;
  int64_t reaffirmed_store_returns_ = 0;  // Of the store, in this term.
  // A peer fell silent: if a cut does that, its claim may land once it heals.
  bool peers_lost_ = false;
  int64_t control_read_offset_ = -1;
  bool heartbeat_in_flight_ = false;
  absl::Time next_heartbeat_at_ = absl::InfinitePast();
  // How long the leader takes to answer. Nothing is taken for lost within
  // 250 ms: loops of loaded leaders were seen up to 75 ms late.
  AnswerTimes heartbeat_times_{
      AnswerTimes::Options{absl::Milliseconds(250), absl::Milliseconds(700),
                           absl::ZeroDuration(), absl::ZeroDuration()}};
  int failed_heartbeats_ = 0;
  bool leader_accepts_jobs_ = false;
  absl::Time leader_answered_at_ = absl::InfinitePast();
  // By epoch: when a leader was first heard to be at work; the newest few.
  std::map<int64_t, absl::Time> leaders_seen_;

  std::set<std::shared_ptr<PendingCall>> pending_calls_;  // Not answered yet.

  bool draining_ = false;
  bool final_replies_sent_ = false;  // Nothing is passed on any more.
  absl::Time drain_started_ = absl::InfiniteFuture();
  std::function<void()> on_drained_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_SITE_NODE_H_
