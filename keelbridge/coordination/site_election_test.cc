#include "keelbridge/coordination/site_election.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

SiteElection MakeElection(const std::string& node, uint64_t incarnation) {
  return {node, incarnation, node + ":1", SiteElection::Options()};
}

LeaderRecord Leader(int64_t epoch, const std::string& node,
                    uint64_t incarnation) {
  LeaderRecord leader;
  leader.epoch = epoch;
  leader.node = node;
  leader.incarnation = incarnation;
  leader.address = node + ":1";
  leader.claimed_ms = 1000;
  return leader;
}

// Calls Decide() every 100 ms for `time` from `from`. Returns the first step
// that is not kNone, or kNone.
ElectionStep FirstStepWithin(SiteElection& election, absl::Time from,
                             absl::Duration time) {
  for (absl::Time at = from; at < from + time; at += absl::Milliseconds(100)) {
    const ElectionStep step = election.Decide(at);
    if (step != ElectionStep::kNone) return step;
  }
  return ElectionStep::kNone;
}

TEST_CASE(
    "site election: an empty control stream is claimed after it was read") {
  SiteElection a = MakeElection("a", 1);
  CHECK(a.Decide(kBegin) == ElectionStep::kReadControl);
  a.OnControlRead({}, 0, kBegin);
  CHECK(FirstStepWithin(a, kBegin, absl::Seconds(2)) == ElectionStep::kClaim);
  const AppendOrder order = a.Claim(5000);
  CHECK(order.expected_end == 0);
  a.OnClaimed(1, kBegin);
  CHECK(a.Leads());
  CHECK(a.leader().epoch == 1);
}

TEST_CASE(
    "site election: a node whose claim is answered after a later leader was "
    "reported does not lead") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Claim(5000);  // Epoch 4. The append succeeds, but its answer is delayed.
  a.OnLeaderReported(Leader(5, "c", 9), kBegin);
  a.OnClaimed(4, kBegin);
  CHECK(!a.Leads());
  CHECK(a.leader().epoch == 5);
  CHECK(a.leader().node == "c");
}

TEST_CASE(
    "site election: an unresponsive leader is replaced, a responsive one is "
    "not") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  absl::Time now = kBegin;
  for (int i = 0; i < 50; ++i) {
    now += absl::Milliseconds(100);
    a.OnHeartbeatAnswered(now);
    CHECK(a.Decide(now) == ElectionStep::kNone);
  }
  CHECK(FirstStepWithin(a, now, absl::Seconds(1)) == ElectionStep::kNone);
  CHECK(FirstStepWithin(a, now + absl::Seconds(1), absl::Seconds(3)) ==
        ElectionStep::kClaim);
}

TEST_CASE(
    "site election: a leader whose port refuses connections is replaced "
    "quickly") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Decide(kBegin);
  a.OnLeaderGone(kBegin);
  CHECK(FirstStepWithin(a, kBegin, absl::Milliseconds(900)) ==
        ElectionStep::kClaim);
}

TEST_CASE("site election: a claim is delayed while the leader answers peers") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  REQUIRE(FirstStepWithin(a, kBegin, absl::Seconds(4)) == ElectionStep::kClaim);
  a.OnLeaderConfirmedByPeer(kBegin + absl::Seconds(4));
  CHECK(FirstStepWithin(a, kBegin + absl::Seconds(4), absl::Seconds(1)) ==
        ElectionStep::kNone);
}

// If answers take milliseconds, an unresponsive leader is replaced after 0.8 s
// instead of 1.4 s. The delay by rank adds up to 0.75 s.
TEST_CASE(
    "site election: the suspect timeout follows the measured response times") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.SetSuspectAfter(absl::Milliseconds(800));
  CHECK(FirstStepWithin(a, kBegin, absl::Milliseconds(750)) ==
        ElectionStep::kNone);
  CHECK(FirstStepWithin(a, kBegin + absl::Milliseconds(750),
                        absl::Milliseconds(900)) == ElectionStep::kClaim);
  // A peer received an answer later, so the timeout runs from that answer.
  a.OnLeaderConfirmedByPeer(kBegin + absl::Milliseconds(1500));
  CHECK(a.Decide(kBegin + absl::Milliseconds(2200)) == ElectionStep::kNone);
}

TEST_CASE("site election: a process that was paused does not claim at once") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Decide(kBegin);
  CHECK(a.Decide(kBegin + absl::Seconds(20)) == ElectionStep::kNone);
}

