// Who leads a site: one record in the store, claimed by a conditional append.
//
// Pure: events and the time in, what to do out. A claim is safe at any moment,
// because the new leader's epoch fences the old one in the store and on every
// worker; this class only decides when a claim is worth making. The order in
// which nodes try is spread by rank, so that they rarely race.
//
//   SiteElection election("node-a", boot);
//   election.OnControlRead(records, end, now);
//   if (election.Decide(now) == ElectionStep::kClaim) Append(election.Claim());

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

// A leader that may still give orders, since nobody has heard it stop.
struct EarlierLeader {
  std::string address;
  int64_t claimed_ms = 0;  // Wall clock, when it claimed.
};

struct LeaderRecord {
  int64_t epoch = 0;  // 0: nobody ever led.
  std::string node;
  uint64_t boot = 0;  // Of the process that claimed.
  std::string address;
  int64_t claimed_ms = 0;
  std::vector<EarlierLeader>
      earlier;  // Not known to have stopped at the claim.
};

constexpr char kLeaderKey[] = "leader";
Record ToRecord(const LeaderRecord& leader);
// None when `record` is another one, or cannot be read.
std::optional<LeaderRecord> LeaderFromRecord(const Record& record);

// What a read of the control stream brought. An item whose key cannot be read
// may be the leader's record unless that stands beside it: a key has one item.
std::vector<Record> ControlRecords(const NewestReply& reply);

enum class ElectionStep { kNone, kReadControl, kClaim };

// Another node that may lead.
struct ElectionPeer {
  std::string node;
  // What it can spend on leading, in processors; see NodeSettings::Capacity.
  double capacity = 1;
  bool store_ok = true;  // It reaches the store itself.
};

class SiteElection {
 public:
  struct Options {
    // Heartbeats that fail for this long make a leader suspect, until it is
    // known how long its answers take.
    absl::Duration suspect_after = absl::Milliseconds(1400);
    absl::Duration rank_step = absl::Milliseconds(250);
    // A gap between two looks this long means that this process stood still:
    // what it believes about others is then worth nothing.
    absl::Duration pause_threshold = absl::Seconds(1);
    // What this node can spend on leading, in processors.
    double capacity = 1;
  };

  SiteElection(std::string node, uint64_t boot, std::string address,
               Options options);

  // The newest records of the control stream and where it ends.
  void OnControlRead(const std::vector<Record>& records, int64_t end,
                     absl::Time now);
  // A peer named a leader.
  void OnLeaderReported(const LeaderRecord& leader, absl::Time now);
  // The leader answered a heartbeat in time.
  void OnHeartbeatAnswered(absl::Time now);
  // The process that leads is not there: its port refused, or another answered.
  void OnLeaderGone(absl::Time now);
  // The leader answered a peer then.
  void OnLeaderConfirmedByPeer(absl::Time answered);
  // Heartbeats that fail for this long make a leader suspect from now on.
  void SetSuspectAfter(absl::Duration time) { suspect_after_ = time; }
  absl::Duration suspect_after() const { return suspect_after_; }
  // The append of `Claim` was done; the stream now ends at `end`.
  void OnClaimed(int64_t end, absl::Time now);
  // The claim failed; the control stream must be read again.
  void OnClaimFailed();
  // This node gives leadership to others; it does not claim any more.
  void Retire() { retired_ = true; }
  // The peers that were heard lately.
  void SetPeers(std::vector<ElectionPeer> peers) { peers_ = std::move(peers); }
  // The peer that is best able to lead, of those that reach the store.
  std::optional<std::string> Successor() const;
  // Of a node that leads: a peer that is far better able to, if there is one.
  // `lost_store`: this node itself does not reach the store.
  std::optional<std::string> BetterLeader(bool lost_store) const;

  ElectionStep Decide(absl::Time now);
  // The append that claims the next epoch.
  AppendOrder Claim(int64_t wall_ms);
  // Of a node that leads: says so again, so that a claim that is still on its
  // way from before an outage finds the stream moved on and fails.
  AppendOrder Reaffirm() const;
  void OnReaffirmed(int64_t end) { control_end_ = std::max(control_end_, end); }

  // The newest record of who leads cannot be read. It may be the claim of any
  // epoch, and two leaders of one epoch would not fence each other: nobody
  // claims or says again that it leads until one that can be read is written.
  bool control_unreadable() const { return control_unreadable_; }
  const LeaderRecord& leader() const { return leader_; }
  bool Leads() const { return leads_; }
  absl::Time last_contact() const { return last_contact_; }
  // The leader was replaced while this node led.
  void StepDown(absl::Time now);

 private:
  absl::Duration ClaimDelay() const;
  const ElectionPeer* BestPeer() const;
  // The share of ample processors that this node lacks.
  double CapacityShortfall() const;
  // Whether a node of that capacity should leave leading to better ones.
  bool IsWeak(double capacity) const;
  void Follow(const LeaderRecord& leader, absl::Time now);

  const std::string node_;
  const uint64_t boot_;
  const std::string address_;
  const Options options_;
  absl::Duration suspect_after_;
  LeaderRecord leader_;
  LeaderRecord pending_claim_;  // What this node tries to become.
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
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SITE_ELECTION_H_
