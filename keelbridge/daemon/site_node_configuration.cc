// How a site node follows the operator's configuration, from the store and from
// peers.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

// Timeout of requests that may transfer a whole configuration. One of 700 KB
// (2,800 queues) takes 0.6 s on an otherwise idle link of 10 Mbit/s, the
// slowest that nodes have; up to three transfers may share it (see
// `SourceReads`). Nothing waits for a read that hangs.
constexpr absl::Duration kTransferTimeout = absl::Milliseconds(2500);
// A read that receives no byte for this long is abandoned, so that another can
// start. The limit still admits a store that takes 1.2 s to answer, 300 times
// its usual 4 ms.
constexpr absl::Duration kTransferIdleTimeout = absl::Milliseconds(1500);
// Timeout of a probe, whose answer is small. A longer one would gain nothing,
// because the next probe may start after this time (see `SourceReads`).
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
// Time in which a parent transfers a new version, before the store is asked.
constexpr absl::Duration kParentFetchTime = absl::Milliseconds(700);
constexpr absl::Duration kFollowWait = absl::Seconds(20);
constexpr absl::Duration kFollowTimeout = absl::Seconds(22);

}  // namespace

void SiteNode::ReadConfiguration() {
  configuration_reload_needed_ = true;
  CheckConfiguration();
}

void SiteNode::ReadConfigurationAfter(const std::string& key,
                                      absl::Time started_at, int64_t end) {
  ports_.store->Newest(
      Stream::kConfiguration, key, {kTransferTimeout, kTransferIdleTimeout},
      [this, key, started_at, end](const NewestReply& r) {
        const std::string next_key = r.NextPageKey();
        // A page whose next key does not advance would be requested forever.
        const bool advances = !r.more || (!next_key.empty() && next_key != key);
        if (r.result != StoreResult::kDone || !advances) {
          configuration_reads_.OnReadEnded(started_at, false);
          return OnConfigurationReadFailed("newest", r.result, r.message);
        }
        ApplyConfigurationRecords(r.records);
        RecordUnreadableItems(r.unreadable);
        // Following starts at the end of the stream as of the first page.
        const int64_t next = key.empty() ? r.end : end;
        if (r.more) return ReadConfigurationAfter(next_key, started_at, next);
        configuration_reads_.OnReadEnded(started_at, true);
        OnConfigurationSourceAnswered();
        OnConfigurationConfirmed(started_at);
        if (configuration_reload_needed_) FollowConfigurationFrom(next);
      });
}

void SiteNode::FollowConfigurationFrom(int64_t next) {
  configuration_reload_needed_ = false;
  configuration_read_offset_ = next;
  FollowConfiguration();
}

bool SiteNode::ConfigurationComesFromParent() const {
  const bool leads = session_ != nullptr && !session_->ended();
  return !leads && !membership_.is_flat() && InContactWithLeader() &&
         configuration_ != nullptr;
}

void SiteNode::ResumeFollowingConfiguration() {
  if (!polling_configuration_ && !configuration_reload_needed_)
    FollowConfiguration();
}

void SiteNode::FollowConfiguration() {
  polling_configuration_ = !ConfigurationComesFromParent();
  if (!polling_configuration_) return;
  const int64_t from = configuration_read_offset_;
  const int64_t poll = ++configuration_poll_number_;
  ports_.store->Read(Stream::kConfiguration, from, kFollowWait, kFollowTimeout,
                     [this, from, poll](const ReadReply& reply) {
                       if (poll != configuration_poll_number_)
                         return;  // Superseded by a newer poll.
                       polling_configuration_ = false;
                       if (reply.result != StoreResult::kDone) {
                         OnConfigurationReadFailed("follow", reply.result,
                                                   reply.message);
                         return ReadConfiguration();
                       }
                       ApplyConfigurationRecords(reply.records);
                       configuration_read_offset_ =
                           from + static_cast<int64_t>(reply.records.size());
                       FollowConfiguration();
                     });
}

bool SiteNode::ConfigurationCheckDue(absl::Time now) const {
  const bool leads = session_ != nullptr && !session_->ended();
  const auto role =
      leads ? Freshness::Role::kLeader : Freshness::Role::kFollower;
  // A parent that reports a newer version is asked for it first.
  const bool parent_has_time = ConfigurationComesFromParent() &&
                               now - outdated_since_ < kParentFetchTime;
  const bool known_outdated =
      newest_reported_version_ > configuration_version() && !parent_has_time;
  return configuration_reload_needed_ || known_outdated ||
         configuration_freshness_.RefreshDue(role, now);
}

