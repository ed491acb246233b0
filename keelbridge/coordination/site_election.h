// Elects the leader of a site. The leader is named by one record in the store,
// which a node claims with a conditional append.
//
// A claim is safe at any moment, because the epoch of the new leader fences the
// previous one in the store and on every worker. SiteElection only decides when
// a claim is worthwhile. Nodes delay their claims by rank, so that two of them
// rarely claim at the same time.
//
// SiteElection performs no I/O and reads no clock.
//
//   SiteElection election("node-a", incarnation, address, options);
//   election.OnControlRead(records, end, now);
//   if (election.Decide(now) == ElectionStep::kClaim) {
//     Append(election.Claim(wall_ms));
//   }

#ifndef KEELBRIDGE_COORDINATION_SITE_ELECTION_H_
#define KEELBRIDGE_COORDINATION_SITE_ELECTION_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/record_store.h"

namespace keelbridge {

// An earlier leader that may still send orders, because no report has confirmed
// that it stopped.
struct EarlierLeader {
  std::string address;
  int64_t claimed_ms = 0;  // Wall clock time of its claim.
};

// The record in the store that names the leader of a site.
struct LeaderRecord {
  int64_t epoch = 0;  // 0 if no node has ever led.
  std::string node;
  uint64_t incarnation = 0;  // Identifies the process that made the claim.
  std::string address;
  int64_t claimed_ms = 0;
  // Earlier leaders that were not known to have stopped when this claim was
  // made.
  std::vector<EarlierLeader> earlier;
};

constexpr char kLeaderKey[] = "leader";
Record ToRecord(const LeaderRecord& leader);
// Returns nullopt if `record` has another key or cannot be parsed.
std::optional<LeaderRecord> LeaderFromRecord(const Record& record);

// Returns the records of a read of the control stream. An unreadable item
// without a readable key might be the leader record, so it is returned as an
// unreadable leader record, unless the reply also holds a readable leader
// record: the stream holds one item per key.
std::vector<Record> ControlRecords(const NewestReply& reply);

enum class ElectionStep { kNone, kReadControl, kClaim };

// Another node that is eligible to lead.
struct ElectionPeer {
  std::string node;
  // Processors that the node can spend on leading; see NodeSettings::Capacity.
  double capacity = 1;
  bool store_ok = true;  // The node reaches the store directly.
  // The node sends its heartbeats to the leader itself, so it is among the
  // first to notice that the leader does not answer.
  bool watches_leader = true;
};

class SiteElection {
 public:
  struct Options {
    // A leader whose heartbeats fail for this long is suspect. Applies until
    // its response times have been measured; see SetSuspectAfter().
    absl::Duration suspect_after = absl::Milliseconds(1400);
    // Delay between the claims of two nodes with consecutive ranks.
    absl::Duration rank_step = absl::Milliseconds(250);
    // If two calls of Decide() are further apart than this, the process was
    // paused, and its knowledge of other nodes is out of date.
    absl::Duration pause_threshold = absl::Seconds(1);
    // Processors that this node can spend on leading, until SetCapacity().
    double capacity = 1;
  };

  SiteElection(std::string node, uint64_t incarnation, std::string address,
               Options options);

  // Records a read of the control stream: its newest records and its end
  // offset.
  void OnControlRead(const std::vector<Record>& records, int64_t end,
                     absl::Time now);
  // Records that a peer reported `leader`.
  void OnLeaderReported(const LeaderRecord& leader, absl::Time now);
  // Records that the leader answered a heartbeat in time.
  void OnHeartbeatAnswered(absl::Time now);
  // Records that the leader's process is gone: its port refused the connection,
  // or another process answered there.
  void OnLeaderGone(absl::Time now);
  // Records that the leader answered a peer at time `answered`.
  void OnLeaderConfirmedByPeer(absl::Time answered);
  // Sets how long heartbeats must fail before the leader is suspect.
  void SetSuspectAfter(absl::Duration time) { suspect_after_ = time; }
  absl::Duration suspect_after() const { return suspect_after_; }
  // Records that the append returned by Claim() succeeded. The control stream
  // now ends at `end`.
  void OnClaimed(int64_t end, absl::Time now);
  // Records that the claim failed. The control stream must be read again.
  void OnClaimFailed();
  // Stops this node from claiming leadership.
  void Retire() { retired_ = true; }
  // Sets the processors that this node can spend on leading.
  void SetCapacity(double capacity) { capacity_ = capacity; }
  // Sets the peers that are known to run.
  void SetPeers(std::vector<ElectionPeer> peers);
  // Sets whether this node is a peer that `watches_leader`.
  void SetWatchesLeader(bool watches) { watches_leader_ = watches; }
  // Returns the peer with the highest capacity among those that reach the
  // store, or nullopt if there is none.
  std::optional<std::string> Successor() const;
  // Returns a peer that should lead instead of this node, or nullopt if there
  // is none or this node does not lead. A peer qualifies if it is not weak and
  // this node is weak or cannot reach the store (`lost_store`).
  std::optional<std::string> BetterLeader(bool lost_store) const;

  // Returns what this node should do now. Call it periodically.
  ElectionStep Decide(absl::Time now);
  // Returns the append that claims the next epoch.
  AppendOrder Claim(int64_t wall_ms);
  // Returns an append that writes the record of the current leader, which must
  // be this node, again. A claim that was sent before an outage and is still in
  // flight then fails, because the end of the stream has moved.
  AppendOrder Reaffirm() const;
  void OnReaffirmed(int64_t end) { control_end_ = std::max(control_end_, end); }

  // True if the newest leader record cannot be parsed. It may claim any epoch,
  // and two leaders with the same epoch would not fence each other. So no node
  // claims or reaffirms leadership until a readable leader record is written.
  bool control_unreadable() const { return control_unreadable_; }
  const LeaderRecord& leader() const { return leader_; }
  // True if the leader's process is known to be gone.
  bool leader_gone() const { return leader_gone_; }
  bool Leads() const { return leads_; }
  absl::Time last_contact() const { return last_contact_; }
  // Records that this node has been replaced as leader.
  void StepDown(absl::Time now);

 private:
  absl::Duration ClaimDelay() const;
  const ElectionPeer* BestPeer() const;
  // Returns the fraction of kSufficientProcessors that this node lacks, from 0
  // to 1.
  double CapacityShortfall() const;
  // Returns true if a node with `capacity` should let stronger nodes lead.
  bool IsWeak(double capacity) const;
  void Follow(const LeaderRecord& leader, absl::Time now);

  const std::string node_;
  const uint64_t incarnation_;
  const std::string address_;
  const Options options_;
  double capacity_;
  absl::Duration suspect_after_;
  LeaderRecord leader_;
  LeaderRecord pending_claim_;  // The last claim that this node made.
  bool leads_ = false;
  bool retired_ = false;
  bool control_current_ = false;
  bool control_unreadable_ = false;
  int64_t control_end_ = 0;
  absl::Time started_ = absl::InfiniteFuture();
  absl::Time last_contact_ = absl::InfinitePast();
  absl::Time last_decision_ = absl::InfinitePast();
  bool leader_gone_ = false;
  absl::Time gone_since_ = absl::InfinitePast();
  std::vector<ElectionPeer> peers_;
  double best_peer_capacity_ = 0;
  bool watches_leader_ = true;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SITE_ELECTION_H_
