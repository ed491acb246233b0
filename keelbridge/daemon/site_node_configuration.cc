// Following the operator's configuration, from the store and from peers.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

// Of what may carry a whole configuration. One of 700 KB (2,800 queues) takes
// 0.6 s on a link of 10 Mbit/s that carries nothing else, the slowest that
// nodes have. Its loss must still be found well within the 5 s that the users
// bear after an outage (3 s until a node counts as in touch, 2 s to apply).
constexpr absl::Duration kTransferTimeout = absl::Milliseconds(2500);
// Of the first try of a check: a way that hangs is given up soon. Each further
// try gets twice as long, up to `kTransferTimeout`, since what it asks for may
// be large.
constexpr absl::Duration kFirstCheckTimeout = absl::Milliseconds(600);
constexpr absl::Duration kFollowWait = absl::Seconds(20);
constexpr absl::Duration kFollowTimeout = absl::Seconds(22);
constexpr absl::Duration kRetry = absl::Milliseconds(300);
// Ages are told to peers in whole milliseconds, rounded up, and bounded.
constexpr absl::Duration kAgeUnit = absl::Milliseconds(1);
constexpr absl::Duration kOldestTold = absl::Hours(1);

}  // namespace

void SiteNode::ReadConfiguration() {
  reading_configuration_ = true;
  ReadConfigurationAfter("", SystemNow().mono, -1);
}

