#include "keelbridge/protocol/site_configuration.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace keelbridge {
namespace {

// Returns whichever of `best`, which may be null, and `queue` matches `path`
// with the longer prefix.
const Queue* LongerMatch(const Queue* best, const Queue& queue,
                         const std::string& path) {
  if (!absl::StartsWith(path, queue.path_prefix)) return best;
  const bool longer =
      best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
  return longer ? &queue : best;
}

}  // namespace

void SiteConfiguration::BuildIndex() {
  by_name_.clear();
  by_host_.clear();
  by_key_.clear();
  for (size_t i = 0; i < queues.size(); ++i) {
    by_name_.emplace(queues[i].name, i);  // The first queue of a name wins.
    by_host_[absl::AsciiStrToLower(queues[i].host)].push_back(i);
  }
  for (size_t i = 0; i < accounts.size(); ++i) {
    for (const std::string& key : accounts[i].keys) by_key_.emplace(key, i);
  }
}

const Queue* SiteConfiguration::FindQueue(const std::string& host,
                                          const std::string& path) const {
  const Queue* best = nullptr;
  if (by_host_.empty()) {
    for (const Queue& queue : queues) {
      if (absl::EqualsIgnoreCase(queue.host, host))
        best = LongerMatch(best, queue, path);
    }
    return best;
  }
  const auto found = by_host_.find(absl::AsciiStrToLower(host));
  if (found == by_host_.end()) return nullptr;
  for (const size_t i : found->second)
    best = LongerMatch(best, queues[i], path);
  return best;
}

const Queue* SiteConfiguration::FindQueueByName(const std::string& name) const {
  if (!by_name_.empty()) {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : &queues[found->second];
  }
  for (const Queue& queue : queues) {
    if (queue.name == name) return &queue;
  }
  return nullptr;
}

const ClientAccount* SiteConfiguration::FindAccountByKey(
    absl::string_view key) const {
  if (!by_key_.empty()) {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &accounts[found->second];
  }
  for (const ClientAccount& account : accounts) {
    const auto& keys = account.keys;
    if (std::find(keys.begin(), keys.end(), key) != keys.end()) return &account;
  }
  return nullptr;
}

const Pool* SiteConfiguration::FindPool(const std::string& name) const {
  for (const Pool& pool : pools) {
    if (pool.name == name) return &pool;
  }
  return nullptr;
}

}  // namespace keelbridge
