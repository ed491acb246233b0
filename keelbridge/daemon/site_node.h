// A node of a site: serves clients' calls, follows the configuration and the
// leader election, and leads the site when it is elected.
//
//   SiteNode node(loop, settings, ports, store_failover, rpc);
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
#include <tuple>
#include <vector>

#include "keelbridge/coordination/answer_times.h"
#include "keelbridge/coordination/call_outcome.h"
#include "keelbridge/coordination/earlier_leaders.h"
#include "keelbridge/coordination/freshness.h"
#include "keelbridge/coordination/leader_clock.h"
#include "keelbridge/coordination/site_election.h"
#include "keelbridge/coordination/source_reads.h"
#include "keelbridge/coordination/speed_monitor.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/daemon/node_settings.h"
#include "keelbridge/daemon/order_relay_client.h"
#include "keelbridge/daemon/order_relay_server.h"
#include "keelbridge/daemon/store_failover.h"
#include "keelbridge/membership/site_membership.h"
#include "keelbridge/overload/outage_retry.h"
#include "keelbridge/transport/event_http_server.h"
#include "keelbridge/transport/event_rpc.h"

namespace keelbridge {

// Not thread-safe: all members run on the thread of the event loop.
class SiteNode {
 public:
  SiteNode(boost::asio::io_context& loop, NodeSettings settings,
           NodePorts ports, StoreFailover& store_failover, EventRpcClient& rpc);

  Result<void> Start();
  // Stops the node as planned: reports not ready, hands leadership over,
  // finishes the calls in flight, then calls `done`.
  void Drain(std::function<void()> done);

 private:
  // The latest time at which the leader is known to have answered a node.
  struct LeaderContact {
    int64_t epoch = 0;
    absl::Time at = absl::InfinitePast();
    bool accepts = false;  // The leader accepts jobs.
  };
  // The receiver of a heartbeat.
  struct HeartbeatTarget {
    LeaderRecord leader;  // The leader known as the heartbeat was sent.
    std::string name;
    std::string address;
    bool is_leader = false;
  };
  // What the last call of PublishMembers() depended on.
  struct MembershipView {
    int64_t changes = -1;
    int64_t epoch = 0;
    bool leads = false;
    bool in_contact = false;
    bool serving = false;
    bool operator==(const MembershipView& other) const {
      return std::tie(changes, epoch, leads, in_contact, serving) ==
             std::tie(other.changes, other.epoch, other.leads, other.in_contact,
                      other.serving);
    }
  };
  // A client's call that has not been answered yet.
  struct PendingCall {
    ClientCall call;
    absl::Time started_at;
    absl::Time deadline;
    CallOutcome call_outcome;
    absl::Duration retry_delay;  // Before the next try.
    // W3C traceparent of this node's span; empty if the call is not traced.
    std::string trace;
    std::function<void(ClientReply)> reply;
  };

  // The knowledge of a node that has not heard of the leader for this long is
  // out of date: the node is not ready.
  static constexpr absl::Duration kMaxLeaderContactAge =
      absl::Milliseconds(1500);

  // site_node.cc
  // Calls `step` at once and then again `period` after each call, even if a
  // call throws.
  void RunPeriodically(absl::Duration period, std::function<void()> step);
  void ServeReady(const ServerRequest& request,
                  const EventHttpServer::Reply& reply);
  void ServeMetrics(const ServerRequest& request,
                    const EventHttpServer::Reply& reply);
  bool Ready() const;
  // True if this node does not lead and no leader has answered it recently.
  bool LeaderOutOfReach() const;
  void AddPeerMethods();
  void AddOrderMethods();

