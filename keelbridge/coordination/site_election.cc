#include "keelbridge/coordination/site_election.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// After this long no earlier leader gives orders, whatever it believes.
constexpr int64_t kEarlierLeaderMs = 30000;
// A node with less than this share of the best one's capacity is weak.
constexpr double kWeakShare = 0.5;
// Without peers to compare with, a node with less than this many processors
// gives others a head start, the longer the less it has.
constexpr double kAmpleProcessors = 0.25;
constexpr absl::Duration kHeadStart = absl::Seconds(1);

bool IsEarlierLeader(const Json::Value& value) {
  return value.isObject() && value["address"].isString() &&
         value["claimed_ms"].isInt64();
}

}  // namespace

Record ToRecord(const LeaderRecord& leader) {
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::Int64(leader.epoch);
  value["node"] = leader.node;
  value["boot"] = Json::UInt64(leader.boot);
  value["address"] = leader.address;
  value["claimed_ms"] = Json::Int64(leader.claimed_ms);
  for (const EarlierLeader& earlier : leader.earlier) {
    Json::Value one(Json::objectValue);
    one["address"] = earlier.address;
    one["claimed_ms"] = Json::Int64(earlier.claimed_ms);
    value["earlier"].append(one);
  }
  return Record{kLeaderKey, ToJsonText(value)};
}

std::optional<LeaderRecord> LeaderFromRecord(const Record& record) {
  if (record.key != kLeaderKey || !record.value) return std::nullopt;
  const JsonDocument document = JsonDocument::Parse(*record.value, "leader");
  const Json::Value& value = document.root();
  const Json::Value& earlier = value["earlier"];
  const bool readable =
      document.faults().empty() && value["epoch"].isInt64() &&
      value["epoch"].asInt64() >= 0 && value["node"].isString() &&
      value["boot"].isUInt64() && value["address"].isString() &&
      value["claimed_ms"].isInt64() &&
      (!value.isMember("earlier") ||
       (earlier.isArray() &&
        std::all_of(earlier.begin(), earlier.end(), IsEarlierLeader)));
  if (!readable) return std::nullopt;
  LeaderRecord leader;
  leader.epoch = value["epoch"].asInt64();
  leader.node = value["node"].asString();
  leader.boot = value["boot"].asUInt64();
  leader.address = value["address"].asString();
  leader.claimed_ms = value["claimed_ms"].asInt64();
  for (const Json::Value& one : earlier)
    leader.earlier.push_back(
        {one["address"].asString(), one["claimed_ms"].asInt64()});
  return leader;
}

std::vector<Record> ControlRecords(const NewestReply& reply) {
  std::vector<Record> records = reply.records;
  const bool leader_read = std::any_of(
      records.begin(), records.end(),
      [](const Record& record) { return record.key == kLeaderKey; });
  for (const UnreadableItem& item : reply.unreadable) {
    const bool leaders =
        item.key == kLeaderKey || (item.key.empty() && !leader_read);
    if (leaders) records.push_back({kLeaderKey, "", -1});
  }
  return records;
}

SiteElection::SiteElection(std::string node, uint64_t boot, std::string address,
                           Options options)
    : node_(std::move(node)),
      boot_(boot),
      address_(std::move(address)),
      options_(options),
      suspect_after_(options.suspect_after) {}

void SiteElection::Follow(const LeaderRecord& leader, absl::Time now) {
  if (leader.epoch <= leader_.epoch) return;
  leader_ = leader;
  leads_ = leader.boot == boot_;
  leader_gone_ = false;
  last_heard_ = now;  // A new leader gets time to be heard.
  // This process's record from before it was started again: nobody leads.
  if (!leads_ && leader.node == node_) OnLeaderGone(now);
}

void SiteElection::OnControlRead(const std::vector<Record>& records,
                                 int64_t end, absl::Time now) {
  for (const Record& record : records) {
    if (record.key != kLeaderKey || !record.value) continue;
    const auto leader = LeaderFromRecord(record);
    // An answer that was overtaken by a newer one says nothing of it.
    if (end >= control_end_) control_unreadable_ = !leader.has_value();
    if (!leader) continue;
    // A leader that confirmed its record was there after this node last read.
    const bool confirmed = control_end_ > 0 && end > control_end_ &&
                           leader->boot == leader_.boot &&
                           leader->epoch == leader_.epoch;
    if (confirmed) last_heard_ = std::max(last_heard_, now);
    Follow(*leader, now);
  }
  control_known_ = true;
  control_end_ = std::max(control_end_, end);
}

void SiteElection::OnLeaderHeard(const LeaderRecord& leader, absl::Time now) {
  if (leader.epoch > leader_.epoch) control_known_ = false;
  Follow(leader, now);
}

void SiteElection::OnHeartbeatAnswered(absl::Time now) {
  last_heard_ = now;
  leader_gone_ = false;
}

void SiteElection::OnLeaderVouched(absl::Time answered) {
  last_heard_ = std::max(last_heard_, answered);
  leader_gone_ = false;
}