TEST_CASE("site election: a restarted leader claims the next epoch at once") {
  SiteElection a = MakeElection("a", 2);
  a.OnControlRead({ToRecord(Leader(3, "a", 1))}, 3, kBegin);
  CHECK(a.Decide(kBegin) == ElectionStep::kClaim);
  a.Claim(5000);
  a.OnClaimed(4, kBegin);
  CHECK(a.leader().epoch == 4);
  CHECK(a.leader().earlier.empty());  // Its previous process has ended.
}

TEST_CASE(
    "site election: a claim lists earlier leaders not known to have stopped") {
  SiteElection c = MakeElection("c", 9);
  LeaderRecord b = Leader(3, "b", 7);
  b.earlier.push_back({"a:1", 500});
  c.OnControlRead({ToRecord(b)}, 3, kBegin);
  const AppendOrder soon = c.Claim(6000);
  const auto record = LeaderFromRecord(soon.records[0]);
  REQUIRE(record.has_value());
  REQUIRE(record->earlier.size() == 2);
  CHECK(record->earlier[0].address == "a:1");
  CHECK(record->earlier[1].address == "b:1");
  // Once the older entries have expired, only the last leader is listed.
  const auto later = LeaderFromRecord(c.Claim(100000).records[0]);
  REQUIRE(later.has_value());
  CHECK(later->earlier.size() == 1);
}

TEST_CASE(
    "site election: a claim whose answer was lost is found in the stream") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({}, 0, kBegin);
  const AppendOrder order = a.Claim(5000);
  a.OnClaimFailed();
  CHECK(a.Decide(kBegin) == ElectionStep::kReadControl);
  a.OnControlRead(order.records, 1, kBegin);
  CHECK(a.Leads());
}

TEST_CASE(
    "site election: a claim from before an outage fails once the leader "
    "has said again that it leads") {
  SiteElection b = MakeElection("b", 5);
  b.OnControlRead({ToRecord(Leader(1, "a", 1))}, 1, kBegin);
  const AppendOrder delayed_claim = b.Claim(5000);
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(1, "a", 1))}, 1, kBegin);
  const AppendOrder reaffirmation = a.Reaffirm();
  CHECK(reaffirmation.expected_end == 1);
  CHECK(LeaderFromRecord(reaffirmation.records[0])->epoch == 1);
  a.OnReaffirmed(2);
  // The stream now ends at 2, so the claim fails.
  CHECK(delayed_claim.expected_end == 1);
  // The reaffirmed record does not count as a new leader.
  b.OnControlRead(reaffirmation.records, 2, kBegin);
  CHECK(b.leader().epoch == 1);
  CHECK_FALSE(b.Leads());
}

TEST_CASE("site election: a leader that learns of a later one stops leading") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(1, "a", 1))}, 1, kBegin);
  REQUIRE(a.Leads());
  a.OnLeaderReported(Leader(2, "b", 5), kBegin);
  CHECK_FALSE(a.Leads());
}

SiteElection MakeWithCapacity(const std::string& node, double capacity) {
  SiteElection::Options options;
  options.capacity = capacity;
  return {node, 1, node + ":1", options};
}

TEST_CASE("site election: weak nodes claim after all that are able") {
  std::vector<ElectionPeer> capable;
  capable.reserve(6);
  for (int i = 0; i < 6; ++i)
    capable.push_back({"able" + std::to_string(i), 0.5});
  for (int i = 0; i < 30; ++i) {
    SiteElection weak =
        MakeWithCapacity("weak" + std::to_string(i), /*capacity=*/0.12);
    weak.OnControlRead({ToRecord(Leader(3, "gone", 7))}, 3, kBegin);
    weak.SetPeers(capable);
    weak.OnLeaderGone(kBegin);
    // Six capable nodes claim before it, 250 ms apart.
    CHECK(FirstStepWithin(weak, kBegin, absl::Milliseconds(1400)) ==
          ElectionStep::kNone);
    CHECK(FirstStepWithin(weak, kBegin + absl::Milliseconds(1400),
                          absl::Seconds(2)) == ElectionStep::kClaim);
  }
  SiteElection candidate = MakeWithCapacity("able0", 0.5);
  std::vector<ElectionPeer> peers;
  peers.reserve(30);
  for (int i = 0; i < 30; ++i)
    peers.push_back({"weak" + std::to_string(i), 0.12});
  candidate.OnControlRead({ToRecord(Leader(3, "gone", 7))}, 3, kBegin);
  candidate.SetPeers(peers);
  candidate.OnLeaderGone(kBegin);
  CHECK(FirstStepWithin(candidate, kBegin, absl::Milliseconds(250)) ==
        ElectionStep::kClaim);
}