void SiteNode::ReadConfigurationAfter(const std::string& key, absl::Time begun,
                                      int64_t end) {
  ports_.store->Newest(
      Stream::kConfiguration, key, kTransferTimeout,
      [this, key, begun, end](const NewestReply& r) {
        if (r.result != StoreResult::kDone || (r.more && r.records.empty())) {
          OnConfigurationReadFailed("newest", r.result, r.message);
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        TakeConfigurationRecords(r.records);
        // Reading goes on from where the first page was taken.
        const int64_t next = key.empty() ? r.end : end;
        if (r.more)
          return ReadConfigurationAfter(r.records.back().key, begun, next);
        reading_configuration_ = false;
        OnConfigurationConfirmed(begun);
        configuration_next_ = next;
        FollowConfiguration();
      });
}

void SiteNode::FollowConfiguration() {
  const int64_t from = configuration_next_;
  const int64_t poll = ++configuration_poll_;
  ports_.store->Read(
      Stream::kConfiguration, from, kFollowWait, kFollowTimeout,
      [this, from, poll](const ReadReply& reply) {
        if (poll != configuration_poll_) return;  // Another took its place.
        if (reply.result != StoreResult::kDone) {
          OnConfigurationReadFailed("follow", reply.result, reply.message);
          reading_configuration_ = true;
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        TakeConfigurationRecords(reply.records);
        configuration_next_ = from + static_cast<int64_t>(reply.records.size());
        FollowConfiguration();
      });
}

void SiteNode::CheckConfiguration() {
  const absl::Time now = SystemNow().mono;
  const bool leads = session_ != nullptr && !session_->ended();
  const auto role =
      leads ? Freshness::Role::kSource : Freshness::Role::kFollower;
  // One at a time: several would share the link and all be too late.
  if (reading_configuration_ || checking_configuration_) return;
  if (configuration_freshness_.AskDue(role, now)) AskForConfiguration();
}

void SiteNode::AskForConfiguration() {
  if (reading_configuration_ || checking_configuration_) return;
  checking_configuration_ = true;
  const absl::Time sent = SystemNow().mono;
  const int64_t from = configuration_next_;
  const absl::Duration timeout =
      std::min(kFirstCheckTimeout * (1 << std::min(failed_checks_, 3)),
               kTransferTimeout);
  ports_.store->Read(Stream::kConfiguration, from, absl::ZeroDuration(),
                     timeout, [this, from, sent](const ReadReply& reply) {
                       checking_configuration_ = false;
                       const bool answered =
                           reply.result == StoreResult::kDone ||
                           reply.result == StoreResult::kGone;
                       failed_checks_ = answered ? 0 : failed_checks_ + 1;
                       OnConfigurationChecked(reply, from, sent);
                     });
}

void SiteNode::OnConfigurationChecked(const ReadReply& reply, int64_t from,
                                      absl::Time sent) {
  if (reading_configuration_) return;
  if (reply.result == StoreResult::kGone) {
    // What followed was dropped: only a read anew tells what is newest.
    ++configuration_poll_;
    return ReadConfiguration();
  }
  if (reply.result != StoreResult::kDone)
    return OnConfigurationReadFailed("check", reply.result, reply.message);
  TakeConfigurationRecords(reply.records);
  const int64_t next = from + static_cast<int64_t>(reply.records.size());
  // An answer may carry less than there is.
  if (next >= reply.end) OnConfigurationConfirmed(sent);
  // The poll has moved on meanwhile, or there was nothing to bring.
  if (from != configuration_next_ || reply.records.empty()) return;
  LogEvent(Severity::kWarning, "configuration_poll_missed",
           {{"from", absl::StrCat(from)},
            {"records", absl::StrCat(reply.records.size())}});
  configuration_next_ = next;
  FollowConfiguration();
}

void SiteNode::TakeConfigurationRecords(const std::vector<Record>& records) {
  for (const Record& record : records) {
    if (record.key == ports_.dialect->ConfigurationKey() && record.value)
      TakeConfiguration(*record.value, "store");
  }
}

void SiteNode::DescribeConfiguration(Json::Value* out) const {
  (*out)["configuration_version"] = Json::Int64(configuration_version());
  const absl::Duration age = std::min(ConfigurationAge(), kOldestTold);
  (*out)["configuration_age_ms"] =
      Json::Int64(absl::ToInt64Milliseconds(absl::Ceil(age, kAgeUnit)));
}

void SiteNode::OnConfigurationOfPeer(const std::string& address,
                                     const Json::Value& in, absl::Time sent) {
  const int64_t version = in["configuration_version"].asInt64();
  if (version > configuration_version())
    return CatchUpWithConfiguration(address);
  if (version < configuration_version()) return;
  if (!in["configuration_age_ms"].isIntegral()) return;
  // Its age is told after `sent`, so that this is no later than the truth.
  OnConfigurationConfirmed(
      sent - absl::Milliseconds(in["configuration_age_ms"].asInt64()));
}

void SiteNode::CatchUpWithConfiguration(const std::string& peer) {
  // A large one in force everywhere at once would fill the leader's link.
  const bool ask_store = carrier_.direct() && !configuration_lost_;
  if (ask_store) return AskForConfiguration();
  FetchConfiguration(peer);
}

void SiteNode::OnConfigurationConfirmed(absl::Time at) {
  configuration_freshness_.OnConfirmed(at);
  if (!configuration_lost_) return;
  configuration_lost_ = false;
  LogEvent(Severity::kInfo, "configuration_source_back",
           {{"version", absl::StrCat(configuration_version())}});
}

void SiteNode::OnConfigurationReadFailed(const char* read, StoreResult result,
                                         const std::string& detail) {
  metrics_.Count("configuration_reads_failed_total",
                 {{"result", StoreResultName(result)}});
  // One line for an outage, not one for each try.
  if (configuration_lost_) return;
  configuration_lost_ = true;
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
          TakeConfiguration(outcome.result["document"].asString(), address);
      },
      RpcLane::kControl);
}

void SiteNode::TakeConfiguration(const std::string& document,
                                 const std::string& source) {
  auto parsed = ports_.dialect->ParseConfiguration(document);
  if (!parsed) {
    LogEvent(Severity::kError, "configuration_unreadable",
             {{"source", source}, {"what", parsed.error().message}});
    return;
  }
  const int64_t version = parsed.value().version;
  const int64_t before = configuration_version();
  if (version <= before) return;
  configuration_ =
      std::make_shared<SiteConfiguration>(std::move(parsed.value()));
  LogEvent(Severity::kInfo, "configuration_in_force",
           {{"version", absl::StrCat(version)},
            {"before", absl::StrCat(before)},
            {"queues", absl::StrCat(configuration_->queues.size())},
            {"source", source},
            {"unconfirmed_ms", UnconfirmedText()}});
  if (session_ != nullptr) session_->SetConfiguration(configuration_);
}

}  // namespace keelbridge
