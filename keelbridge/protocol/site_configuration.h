// The operator's configuration of a site: queues of jobs, pools of workers and
// limits on the requests of clients. Versions increase, and a newer
// configuration replaces the older one entirely.
//
//   const Queue* queue = configuration.FindQueue("host.example", "/restore/1");

#ifndef KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
#define KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace keelbridge {

// The cost and the validity of advice on which workers may run a step.
struct AdviceTerms {
  bool needed = false;
  double base_ms = 0;        // Cost of one call.
  double per_worker_ms = 0;  // Additional cost of each worker in the call.
  int64_t validity_ms = 0;   // Validity of a ticket, from the answer on.
};

struct Queue {
  std::string name;
  std::string host;          // Host of the requests for this queue.
  std::string path_prefix;   // The longest matching prefix wins.
  std::string pool;          // The workers that run the queue's tasks.
  int32_t priority = 0;      // 0 is the most urgent.
  int32_t max_attempts = 1;  // Failures after which the job has failed.
  // Objective for the latency of a job: `stretch` times its longest chain of
  // work, plus `target_latency_ms`.
  double stretch = 1;
  int64_t target_latency_ms = 0;
  int64_t timeout_ms = 0;  // Of a client's request.
  AdviceTerms advice;
};

struct Pool {
  std::string name;
  // Workers of the pool refuse tasks that do not fit.
  bool workers_check_capacity = false;
  bool spare = false;
};

struct RequestLimits {
  int64_t max_header_bytes = 16 << 10;
  int64_t max_body_bytes = 256 << 10;
};

struct SiteConfiguration {
  int64_t version = 0;  // 0: no configuration yet.
  std::vector<Queue> queues;
  std::vector<Pool> pools;
  RequestLimits limits;
  std::string document;  // The original text, which is passed to peers.

  // Builds an index, so that the time of the lookups below does not depend on
  // the number of queues. Call it again after `queues` has changed. Without an
  // index the lookups scan all queues.
  void BuildIndex();
  // Returns the queue for a request, or null if there is none.
  const Queue* FindQueue(const std::string& host,
                         const std::string& path) const;
  const Queue* FindQueueByName(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;

 private:
  // Indices into `queues`.
  absl::flat_hash_map<std::string, size_t> by_name_;
  // The host names are in lower case.
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