  // site_node_clients.cc
  void ServeClient(const ServerRequest& request, EventHttpServer::Reply reply);
  // Returns the answer to a call that this node cannot forward: what it asks
  // for does not exist, or might exist in a newer configuration.
  // Returns the call that the request makes, or an error if it makes none or if
  // its caller may not make it.
  Result<ClientCall> ReadCall(const ServerRequest& request) const;
  ClientReply DenialReply(const ServerRequest& request,
                          const Error& error) const;
  // Counts and logs the answer to a call.
  void RecordReply(ClientCallKind kind, JobId job, const ClientReply& answer,
                   int status, absl::Duration took);
  void TryCall(const std::shared_ptr<PendingCall>& pending);
  void TryLocally(const std::shared_ptr<PendingCall>& pending);
  void TryRemotely(const std::string& address,
                   const std::shared_ptr<PendingCall>& pending);
  // Answers the call unless it has been answered already.
  void Finish(const std::shared_ptr<PendingCall>& pending,
              const ClientReply& reply);
  // Answers all pending calls because the process is about to end.
  void GiveUpAll();
  void RetryLater(const std::shared_ptr<PendingCall>& pending);
  void GiveUp(const std::shared_ptr<PendingCall>& pending);

  // site_node_peers.cc
  absl::Duration HeartbeatPeriod() const;
  bool HeartbeatDue(absl::Time now) const;
  // Returns how long this node must be without news of the leader before the
  // leader is suspect. `timeout` is that of a heartbeat.
  absl::Duration SuspectAfter(absl::Duration timeout) const;
  void Heartbeat();
  // Handles the answer to the heartbeat that was sent to `target` at `sent`.
  void OnHeartbeatAnswer(const Json::Value& in, const HeartbeatTarget& target,
                         absl::Time sent);
  void OnHeartbeatUnanswered(const RpcOutcome& outcome,
                             const HeartbeatTarget& target);
  // Handles what the answer of the node `from` states about members.
  void HandleMembersOf(const std::string& from, const Json::Value& in);
  void OnLeaderAnswer(const Json::Value& in, const LeaderRecord& to);
  void OnParentAnswer(const Json::Value& in, const HeartbeatTarget& target,
                      absl::Time sent);
  void RecordLeaderContact(const LeaderContact& contact);
  // Reports in the answer to a heartbeat what the steady clock of the leader
  // that it names as `contact_epoch` shows now, at least.
  void DescribeLeaderClock(Json::Value* answer) const;
  // Reads that from the answer to a heartbeat of this node.
  void ReadLeaderClock(const Json::Value& answer);
  Result<Json::Value> HandleHeartbeat(const Json::Value& params);
  static void LogUnlessApplied(MemberList::ApplyResult result,
                               const std::string& sender);
  // Removes members that do not respond, and publishes changes.
  void UpdateMembership();
  // Passes the members to the election, the store failover, the leader session
  // and the order relay client.
  void PublishMembers();
  // Returns the addresses of nodes that may relay calls to the store.
  std::vector<std::string> StoreRelays() const;
  // True if this node leads or heard of the leader recently.
  bool InContactWithLeader() const;
  SiteMember DescribeSelf() const;
  void FetchConfiguration(const std::string& address);
  void AskAdvice(const AskAdviceAction& action,
                 std::function<void(AdviceReply)> done);

  // site_node_leading.cc
  void StepElection();
  void ReadControl();
  void FollowControl();
  void OnControlReadFailed(const char* read, StoreResult result,
                           const std::string& detail);
  // Returns the addresses of the nodes that may know whether the leader is
  // well.
  std::vector<std::string> AddressesToAskForLeader() const;
  void AskPeersThenClaim();
  void Claim();
  // Applies records of the control stream, which name the leader. `end` is the
  // end of the stream as of the read, and `read` the time of the read.
  void ApplyControlRecords(const std::vector<Record>& records, int64_t end,
                           absl::Time read);
  void Reaffirm();
  void BeginTerm();
  void OnTermEnded(const std::string& why);
  // Returns what the latest term of this node has to hand over, as of now.
  LeaderHandover CurrentHandover() const;
  // Passes the handover of the earlier leader at `address` to the session.
  void OnHandoverMessage(const std::string& address,
                         const Json::Value& message);
  // Asks the earlier leaders whether they have stopped, repeatedly during
  // `term` until all have.
  void PollEarlierLeaders(const std::weak_ptr<LeaderSession>& term);
  // The latest time at which this process may have given an order as a leader.
  absl::Time LastOrderTime() const;
  void OfferLeadership();
  // Measures how fast this node runs now.
  void ProbeSpeed();
  // Returns the capacity for leading, in processors, at the present speed.
  double Capacity() const;
  void RequestTakeover(const SiteMember& member);

