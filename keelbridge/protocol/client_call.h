// The calls of a site's clients and the replies, independent of their encoding.

#ifndef KEELBRIDGE_PROTOCOL_CLIENT_CALL_H_
#define KEELBRIDGE_PROTOCOL_CLIENT_CALL_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/transport/http_server.h"

namespace keelbridge {

enum class ClientCallKind { kSubmit, kStatus, kCancel, kWaiting };

// Who makes a call, as established by the node that received it.
struct Caller {
  std::string key;      // A secret; empty if the call has none.
  std::string account;  // Empty if the call is on behalf of no account.
  // The version of the configuration that the key was checked against.
  int64_t configuration_version = 0;
  // The queue allows anonymous calls, so it does not tell callers apart.
  bool queue_allows_anonymous = false;
};

struct ClientCall {
  ClientCallKind kind = ClientCallKind::kStatus;
  std::string queue;
  Caller caller;
  JobId job = 0;
  JobSpec spec;  // Only for `kSubmit`.
  // How much longer the client waits for the reply.
  absl::Duration remaining = absl::Seconds(3);
};

enum class ClientAnswer {
  kAccepted,  // The job, or its cancellation, is durable.
  kState,     // The state of a job.
  kWaiting,   // The number of waiting jobs.
  kNoSuchJob,
  kNoSuchQueue,
  kRejected,      // Not executed, now or later. Retry after `retry_after`.
  kUnknown,       // The call may or may not have been executed.
  kInvalid,       // The call is malformed.
  kUnauthorized,  // The call has no valid key.
  kConflict,      // The id of the job belongs to another account.
};

struct ClientReply {
  ClientAnswer answer = ClientAnswer::kUnknown;
  std::string state;
  int64_t waiting = 0;
  std::string message;
  absl::Duration retry_after = absl::Seconds(1);
};

// Reads and writes the formats of a deployment's clients, operator and workers.
// Makes no decisions.
class SiteDialect {
 public:
  virtual ~SiteDialect() = default;
  // Returns the call that `request` makes under `configuration`. A request that
  // is no valid call yields the error to reply with.
  virtual Result<ClientCall> ParseClientCall(
      const ServerRequest& request,
      const SiteConfiguration& configuration) const = 0;
  virtual ServerResponse FormatReply(const ClientReply& reply) const = 0;
  virtual Result<SiteConfiguration> ParseConfiguration(
      const std::string& document) const = 0;
  virtual Result<WorkerRecord> ParseWorkerRecord(
      const std::string& id, const std::string& document) const = 0;
  // Returns the key of the operator's configuration in its stream.
  virtual std::string ConfigurationKey() const = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_CLIENT_CALL_H_