void SiteNode::CheckConfiguration() {
  const absl::Time now = SystemNow().mono;
  if (!ConfigurationCheckDue(now)) return;
  switch (configuration_reads_.Next(now)) {
    case SourceReads::Step::kRead:
      return ReadConfigurationNow(now);
    case SourceReads::Step::kProbe:
      return ProbeStore();
    case SourceReads::Step::kNone:
      return;
  }
}

void SiteNode::ReadConfigurationNow(absl::Time now) {
  if (configuration_reload_needed_) return ReadConfigurationAfter("", now, -1);
  const int64_t from = configuration_read_offset_;
  ports_.store->Read(Stream::kConfiguration, from, absl::ZeroDuration(),
                     {kTransferTimeout, kTransferIdleTimeout},
                     [this, from, now](const ReadReply& reply) {
                       const bool answered =
                           reply.result == StoreResult::kDone ||
                           reply.result == StoreResult::kGone;
                       configuration_reads_.OnReadEnded(now, answered);
                       OnConfigurationChecked(reply, from, now);
                     });
}

void SiteNode::ProbeStore() {
  // The control stream's newest record, which names the leader, is short.
  ports_.store->Newest(
      Stream::kControl, "", kProbeTimeout, [this](const NewestReply& reply) {
        const bool answered = reply.result == StoreResult::kDone;
        configuration_reads_.OnProbeEnded(answered);
        if (!answered)
          return OnConfigurationReadFailed("probe", reply.result,
                                           reply.message);
        // If a peer forwarded the probe, the next check (within 100 ms) is soon
        // enough: by then the direct connection may be back, and it has more
        // bandwidth.
        if (store_failover_.direct()) CheckConfiguration();
      });
}

void SiteNode::OnConfigurationChecked(const ReadReply& reply, int64_t from,
                                      absl::Time sent) {
  if (reply.result == StoreResult::kGone) {
    // Another read has noticed this already, and has started a reload or moved
    // on.
    if (configuration_reload_needed_ || from != configuration_read_offset_)
      return;
    // The store has dropped the records at this offset: only a reload shows
    // which record is the newest.
    ++configuration_poll_number_;
    configuration_reads_.ExpediteNextRead();
    return ReadConfiguration();
  }
  if (reply.result != StoreResult::kDone)
    return OnConfigurationReadFailed("check", reply.result, reply.message);
  OnConfigurationSourceAnswered();
  ApplyConfigurationRecords(reply.records);
  const int64_t next = from + static_cast<int64_t>(reply.records.size());
  // An answer may end before the end of the stream.
  if (next >= reply.end) OnConfigurationConfirmed(sent);
  // The poll failed during this check. The check has read up to the end of the
  // stream, so no reload is needed.
  if (configuration_reload_needed_ && next >= reply.end)
    return FollowConfigurationFrom(next);
  // The poll has advanced in the meantime, or there were no new records.
  if (from != configuration_read_offset_ || reply.records.empty()) return;
  LogEvent(Severity::kWarning, "configuration_poll_missed",
           {{"from", absl::StrCat(from)},
            {"records", absl::StrCat(reply.records.size())}});
  FollowConfigurationFrom(next);
}

void SiteNode::ApplyConfigurationRecords(const std::vector<Record>& records) {
  for (const Record& record : records) {
    const bool relevant =
        record.key == ports_.dialect->ConfigurationKey() && record.value;
    // The answer to a slow read may contain records older than those processed
    // already.
    if (!relevant || record.offset < configuration_record_offset_) continue;
    if (record.offset == unreadable_offset_) continue;  // Logged already.
    configuration_record_offset_ = record.offset;
    configuration_unreadable_ = !ApplyConfiguration(*record.value, "store");
    if (configuration_unreadable_) unreadable_offset_ = record.offset;
  }
}

void SiteNode::RecordUnreadableItems(const std::vector<UnreadableItem>& items) {
  for (const UnreadableItem& item : items) {
    // An item whose key cannot be read is ignored, as are the operator's
    // records under other keys.
    if (item.key != ports_.dialect->ConfigurationKey()) continue;
    if (!configuration_unreadable_)
      LogEvent(Severity::kError, "configuration_unreadable",
               {{"source", "store"}, {"what", item.reason}});
    configuration_unreadable_ = true;
  }
}

