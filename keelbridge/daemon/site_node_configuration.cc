// Following the operator's configuration, from the store and from peers.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Milliseconds(1000);
constexpr absl::Duration kFollowWait = absl::Seconds(20);
constexpr absl::Duration kFollowTimeout = absl::Seconds(22);
constexpr absl::Duration kRetry = absl::Milliseconds(300);
// Of a read that does not wait. Several tries fit into the 2 s within which a
// configuration is to be in force.
constexpr absl::Duration kCheckTimeout = absl::Milliseconds(600);
// Ages are told to peers in whole milliseconds, rounded up, and bounded.
constexpr absl::Duration kAgeUnit = absl::Milliseconds(1);
constexpr absl::Duration kOldestTold = absl::Hours(1);

}  // namespace

void SiteNode::ReadConfiguration() {
  reading_configuration_ = true;
  const absl::Time sent = SystemNow().mono;
  ports_.store->Newest(
      Stream::kConfiguration, "", kReadTimeout,
      [this, sent](const NewestReply& r) {
        if (r.result != StoreResult::kDone) {
          OnConfigurationReadFailed("newest", r.result, r.message);
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        reading_configuration_ = false;
        TakeConfigurationRecords(r.records);
        OnConfigurationConfirmed(sent);
        configuration_next_ = r.end;
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
  if (reading_configuration_) return;
  const absl::Time sent = SystemNow().mono;
  const bool leads = session_ != nullptr && !session_->ended();
  const auto role =
      leads ? Freshness::Role::kSource : Freshness::Role::kFollower;
  if (!configuration_freshness_.AskDue(role, sent)) return;
  const int64_t from = configuration_next_;
  ports_.store->Read(Stream::kConfiguration, from, absl::ZeroDuration(),
                     kCheckTimeout, [this, from, sent](const ReadReply& reply) {
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
  OnConfigurationConfirmed(sent);
  // The poll has moved on meanwhile, or there was nothing to bring.
  if (from != configuration_next_ || reply.records.empty()) return;
  LogEvent(Severity::kWarning, "configuration_poll_missed",
           {{"from", absl::StrCat(from)},
            {"records", absl::StrCat(reply.records.size())}});
  configuration_next_ = from + static_cast<int64_t>(reply.records.size());
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
  if (version > configuration_version()) return FetchConfiguration(address);
  if (version < configuration_version()) return;
  if (!in["configuration_age_ms"].isIntegral()) return;
  // Its age is told after `sent`, so that this is no later than the truth.
  OnConfigurationConfirmed(
      sent - absl::Milliseconds(in["configuration_age_ms"].asInt64()));
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
      address, "configuration", Json::Value(Json::objectValue), kReadTimeout,
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
