// The operator's configuration of a site: queues of jobs, pools of workers,
// client accounts and limits on the requests of clients. Versions increase, and
// a newer configuration replaces the older one entirely.
//
//   const Queue* queue = configuration.FindQueue("host.example", "/restore/1");

#ifndef KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
#define KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "keelbridge/protocol/client_account.h"

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
  // Calls need no key.
  bool allows_anonymous = false;
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
  // Calls need a key of an account, except on queues that allow anonymous ones.
  // False for a site without client accounts, which serves every call.
  bool has_accounts = false;
  std::vector<ClientAccount> accounts;
  RequestLimits limits;
  std::string document;  // The original text, which is passed to peers.

  // Builds an index, so that the time of the lookups below does not depend on
  // the number of queues or keys. Call it again after `queues` or `accounts`
  // have changed. Without an index the lookups scan all queues and keys.
  void BuildIndex();
  // Returns the queue for a request, or null if there is none.
  const Queue* FindQueue(const std::string& host,
                         const std::string& path) const;
  const Queue* FindQueueByName(const std::string& name) const;
  const Pool* FindPool(const std::string& name) const;
  // Returns the account that `key` authenticates, or null if no account has the
  // key.
  const ClientAccount* FindAccountByKey(absl::string_view key) const;

 private:
  // Indices into `queues`.
  absl::flat_hash_map<std::string, size_t> by_name_;
  // The host names are in lower case.
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;
  // Indices into `accounts`.
  absl::flat_hash_map<std::string, size_t> by_key_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_SITE_CONFIGURATION_H_
