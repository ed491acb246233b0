#include "keelbridge/coordination/site_election.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

SiteElection MakeElection(const std::string& node, uint64_t boot) {
  return {node, boot, node + ":1", SiteElection::Options()};
}

LeaderRecord Leader(int64_t epoch, const std::string& node, uint64_t boot) {
  LeaderRecord leader;
  leader.epoch = epoch;
  leader.node = node;
  leader.boot = boot;
  leader.address = node + ":1";
  leader.claimed_ms = 1000;
  return leader;
}

// Looks every 100 ms until `time` after `from`; the first step that is not
// kNone, or kNone.
ElectionStep FirstStepWithin(SiteElection& election, absl::Time from,
                             absl::Duration time) {
  for (absl::Time at = from; at < from + time; at += absl::Milliseconds(100)) {
    const ElectionStep step = election.Decide(at);
    if (step != ElectionStep::kNone) return step;
  }
  return ElectionStep::kNone;
}

TEST_CASE("site election: an empty control stream is claimed, once read") {
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
    "site election: a claim whose answer comes after a successor was heard of "
    "does not lead") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Claim(5000);  // Epoch 4; it is done, and its answer is slow.
  a.OnLeaderReported(Leader(5, "c", 9), kBegin);
  a.OnClaimed(4, kBegin);
  CHECK(!a.Leads());
  CHECK(a.leader().epoch == 5);
  CHECK(a.leader().node == "c");
}

TEST_CASE("site election: a silent leader is replaced, a heard one is not") {
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

TEST_CASE("site election: a leader whose port is closed is replaced soon") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Decide(kBegin);
  a.OnLeaderGone(kBegin);
  CHECK(FirstStepWithin(a, kBegin, absl::Milliseconds(900)) ==
        ElectionStep::kClaim);
}

TEST_CASE("site election: peers that hear the leader hold a claim back") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  REQUIRE(FirstStepWithin(a, kBegin, absl::Seconds(4)) == ElectionStep::kClaim);
  a.OnLeaderConfirmedByPeer(kBegin + absl::Seconds(4));
  CHECK(FirstStepWithin(a, kBegin + absl::Seconds(4), absl::Seconds(1)) ==
        ElectionStep::kNone);
}

// Where answers take milliseconds a silent leader is replaced sooner: after
// 0.8 s instead of 1.4 s, to which ranks add up to 0.75 s.
TEST_CASE("site election: how long answers take decides about silence") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.SetSuspectAfter(absl::Milliseconds(800));
  CHECK(FirstStepWithin(a, kBegin, absl::Milliseconds(750)) ==
        ElectionStep::kNone);
  CHECK(FirstStepWithin(a, kBegin + absl::Milliseconds(750),
                        absl::Milliseconds(900)) == ElectionStep::kClaim);
  // A peer heard it later: its silence counts from there.
  a.OnLeaderConfirmedByPeer(kBegin + absl::Milliseconds(1500));
  CHECK(a.Decide(kBegin + absl::Milliseconds(2200)) == ElectionStep::kNone);
}

TEST_CASE("site election: a process that stood still believes nothing") {
  SiteElection a = MakeElection("a", 1);
  a.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  a.Decide(kBegin);
  CHECK(a.Decide(kBegin + absl::Seconds(20)) == ElectionStep::kNone);
}

TEST_CASE("site election: a restarted leader claims at once, above itself") {
  SiteElection a = MakeElection("a", 2);
  a.OnControlRead({ToRecord(Leader(3, "a", 1))}, 3, kBegin);
  CHECK(a.Decide(kBegin) == ElectionStep::kClaim);
  a.Claim(5000);
  a.OnClaimed(4, kBegin);
  CHECK(a.leader().epoch == 4);
  CHECK(a.leader().earlier.empty());  // Its own earlier life is over.
}

TEST_CASE(
    "site election: earlier leaders not heard to have stopped are named") {
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
  // After long enough only the last one matters.
  const auto later = LeaderFromRecord(c.Claim(100000).records[0]);
  REQUIRE(later.has_value());
  CHECK(later->earlier.size() == 1);
}

