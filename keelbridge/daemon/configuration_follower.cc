#include "keelbridge/daemon/configuration_follower.h"

#include <optional>

#include "keelbridge/base/clock.h"
#include "keelbridge/transport/rpc_client.h"

namespace keelbridge {

bool ConfigurationFollower::PollLog() {
  bool changed = false;
  while (true) {
    int64_t from = 0;
    {
      absl::MutexLock lock(&mutex_);
      from = state_.next();
    }
    Result<LogBatch> batch = log_.Read(kConfigurationStream, from, timeout_);
    absl::MutexLock lock(&mutex_);
    log_answers_ = batch.has_value();
    if (!batch) return changed;
    const int64_t previous_version = state_.current().version;
    const int64_t previous_record_offset = state_.newest_record_offset();
    state_.OnBatch(batch.value());
    if (state_.newest_record_offset() != previous_record_offset)
      last_carried_time_ = SystemNow().mono;
    changed = changed || state_.current().version != previous_version;
    if (state_.CaughtUp() || batch.value().records.empty()) return changed;
  }
}

bool ConfigurationFollower::PollPeer(const std::string& address) {
  Result<Address> parsed = ParseAddress(address);
  if (!parsed) return false;
  Json::Value params;
  params["have"] = static_cast<Json::Int64>(version());
  RpcClient peer(parsed.value());
  Result<Json::Value> answer =
      peer.Call("configuration", params, timeout_, TraceContext());
  if (!answer || !answer.value()["version"].isInt64() ||
      !answer.value()["text"].isString())
    return false;
  absl::MutexLock lock(&mutex_);
  return state_.OnPeer(answer.value()["version"].asInt64(),
                       answer.value()["text"].asString());
}

Configuration ConfigurationFollower::current() const {
  absl::MutexLock lock(&mutex_);
  return state_.current();
}

int64_t ConfigurationFollower::version() const {
  absl::MutexLock lock(&mutex_);
  return state_.current().version;
}

bool ConfigurationFollower::log_answers() const {
  absl::MutexLock lock(&mutex_);
  return log_answers_;
}

Json::Value ConfigurationFollower::MakePeerReply(int64_t have) const {
  absl::MutexLock lock(&mutex_);
  Json::Value out;
  out["version"] = static_cast<Json::Int64>(state_.current().version);
  if (state_.current().version > have) out["text"] = state_.current().text;
  return out;
}

std::optional<ConfigurationEntry> ConfigurationFollower::RenewalDue(
    absl::Time now, absl::Duration every) const {
  absl::MutexLock lock(&mutex_);
  const int64_t version = state_.current().version;
  if (version < 0 || !state_.CaughtUp() || now - last_carried_time_ < every)
    return std::nullopt;
  return ConfigurationEntry{-1, version, state_.current().text};
}

}  // namespace keelbridge
