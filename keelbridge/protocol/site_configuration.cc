#include "keelbridge/protocol/site_configuration.h"

#include "absl/strings/match.h"

namespace keelbridge {

const Queue* SiteConfiguration::FindQueue(const std::string& host,
                                          const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (!absl::EqualsIgnoreCase(queue.host, host)) continue;
    if (!absl::StartsWith(path, queue.path_prefix)) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())
      best = &queue;
  }
  return best;
}

const Queue* SiteConfiguration::FindQueueByName(const std::string& name) const {
  for (const Queue& queue : queues) {
    if (queue.name == name) return &queue;
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