TEST_CASE("site election: a lost claim is learnt from the stream") {
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
  CHECK(delayed_claim.expected_end == 1);  // The stream now ends at 2.
  // Nobody takes the record for a new leader's.
  b.OnControlRead(reaffirmation.records, 2, kBegin);
  CHECK(b.leader().epoch == 1);
  CHECK_FALSE(b.Leads());
}

TEST_CASE("site election: a leader that hears of a later one does not lead") {
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
    // Six able nodes try before it, 250 ms apart.
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

TEST_CASE("site election: without peers a weak node lets others go first") {
  SiteElection weak = MakeWithCapacity("weak", 0.05);
  weak.OnControlRead({}, 0, kBegin);
  CHECK(FirstStepWithin(weak, kBegin, absl::Milliseconds(750)) ==
        ElectionStep::kNone);
  CHECK(FirstStepWithin(weak, kBegin + absl::Milliseconds(750),
                        absl::Seconds(2)) == ElectionStep::kClaim);
}

TEST_CASE(
    "site election: a weak leader names an able peer that has the store") {
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
  CHECK(!capable.BetterLeader(false));  // Not worth a change of leader.
}

TEST_CASE("site election: a planned stop hands over to the ablest peer") {
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
  // A weak node is no better than one that needs a peer to reach the store.
  leader.SetPeers({{"a", 0.12, true}});
  CHECK(!leader.BetterLeader(true));
}

TEST_CASE("site election: a weak node that was restarted lets others lead") {
  SiteElection weak = MakeWithCapacity("weak", 0.05);
  weak.OnControlRead({ToRecord(Leader(3, "weak", 7))}, 3, kBegin);
  CHECK(FirstStepWithin(weak, kBegin, absl::Milliseconds(700)) ==
        ElectionStep::kNone);
  SiteElection capable = MakeWithCapacity("able", 0.5);
  capable.OnControlRead({ToRecord(Leader(3, "able", 7))}, 3, kBegin);
  CHECK(capable.Decide(kBegin) == ElectionStep::kClaim);
}

TEST_CASE(
    "site election: a leader that confirmed its record meanwhile is not "
    "replaced when a cut ends") {
  SiteElection isolated = MakeElection("a", 1);
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
  isolated.OnHeartbeatAnswered(kBegin);
  // Cut off: it claims in vain, and cannot read.
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
  // The cut ends: the stream has moved on, by the leader's own hand.
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 4, now);
  CHECK(first_step_within(absl::Seconds(1)) == ElectionStep::kNone);
  // Unless nothing is heard of it from then on.
  CHECK(first_step_within(absl::Seconds(3)) == ElectionStep::kClaim);
  // Reading the same again is no news of it.
  isolated.OnClaimFailed();
  CHECK(decide() == ElectionStep::kReadControl);
  isolated.OnControlRead({ToRecord(Leader(3, "b", 7))}, 4, now);
  CHECK(first_step_within(absl::Milliseconds(200)) == ElectionStep::kClaim);
}

// A record of the leader that cannot be read: which epoch it claims is not
// known, and two leaders of one epoch would not fence each other.
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

TEST_CASE("site election: over a record that cannot be read nobody claims") {
  for (const char* value : kMalformedValues) {
    CAPTURE(value);
    SiteElection uninformed = MakeElection("a", 1);
    uninformed.OnControlRead({MalformedLeaderRecord(value)}, 3, kBegin);
    CHECK(FirstStepWithin(uninformed, kBegin, absl::Seconds(20)) ==
          ElectionStep::kNone);
    // Nor does one that knew a leader before, which is silent now.
    SiteElection informed = MakeElection("c", 1);
    informed.OnControlRead({ToRecord(Leader(3, "b", 7))}, 3, kBegin);
    informed.OnControlRead({MalformedLeaderRecord(value)}, 4, kBegin);
    CHECK(FirstStepWithin(informed, kBegin, absl::Seconds(20)) ==
          ElectionStep::kNone);
    CHECK(informed.leader().epoch == 3);
    // Once one that can be read is written, it goes on from there.
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
    "site election: an item without a key is no leader's beside the leader's") {
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