TEST_CASE("site election: those that watch the leader claim before others") {
  const auto claim_after = [](bool watches_leader) {
    SiteElection node = MakeWithCapacity("node", 1);
    std::vector<ElectionPeer> peers;
    peers.reserve(8);
    for (int i = 0; i < 8; ++i)
      peers.push_back({"peer" + std::to_string(i), 1, true, i < 4});
    node.OnControlRead({ToRecord(Leader(3, "gone", 7))}, 3, kBegin);
    node.SetPeers(peers);
    node.SetWatchesLeader(watches_leader);
    node.OnLeaderGone(kBegin);
    absl::Duration after;
    while (node.Decide(kBegin + after) != ElectionStep::kClaim)
      after += absl::Milliseconds(50);
    return after;
  };
  CHECK(claim_after(true) <= absl::Milliseconds(1050));
  CHECK(claim_after(false) > absl::Milliseconds(1000));
}

TEST_CASE("site election: a weak node without known peers delays its claim") {
  SiteElection weak = MakeWithCapacity("weak", 0.05);
  weak.OnControlRead({}, 0, kBegin);
  CHECK(FirstStepWithin(weak, kBegin, absl::Milliseconds(750)) ==
        ElectionStep::kNone);
  CHECK(FirstStepWithin(weak, kBegin + absl::Milliseconds(750),
                        absl::Seconds(2)) == ElectionStep::kClaim);
}

TEST_CASE(
    "site election: a weak leader selects a capable peer that reaches the "
    "store") {
  SiteElection weak = MakeWithCapacity("weak", 0.12);
  weak.OnControlRead({}, 0, kBegin);
  weak.Claim(1000);
  weak.SetPeers({{"able", 0.5, true}});
  CHECK(!weak.BetterLeader(false));  // It does not lead yet.
  weak.OnClaimed(1, kBegin);
  CHECK(weak.BetterLeader(false) == "able");
  weak.SetPeers({{"able", 0.5, false}, {"weak2", 0.13, true}});
  CHECK(!weak.BetterLeader(false));
  SiteElection capable = MakeWithCapacity("able", 0.3);
  capable.OnControlRead({}, 0, kBegin);
  capable.Claim(1000);
  capable.OnClaimed(1, kBegin);
  capable.SetPeers({{"abler", 0.5, true}});
  // The gain does not justify a change of leader.
  CHECK(!capable.BetterLeader(false));
}

TEST_CASE(
    "site election: a planned shutdown hands over to the peer with the most "
    "capacity") {
  SiteElection leader = MakeWithCapacity("b", 0.5);
  leader.SetPeers({{"a", 0.12, true}, {"c", 0.5, true}, {"d", 0.9, false}});
  CHECK(leader.Successor() == "c");
  leader.SetPeers({{"a", 0.12, true}});
  CHECK(leader.Successor() == "a");
  leader.SetPeers({{"d", 0.9, false}});
  CHECK(!leader.Successor());
}

TEST_CASE("site election: a leader without the store offers leadership") {
  SiteElection leader = MakeWithCapacity("b", 0.5);
  leader.OnControlRead({}, 0, kBegin);
  leader.Claim(1000);
  leader.OnClaimed(1, kBegin);
  leader.SetPeers({{"a", 0.12, true}, {"c", 0.5, true}});
  CHECK(!leader.BetterLeader(false));
  CHECK(leader.BetterLeader(true) == "c");
  // A weak node is no better than a leader that reaches the store through a
  // peer.
  leader.SetPeers({{"a", 0.12, true}});
  CHECK(!leader.BetterLeader(true));
}

TEST_CASE("site election: a restarted weak node lets others claim first") {
  SiteElection weak = MakeWithCapacity("weak", 0.05);
  weak.OnControlRead({ToRecord(Leader(3, "weak", 7))}, 3, kBegin);
  CHECK(FirstStepWithin(weak, kBegin, absl::Milliseconds(700)) ==
        ElectionStep::kNone);
  SiteElection capable = MakeWithCapacity("able", 0.5);
  capable.OnControlRead({ToRecord(Leader(3, "able", 7))}, 3, kBegin);
  CHECK(capable.Decide(kBegin) == ElectionStep::kClaim);
}