void SiteNode::DescribeConfiguration(Json::Value* out) const {
  (*out)["configuration_version"] = Json::Int64(configuration_version());
  (*out)["configuration_age_ms"] = AgeToJson(ConfigurationAge());
}

void SiteNode::OnPeerConfiguration(const std::string& address,
                                   const Json::Value& in, absl::Time sent) {
  const int64_t version = in["configuration_version"].asInt64();
  if (version > configuration_version())
    return CatchUpWithConfiguration(address, version);
  if (version < configuration_version()) return;
  if (!in["configuration_age_ms"].isIntegral()) return;
  // The peer computed the age after `sent`, so this time is no later than the
  // true time of the confirmation.
  OnConfigurationConfirmed(
      sent - absl::Milliseconds(in["configuration_age_ms"].asInt64()));
}

void SiteNode::CatchUpWithConfiguration(const std::string& peer,
                                        int64_t version) {
  if (newest_reported_version_ <= configuration_version())
    outdated_since_ = SystemNow().mono;
  newest_reported_version_ = std::max(newest_reported_version_, version);
  CheckConfiguration();
  // If all nodes fetched a large configuration from the leader at once, its
  // link would be saturated.
  const bool ask_store = store_failover_.direct() &&
                         !configuration_source_lost_ &&
                         !ConfigurationComesFromParent();
  if (!ask_store) FetchConfiguration(peer);
}

void SiteNode::OnConfigurationConfirmed(absl::Time at) {
  // A newer version exists, but its record cannot be read.
  if (configuration_unreadable_) return;
  configuration_freshness_.OnConfirmed(at);
  configuration_source_lost_ = false;
}

void SiteNode::OnConfigurationSourceAnswered() {
  configuration_source_lost_ = false;
  if (!configuration_loss_logged_) return;
  configuration_loss_logged_ = false;
  LogEvent(Severity::kInfo, "configuration_source_back",
           {{"version", absl::StrCat(configuration_version())}});
}

void SiteNode::OnConfigurationReadFailed(const char* read, StoreResult result,
                                         const std::string& detail) {
  metrics_.Count("configuration_reads_failed_total",
                 {{"result", StoreResultName(result)}});
  configuration_source_lost_ = true;
  // An outage is logged once, not for each failed read.
  if (configuration_loss_logged_) return;
  configuration_loss_logged_ = true;
  LogEvent(Severity::kWarning, "configuration_source_lost",
           {{"read", read},
            {"result", StoreResultName(result)},
            {"detail", detail},
            {"version", absl::StrCat(configuration_version())},
            {"unconfirmed_ms", UnconfirmedText()}});
}

absl::Duration SiteNode::ConfigurationAge() const {
  return configuration_freshness_.Age(SystemNow().mono);
}

std::string SiteNode::UnconfirmedText() const {
  if (ConfigurationAge() == absl::InfiniteDuration()) return "never";
  return absl::StrCat(absl::ToInt64Milliseconds(ConfigurationAge()));
}

int64_t SiteNode::configuration_version() const {
  return configuration_ == nullptr ? 0 : configuration_->version;
}

void SiteNode::FetchConfiguration(const std::string& address) {
  if (fetching_configuration_) return;
  fetching_configuration_ = true;
  rpc_.Call(
      address, "configuration", Json::Value(Json::objectValue),
      kTransferTimeout,
      [this, address](const RpcOutcome& outcome) {
        fetching_configuration_ = false;
        if (outcome.answered && outcome.result["document"].isString())
          ApplyConfiguration(outcome.result["document"].asString(), address);
      },
      RpcLane::kControl);
}

bool SiteNode::ApplyConfiguration(const std::string& document,
                                  const std::string& source) {
  auto parsed = ports_.dialect->ParseConfiguration(document);
  if (!parsed) {
    LogEvent(Severity::kError, "configuration_unreadable",
             {{"source", source}, {"what", parsed.error().message}});
    return false;
  }
  const int64_t version = parsed.value().version;
  const int64_t previous_version = configuration_version();
  if (version <= previous_version) return true;
  configuration_ =
      std::make_shared<SiteConfiguration>(std::move(parsed.value()));
  LogEvent(Severity::kInfo, "configuration_in_force",
           {{"version", absl::StrCat(version)},
            {"before", absl::StrCat(previous_version)},
            {"queues", absl::StrCat(configuration_->queues.size())},
            {"source", source},
            {"unconfirmed_ms", UnconfirmedText()}});
  if (session_ != nullptr) session_->SetConfiguration(configuration_);
  return true;
}

}  // namespace keelbridge