void SiteElection::OnLeaderGone(absl::Time now) {
  if (!leader_gone_) gone_since_ = now;
  leader_gone_ = true;
}

void SiteElection::OnClaimed(int64_t end, absl::Time now) {
  control_end_ = std::max(control_end_, end);
  // The answer was slow, and a successor was heard of meanwhile.
  if (claim_.epoch < leader_.epoch) return;
  leader_ = claim_;
  leads_ = true;
  last_heard_ = now;
  leader_gone_ = false;
}

void SiteElection::OnClaimFailed() { control_known_ = false; }

void SiteElection::StepDown(absl::Time now) {
  leads_ = false;
  control_known_ = false;
  last_heard_ = now;
}

bool SiteElection::IsWeak(double capacity) const {
  double best = options_.capacity;
  for (const ElectionPeer& peer : peers_) best = std::max(best, peer.capacity);
  return capacity < kWeakShare * best;
}

const ElectionPeer* SiteElection::BestPeer() const {
  const ElectionPeer* best = nullptr;
  for (const ElectionPeer& peer : peers_) {
    if (!peer.store_ok) continue;
    if (best == nullptr || peer.capacity > best->capacity) best = &peer;
  }
  return best;
}

std::optional<std::string> SiteElection::Successor() const {
  const ElectionPeer* best = BestPeer();
  if (best == nullptr) return std::nullopt;
  return best->node;
}

std::optional<std::string> SiteElection::BetterLeader(bool lost_store) const {
  const ElectionPeer* best = BestPeer();
  if (!leads_ || best == nullptr || IsWeak(best->capacity)) return std::nullopt;
  if (!lost_store && !IsWeak(options_.capacity)) return std::nullopt;
  return best->node;
}

double SiteElection::Lack() const {
  return std::max(0.0, 1.0 - options_.capacity / kAmpleProcessors);
}

absl::Duration SiteElection::Stagger() const {
  const auto hash = [&](const std::string& node) {
    return XXH64(node.data(), node.size(),
                 static_cast<uint64_t>(leader_.epoch));
  };
  const auto rank = [&](const std::string& node, double capacity) {
    return std::make_tuple(IsWeak(capacity), hash(node), node);
  };
  const auto self = rank(node_, options_.capacity);
  int64_t others = 0;
  int64_t ahead = 0;
  for (const ElectionPeer& peer : peers_) {
    if (peer.node == leader_.node || peer.node == node_) continue;
    ++others;
    if (rank(peer.node, peer.capacity) < self) ++ahead;
  }
  if (others > 0) return options_.rank_step * static_cast<double>(ahead);
  // Without peers, names alone must spread the tries.
  return options_.rank_step * static_cast<double>(hash(node_) % 4) +
         kHeadStart * Lack();
}

ElectionStep SiteElection::Decide(absl::Time now) {
  if (started_ == absl::InfiniteFuture()) started_ = now;
  const bool stood_still = last_look_ != absl::InfinitePast() &&
                           now - last_look_ > options_.standstill;
  last_look_ = now;
  if (stood_still) last_heard_ = std::max(last_heard_, now);
  if (leads_ || retired_) return ElectionStep::kNone;
  if (!control_known_) return ElectionStep::kReadControl;
  if (control_unreadable_) return ElectionStep::kNone;
  if (leader_.epoch == 0)
    return now - started_ > Stagger() ? ElectionStep::kClaim
                                      : ElectionStep::kNone;
  if (leader_gone_) {
    // Nobody is nearer to it than this node, unless it is a weak one.
    if (leader_.node == node_ && now - gone_since_ >= kHeadStart * Lack())
      return ElectionStep::kClaim;
    return now - gone_since_ > Stagger() ? ElectionStep::kClaim
                                         : ElectionStep::kNone;
  }
  return now - last_heard_ > suspect_after_ + Stagger() ? ElectionStep::kClaim
                                                        : ElectionStep::kNone;
}

AppendOrder SiteElection::Claim(int64_t wall_ms) {
  claim_ = LeaderRecord{leader_.epoch + 1, node_, boot_, address_, wall_ms, {}};
  for (const EarlierLeader& earlier : leader_.earlier) {
    const bool past = wall_ms - leader_.claimed_ms > kEarlierLeaderMs;
    if (!past && earlier.address != address_) claim_.earlier.push_back(earlier);
  }
  if (leader_.epoch > 0 && leader_.address != address_)
    claim_.earlier.push_back({leader_.address, leader_.claimed_ms});
  AppendOrder order;
  order.stream = Stream::kControl;
  order.expected_end = control_end_;
  order.records.push_back(ToRecord(claim_));
  return order;
}

AppendOrder SiteElection::Reaffirm() const {
  AppendOrder order;
  order.stream = Stream::kControl;
  order.expected_end = control_end_;
  order.records.push_back(ToRecord(leader_));
  return order;
}

}  // namespace keelbridge