TEST_CASE(
    "site election: a leader that reaffirmed its record during a partition is "
    "not replaced when the partition ends") {
  SiteElection isolated = MakeElection("a", 1);
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  isolated.OnHeartbeatAnswered(kBegin);
  // The node is partitioned: its claim fails and it cannot read the stream.
  absl::Time now = kBegin;
  const auto decide = [&] {
    now += absl::Milliseconds(100);
    return isolated.Decide(now);
  };
  const auto first_step_within = [&](absl::Duration time) {
    const absl::Time until = now + time;
    while (now < until) {
      const ElectionStep step = decide();
      if (step != ElectionStep::kNone) return step;
    }
    return ElectionStep::kNone;
  };
  CHECK(first_step_within(absl::Seconds(3)) == ElectionStep::kClaim);
  isolated.OnClaimFailed();
  for (int i = 0; i < 30; ++i) CHECK(decide() == ElectionStep::kReadControl);
  // The partition ends. The leader itself has moved the end of the stream.
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 4, now);
  CHECK(first_step_within(absl::Seconds(1)) == ElectionStep::kNone);
  // The leader is replaced if it then stays unresponsive.
  CHECK(first_step_within(absl::Seconds(3)) == ElectionStep::kClaim);
  // Reading the same record again is no evidence that the leader is running.
  isolated.OnClaimFailed();
  CHECK(decide() == ElectionStep::kReadControl);
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 4, now);
  CHECK(first_step_within(absl::Milliseconds(200)) == ElectionStep::kClaim);
}

// A leader record that cannot be parsed. Its epoch is unknown, and two leaders
// with the same epoch would not fence each other.
Record MalformedLeaderRecord(const std::string& value) {
  return Record{kLeaderKey, value, -1};
}

const char* const kMalformedValues[] = {
    "",
    "no record",
    "[]",
    "{}",
    R"({"epoch":"x"})",
    R"({"epoch":true})",
    R"({"epoch":-3})",
    R"({"epoch":18446744073709551615})",
    R"({"epoch":3,"node":7,"boot":1,"address":"a:1","claimed_ms":1})",
    R"({"epoch":3,"node":"a","boot":"x","address":"a:1","claimed_ms":1})",
    R"({"epoch":3,"node":"a","boot":1,"address":[],"claimed_ms":1})",
    R"({"epoch":3,"node":"a","boot":1,"address":"a:1","claimed_ms":{}})",
    R"({"epoch":3,"node":"","boot":1,"address":"","claimed_ms":1,"earlier":"x"})",
    R"({"epoch":3,"node":"","boot":1,"address":"","claimed_ms":1,"earlier":[7]})",
};

TEST_CASE("site election: no node claims over an unreadable leader record") {
  for (const char* value : kMalformedValues) {
    CAPTURE(value);
    SiteElection uninformed = MakeElection("a", 1);
    uninformed.OnControlRead({MalformedLeaderRecord(value)}, 3, kBegin);
    CHECK(FirstStepWithin(uninformed, kBegin, absl::Seconds(20)) ==
          ElectionStep::kNone);
    // A node that knew a leader, which is unresponsive now, does not claim
    // either.
    SiteElection informed = MakeElection("c", 1);
    informed.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
    informed.OnControlRead({MalformedLeaderRecord(value)}, 4, kBegin);
    CHECK(FirstStepWithin(informed, kBegin, absl::Seconds(20)) ==
          ElectionStep::kNone);
    CHECK(informed.leader().epoch == 3);
    // Claims resume once a readable record is written.
    uninformed.OnControlRead({ToRecord(Leader(5, "", 0))}, 5,
                             kBegin + absl::Seconds(20));
    CHECK(FirstStepWithin(uninformed, kBegin + absl::Seconds(20),
                          absl::Seconds(5)) == ElectionStep::kClaim);
    uninformed.Claim(5000);
    uninformed.OnClaimed(6, kBegin + absl::Seconds(25));
    CHECK(uninformed.leader().epoch == 6);
  }
}

TEST_CASE(
    "site election: an unreadable item without a key is ignored beside a "
    "readable leader record") {
  NewestReply reply;
  reply.records = {ToRecord({3, "a", 5, "10.0.0.1:1", 0, {}})};
  reply.unreadable = {{"", "no key"}};
  const auto beside = ControlRecords(reply);
  REQUIRE(beside.size() == 1);
  CHECK(LeaderFromRecord(beside[0])->epoch == 3);
  reply.records.clear();
  const auto alone = ControlRecords(reply);
  REQUIRE(alone.size() == 1);
  CHECK(alone[0].key == kLeaderKey);
  CHECK_FALSE(LeaderFromRecord(alone[0]).has_value());
}

}  // namespace
}  // namespace keelbridge
