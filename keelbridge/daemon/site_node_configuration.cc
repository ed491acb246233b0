// Following the operator's configuration, from the store and from peers.

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Milliseconds(1000);
constexpr absl::Duration kFollowWait = absl::Seconds(20);
constexpr absl::Duration kFollowTimeout = absl::Seconds(22);
constexpr absl::Duration kRetry = absl::Milliseconds(300);

// Tells how a read of the configuration ended and how long it took: a poll that
// fails after all its time says that nothing was heard since it began.
void LogRead(const char* call, StoreResult result, absl::Time begun,
             int64_t from, int64_t end, size_t records,
             const std::string& message) {
  const bool done = result == StoreResult::kDone;
  LogEvent(done ? Severity::kInfo : Severity::kWarning,
           done ? "configuration_read" : "configuration_read_failed",
           {{"call", call},
            {"result", StoreResultName(result)},
            {"from", absl::StrCat(from)},
            {"end", absl::StrCat(end)},
            {"records", absl::StrCat(records)},
            {"took_ms",
             absl::StrCat(absl::ToInt64Milliseconds(SystemNow().mono - begun))},
            {"detail", done ? "" : message}});
}

}  // namespace

void SiteNode::ReadConfiguration() {
  const absl::Time begun = SystemNow().mono;
  ports_.store->Newest(
      Stream::kConfiguration, "", kReadTimeout,
      [this, begun](const NewestReply& r) {
        LogRead("newest", r.result, begun, 0, r.end, r.records.size(),
                r.message);
        if (r.result != StoreResult::kDone) {
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
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
  const absl::Time begun = SystemNow().mono;
  ports_.store->Read(
      Stream::kConfiguration, from, kFollowWait, kFollowTimeout,
      [this, from, begun](const ReadReply& reply) {
        LogRead("poll", reply.result, begun, from, reply.end,
                reply.records.size(), reply.message);
        if (reply.result != StoreResult::kDone) {
          RunAfter(loop_, kRetry, [this] { ReadConfiguration(); });
          return;
        }
        for (const Record& record : reply.records) {
          if (record.key == ports_.dialect->ConfigurationKey() && record.value)
            TakeConfiguration(*record.value, "store");
        }
        configuration_next_ = from + static_cast<int64_t>(reply.records.size());
        FollowConfiguration();
      });
}

void SiteNode::FetchConfiguration(const std::string& address) {
  if (fetching_configuration_) return;
  fetching_configuration_ = true;
  LogEvent(Severity::kInfo, "configuration_behind", {{"peer", address}});
  rpc_.Call(
      address, "configuration", Json::Value(Json::objectValue), kReadTimeout,
      [this, address](const RpcOutcome& outcome) {
        fetching_configuration_ = false;
        if (!outcome.answered)
          LogEvent(Severity::kWarning, "configuration_fetch_failed",
                   {{"peer", address}, {"detail", outcome.error}});
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
  const int64_t before =
      configuration_ == nullptr ? 0 : configuration_->version;
  if (version <= before) return;
  configuration_ =
      std::make_shared<SiteConfiguration>(std::move(parsed.value()));
  LogEvent(Severity::kInfo, "configuration_in_force",
           {{"version", absl::StrCat(version)},
            {"before", absl::StrCat(before)},
            {"queues", absl::StrCat(configuration_->queues.size())},
            {"source", source}});
  if (session_ != nullptr) session_->SetConfiguration(configuration_);
}

}  // namespace keelbridge
