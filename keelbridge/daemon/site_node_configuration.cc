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

}  // namespace

void SiteNode::ReadConfiguration() {
  const absl::Time sent = SystemNow().mono;
  ports_.store->Newest(
      Stream::kConfiguration, "", kReadTimeout,
      [this, sent](const NewestReply& r) {
        if (r.result != StoreResult::kDone) {
          OnConfigurationReadFailed("newest", r.result, r.message);
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        OnConfigurationConfirmed(sent);
        for (const Record& record : r.records) {
          if (record.key == ports_.dialect->ConfigurationKey() && record.value)
            TakeConfiguration(*record.value, "store");
        }
        configuration_next_ = r.end;
        FollowConfiguration();
      });
}

void SiteNode::FollowConfiguration() {
  const int64_t from = configuration_next_;
  ports_.store->Read(
      Stream::kConfiguration, from, kFollowWait, kFollowTimeout,
      [this, from](const ReadReply& reply) {
        if (reply.result != StoreResult::kDone) {
          OnConfigurationReadFailed("follow", reply.result, reply.message);
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        // The store answers when there is something, or when the wait is over:
        // both times it tells of now, not of when it was asked.
        OnConfigurationConfirmed(SystemNow().mono);
        for (const Record& record : reply.records) {
          if (record.key == ports_.dialect->ConfigurationKey() && record.value)
            TakeConfiguration(*record.value, "store");
        }
        configuration_next_ = from + static_cast<int64_t>(reply.records.size());
        FollowConfiguration();
      });
}

void SiteNode::OnConfigurationConfirmed(absl::Time at) {
  configuration_confirmed_ = std::max(configuration_confirmed_, at);
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
  return SystemNow().mono - configuration_confirmed_;
}

std::string SiteNode::UnconfirmedText() const {
  if (configuration_confirmed_ == absl::InfinitePast()) return "never";
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
