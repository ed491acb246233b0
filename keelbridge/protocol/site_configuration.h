// What the operator configures for a site: queues of jobs, pools of workers and
// limits on clients' requests. Versions rise; a newer one replaces the whole.
//
//   const Queue* queue = configuration.FindQueue("host.example", "/restore/1");

#ifndef KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
#define KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace keelbridge {

// The cost and the life of advice on which workers may run a step.
struct AdviceTerms {
  bool needed = false;
  double base_ms = 0;        // Of one call.
  double per_worker_ms = 0;  // More for each worker named.
  int64_t validity_ms = 0;   // Of a ticket, from the answer on.
};

struct Queue {
  std::string name;
  std::string host;          // Of the requests that reach it.
  std::string path_prefix;   // The longest one that fits wins.
  std::string pool;          // Of the workers that run its tasks.
  int32_t priority = 0;      // 0 is the most urgent.
  int32_t max_attempts = 1;  // Failed ends until the job has failed.
  double stretch = 1;        // Objective: stretch x longest chain of work ...
  int64_t target_latency_ms = 0;  // ... and this much more.
  int64_t timeout_ms = 0;         // Of a client's request.
  AdviceTerms advice;
};

struct Pool {
  std::string name;
  bool workers_check_capacity = false;  // They refuse what does not fit.
  bool spare = false;
};

struct RequestLimits {
  int64_t max_header_bytes = 16 << 10;
  int64_t max_body_bytes = 256 << 10;
};

struct SiteConfiguration {
  int64_t version = 0;  // 0: none yet.
  std::vector<Queue> queues;
  std::vector<Pool> pools;
  RequestLimits limits;
  std::string document;  // As the operator wrote it, to hand on to peers.

  // Makes the look-ups below fast, whatever the number of queues. Call again
  // after `queues` changed; without it they look at all queues in turn.
  void BuildIndex();
  // The queue for a request, or null.
  const Queue* FindQueue(const std::string& host,
                         const std::string& path) const;
  const Queue* FindQueueByName(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;

 private:
  // Positions in `queues`.
  absl::flat_hash_map<std::string, size_t> by_name_;
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;  // In lower
                                                                   // case.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
