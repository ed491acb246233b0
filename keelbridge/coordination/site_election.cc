#include "keelbridge/coordination/site_election.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// Time after which an earlier leader sends no orders, even if it still believes
// that it leads.
constexpr int64_t kEarlierLeaderExpiryMs = 30000;
// A node with less than this fraction of the highest known capacity is weak.
constexpr double kWeakCapacityRatio = 0.5;
// If no peers are known, a node with fewer processors than this delays its
// claim in proportion to the shortfall, by up to kMaxHeadStart.
constexpr double kSufficientProcessors = 0.25;
constexpr absl::Duration kMaxHeadStart = absl::Seconds(1);

bool IsEarlierLeader(const Json::Value& value) {
  return value.isObject() && value["address"].isString() &&
         value["claimed_ms"].isInt64();
}

}  // namespace

Record ToRecord(const LeaderRecord& leader) {
  Json::Value value(Json::objectValue);
  value["epoch"] = Json::Int64(leader.epoch);
  value["node"] = leader.node;
  value["boot"] = Json::UInt64(leader.incarnation);
  value["address"] = leader.address;
  value["claimed_ms"] = Json::Int64(leader.claimed_ms);
  for (const EarlierLeader& earlier : leader.earlier) {
    Json::Value entry(Json::objectValue);
    entry["address"] = earlier.address;
    entry["claimed_ms"] = Json::Int64(earlier.claimed_ms);
    value["earlier"].append(entry);
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
  leader.incarnation = value["boot"].asUInt64();
  leader.address = value["address"].asString();
  leader.claimed_ms = value["claimed_ms"].asInt64();
  for (const Json::Value& entry : earlier)
    leader.earlier.push_back(
        {entry["address"].asString(), entry["claimed_ms"].asInt64()});
  return leader;
}

std::vector<Record> ControlRecords(const NewestReply& reply) {
  std::vector<Record> records = reply.records;
  const bool leader_read = std::any_of(
      records.begin(), records.end(),
      [](const Record& record) { return record.key == kLeaderKey; });
  for (const UnreadableItem& item : reply.unreadable) {
    const bool is_leader_record =
        item.key == kLeaderKey || (item.key.empty() && !leader_read);
    if (is_leader_record) records.push_back({kLeaderKey, "", -1});
  }
  return records;
}

SiteElection::SiteElection(std::string node, uint64_t incarnation,
                           std::string address, Options options)
    : node_(std::move(node)),
      incarnation_(incarnation),
      address_(std::move(address)),
      options_(options),
      capacity_(options.capacity),
      suspect_after_(options.suspect_after) {}

void SiteElection::Follow(const LeaderRecord& leader, absl::Time now) {
  if (leader.epoch <= leader_.epoch) return;
  leader_ = leader;
  leads_ = leader.incarnation == incarnation_;
  leader_gone_ = false;
  last_contact_ = now;  // A new leader has the full timeout to make contact.
  // The record was written by an earlier process of this node, so no process
  // leads.
  if (!leads_ && leader.node == node_) OnLeaderGone(now);
}

void SiteElection::OnControlRead(const std::vector<Record>& records,
                                 int64_t end, absl::Time now) {
  for (const Record& record : records) {
    if (record.key != kLeaderKey || !record.value) continue;
    const auto leader = LeaderFromRecord(record);
    // A reply that ends before the last known end is out of date.
    if (end >= control_end_) control_unreadable_ = !leader.has_value();
    if (!leader) continue;
    // If the leader has reaffirmed its record since this node last read the
    // stream, it was running after that read.
    const bool confirmed = control_end_ > 0 && end > control_end_ &&
                           leader->incarnation == leader_.incarnation &&
                           leader->epoch == leader_.epoch;
    if (confirmed) last_contact_ = std::max(last_contact_, now);
    Follow(*leader, now);
  }
  control_current_ = true;
  control_end_ = std::max(control_end_, end);
}

void SiteElection::OnLeaderReported(const LeaderRecord& leader,
                                    absl::Time now) {
  if (leader.epoch > leader_.epoch) control_current_ = false;
  Follow(leader, now);
}

void SiteElection::OnHeartbeatAnswered(absl::Time now) {
  last_contact_ = now;
  leader_gone_ = false;
}

void SiteElection::OnLeaderConfirmedByPeer(absl::Time answered) {
  last_contact_ = std::max(last_contact_, answered);
  leader_gone_ = false;
}

void SiteElection::OnLeaderGone(absl::Time now) {
  if (!leader_gone_) gone_since_ = now;
  leader_gone_ = true;
}

void SiteElection::OnClaimed(int64_t end, absl::Time now) {
  control_end_ = std::max(control_end_, end);
  // A later leader was reported while the answer to the claim was in flight.
  if (pending_claim_.epoch < leader_.epoch) return;
  leader_ = pending_claim_;
  leads_ = true;
  last_contact_ = now;
  leader_gone_ = false;
}

void SiteElection::OnClaimFailed() { control_current_ = false; }

void SiteElection::StepDown(absl::Time now) {
  leads_ = false;
  control_current_ = false;
  last_contact_ = now;
}

void SiteElection::SetPeers(std::vector<ElectionPeer> peers) {
  peers_ = std::move(peers);
  best_peer_capacity_ = 0;
  for (const ElectionPeer& peer : peers_)
    best_peer_capacity_ = std::max(best_peer_capacity_, peer.capacity);
}

bool SiteElection::IsWeak(double capacity) const {
  return capacity <
         kWeakCapacityRatio * std::max(capacity_, best_peer_capacity_);
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
  if (!lost_store && !IsWeak(capacity_)) return std::nullopt;
  return best->node;
}

double SiteElection::CapacityShortfall() const {
  return std::max(0.0, 1.0 - capacity_ / kSufficientProcessors);
}

absl::Duration SiteElection::ClaimDelay() const {
  const auto hash = [&](const std::string& node) {
    return XXH64(node.data(), node.size(),
                 static_cast<uint64_t>(leader_.epoch));
  };
  const auto rank = [&](const std::string& node, double capacity,
                        bool watches_leader) {
    return std::make_tuple(IsWeak(capacity), !watches_leader, hash(node), node);
  };
  const auto self = rank(node_, capacity_, watches_leader_);
  int64_t others = 0;
  int64_t ahead = 0;
  for (const ElectionPeer& peer : peers_) {
    if (peer.node == leader_.node || peer.node == node_) continue;
    ++others;
    if (rank(peer.node, peer.capacity, peer.watches_leader) < self) ++ahead;
  }
  if (others > 0) return options_.rank_step * static_cast<double>(ahead);
  // Without known peers, only the hash of the name spreads the claims.
  return options_.rank_step * static_cast<double>(hash(node_) % 4) +
         kMaxHeadStart * CapacityShortfall();
}

ElectionStep SiteElection::Decide(absl::Time now) {
  if (started_ == absl::InfiniteFuture()) started_ = now;
  const bool was_paused = last_decision_ != absl::InfinitePast() &&
                          now - last_decision_ > options_.pause_threshold;
  last_decision_ = now;
  if (was_paused) last_contact_ = std::max(last_contact_, now);
  if (leads_ || retired_) return ElectionStep::kNone;
  if (!control_current_) return ElectionStep::kReadControl;
  if (control_unreadable_) return ElectionStep::kNone;
  if (leader_.epoch == 0)
    return now - started_ > ClaimDelay() ? ElectionStep::kClaim
                                         : ElectionStep::kNone;
  if (leader_gone_) {
    // The previous process of this node led, so this node claims without a
    // delay by rank. A weak node still gives others a head start.
    if (leader_.node == node_ &&
        now - gone_since_ >= kMaxHeadStart * CapacityShortfall())
      return ElectionStep::kClaim;
    return now - gone_since_ > ClaimDelay() ? ElectionStep::kClaim
                                            : ElectionStep::kNone;
  }
  const absl::Duration overdue = now - last_contact_ - suspect_after_;
  // Computing the delay takes time for each peer.
  const bool claims = overdue > absl::ZeroDuration() && overdue > ClaimDelay();
  return claims ? ElectionStep::kClaim : ElectionStep::kNone;
}

AppendOrder SiteElection::Claim(int64_t wall_ms) {
  pending_claim_ = LeaderRecord{leader_.epoch + 1, node_,   incarnation_,
                                address_,          wall_ms, {}};
  for (const EarlierLeader& earlier : leader_.earlier) {
    const bool expired = wall_ms - leader_.claimed_ms > kEarlierLeaderExpiryMs;
    if (!expired && earlier.address != address_)
      pending_claim_.earlier.push_back(earlier);
  }
  if (leader_.epoch > 0 && leader_.address != address_)
    pending_claim_.earlier.push_back({leader_.address, leader_.claimed_ms});
  AppendOrder order;
  order.stream = Stream::kControl;
  order.expected_end = control_end_;
  order.records.push_back(ToRecord(pending_claim_));
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