  // site_node_configuration.cc
  // Reloads the configuration because the offset to follow it from is unknown.
  void ReadConfiguration();
  // Reads the page of a reload that follows `key`. `started_at` is the time at
  // which the first page was requested, `end` the end of the stream then.
  void ReadConfigurationAfter(const std::string& key, absl::Time started_at,
                              int64_t end);
  // Polls the store for changes, unless they come from the parent.
  void FollowConfiguration();
  void ResumeFollowingConfiguration();
  // True if the parent in the tree of heartbeats reports new versions: in a
  // large site, the polls of all nodes would load the store, and each change
  // would be transferred from there to all nodes at once.
  bool ConfigurationComesFromParent() const;
  void FollowConfigurationFrom(int64_t next);
  // Puts the configuration in `document` in force if it is newer. Returns false
  // if it cannot be parsed.
  bool ApplyConfiguration(const std::string& document,
                          const std::string& source);
  // True if the version in force has not been confirmed as the newest for a
  // while, or is known not to be the newest.
  bool ConfigurationCheckDue(absl::Time now) const;
  // If a check is due, reads or probes the store as `SourceReads` permits.
  void CheckConfiguration();
  // Issues one read that does not wait for new records.
  void ReadConfigurationNow(absl::Time now);
  // Sends the store a query with a small answer to learn whether it answers.
  void ProbeStore();
  // Fetches the newer version that `peer` has from the store, or from the peer
  // if the store cannot be reached.
  void CatchUpWithConfiguration(const std::string& peer, int64_t version);
  void OnConfigurationChecked(const ReadReply& reply, int64_t from,
                              absl::Time sent);
  void ApplyConfigurationRecords(const std::vector<Record>& records);
  void RecordUnreadableItems(const std::vector<UnreadableItem>& items);
  // Handles a peer's report of its version and of the time since that version
  // was confirmed. The peer was asked at `sent`.
  void OnPeerConfiguration(const std::string& address, const Json::Value& in,
                           absl::Time sent);
  // Records that no version newer than the one in force was written before
  // `at`.
  void OnConfigurationConfirmed(absl::Time at);
  // Records that the store answered a read of the configuration.
  void OnConfigurationSourceAnswered();
  void OnConfigurationReadFailed(const char* read, StoreResult result,
                                 const std::string& detail);
  // Time since the version in force was last confirmed as the newest.
  absl::Duration ConfigurationAge() const;
  // ConfigurationAge() in milliseconds for log lines; "never" before the first
  // confirmation.
  std::string UnconfirmedText() const;
  // Adds the members to `out` that `OnPeerConfiguration` reads.
  void DescribeConfiguration(Json::Value* out) const;
  int64_t configuration_version() const;  // 0 before the first one.

  boost::asio::io_context& loop_;
  const NodeSettings settings_;
  const NodePorts ports_;
  StoreFailover& store_failover_;
  EventRpcClient& rpc_;
  const uint64_t incarnation_;
  Metrics metrics_;

  std::unique_ptr<EventHttpServer> client_server_;
  std::unique_ptr<EventHttpServer> ready_server_;
  std::unique_ptr<EventHttpServer> metrics_server_;
  EventRpcServer peer_server_;
  OrderRelayClient order_relay_client_;  // Sends orders while this node leads.
  OrderRelayServer
      order_relay_server_;  // Forwards the orders of other leaders.

