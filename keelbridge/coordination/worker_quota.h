// Limits how many distinct workers a step may use, while its tasks are
// suspected of crashing workers.
//
//   WorkerQuota quota;
//   quota.max_workers = 2;
//   if (quota.Allows(worker)) quota.used.insert(worker);

#ifndef KEELBRIDGE_COORDINATION_WORKER_QUOTA_H_
#define KEELBRIDGE_COORDINATION_WORKER_QUOTA_H_

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace keelbridge {

struct WorkerQuota {
  int32_t max_workers = std::numeric_limits<int32_t>::max();
  std::set<std::string> used;

  bool Allows(const std::string& worker) const {
    return static_cast<int32_t>(used.size()) < max_workers ||
           used.count(worker) > 0;
  }
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_WORKER_QUOTA_H_