  std::shared_ptr<const SiteConfiguration> configuration_;
  // Offset to follow the stream from; -1 until the first reload.
  int64_t configuration_read_offset_ = -1;
  bool fetching_configuration_ = false;
  // Offset of the newest record that was processed; -1 if none.
  int64_t configuration_record_offset_ = -1;
  // The newest record cannot be read. The version in force is then not the
  // newest: it is not confirmed, and no call is denied because of it.
  bool configuration_unreadable_ = false;
  // Offset of the last record that could not be read; -1 if none.
  int64_t unreadable_offset_ = -1;
  int64_t newest_reported_version_ = 0;  // Highest version a peer reported.
  Freshness configuration_freshness_{Freshness::Options()};
  SourceReads configuration_reads_{SourceReads::Options()};
  // The offset to follow the stream from is unknown until a reload. No long
  // poll is in flight while this is set, so that only one polling loop exists.
  bool configuration_reload_needed_ = true;
  bool polling_configuration_ = false;  // A long poll is in flight.
  // When a peer reported a version that is newer than the one in force.
  absl::Time outdated_since_ = absl::InfinitePast();
  // Number of the current long poll; the answer to an earlier one is ignored.
  int64_t configuration_poll_number_ = 0;
  // The last read of the store failed, and no peer has since confirmed the
  // version in force as the newest.
  bool configuration_source_lost_ = false;
  // The loss was logged, and no read has been answered since.
  bool configuration_loss_logged_ = false;

  SiteElection election_;
  OutageRetry outage_retry_{OutageRetry::Options()};
  SpeedMonitor speed_{SpeedMonitor::Options()};
  std::shared_ptr<LeaderSession> session_;
  SiteMembership membership_;
  MembershipView published_view_;
  int64_t members_lost_ = 0;  // As of the last call of UpdateMembership().
  // Earliest time to offer leadership to a peer again.
  absl::Time next_offer_at_ = absl::InfinitePast();
  EarlierLeaders earlier_leaders_;
  // Time of the last order of this process as a leader. Starts as the start
  // time of the process: an earlier process at the same address cannot have
  // given a later order.
  absl::Time last_order_ = SystemNow().mono;
  bool reading_control_ = false;
  bool following_control_ = false;
  bool control_lost_ = false;  // The last read of the control stream failed.
  bool claiming_ = false;
  // What the latest term of this node has to hand over; epoch 0 if this process
  // has not led.
  LeaderHandover handover_;
  absl::Time handover_created_;  // When that term ended.
  // Number of times in this term that the store became reachable again, as of
  // the last reaffirmation.
  int64_t reaffirmed_store_recoveries_ = 0;
  // A peer has stopped responding since the last reaffirmation. If a network
  // partition is the cause, a claim of that peer may reach the store once the
  // partition heals.
  bool peers_lost_ = false;
  int64_t control_read_offset_ = -1;
  bool heartbeat_in_flight_ = false;
  absl::Time next_heartbeat_at_ = absl::InfinitePast();
  absl::Time last_heartbeat_at_ = absl::InfinitePast();
  // Times that the leader takes to answer. No answer counts as lost within
  // 250 ms: event loops of loaded leaders ran up to 75 ms late.
  AnswerTimes heartbeat_times_{
      AnswerTimes::Options{absl::Milliseconds(250), absl::Milliseconds(700),
                           absl::ZeroDuration(), absl::ZeroDuration()}};
  int failed_heartbeats_ = 0;
  LeaderContact leader_contact_;
  // Time at which each leader was first known to accept jobs, by epoch; only
  // the newest epochs are kept.
  std::map<int64_t, absl::Time> leaders_seen_;
  // The steady clocks of the leaders, by epoch; only the newest are kept.
  std::map<int64_t, LeaderClock> leader_clocks_;

  std::set<std::shared_ptr<PendingCall>> pending_calls_;

  bool draining_ = false;
  bool final_replies_sent_ = false;  // New calls are rejected.
  absl::Time drain_started_ = absl::InfiniteFuture();
  std::function<void()> on_drained_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_SITE_NODE_H_
