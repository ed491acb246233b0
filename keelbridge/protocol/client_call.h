// What clients ask of a site and how it answers, apart from how it travels.

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

struct ClientCall {
  ClientCallKind kind = ClientCallKind::kStatus;
  std::string queue;
  JobId job = 0;
  JobSpec spec;                                 // Of a submission.
  absl::Duration remaining = absl::Seconds(3);  // The client waits this long.
};

enum class ClientAnswer {
  kAccepted,  // The job is kept, or the cancel is.
  kState,     // The state of a job.
  kWaiting,   // The count of waiting jobs.
  kNoSuchJob,
  kNoSuchQueue,
  kRejected,  // Did not run and never will; come back after `retry_after`.
  kUnknown,   // Nobody can tell whether it was taken.
  kInvalid,   // The call is wrong.
};

struct ClientReply {
  ClientAnswer answer = ClientAnswer::kUnknown;
  std::string state;
  int64_t waiting = 0;
  std::string message;
  absl::Duration retry_after = absl::Seconds(1);
};

// How a deployment's clients, operator and workers write things down. Reads and
// formats; decides nothing.
class SiteDialect {
 public:
  virtual ~SiteDialect() = default;
  // The call that `request` makes under `configuration`, or the reply to a
  // request that makes none.
  virtual Result<ClientCall> ParseClientCall(
      const ServerRequest& request,
      const SiteConfiguration& configuration) const = 0;
  virtual ServerResponse FormatReply(const ClientReply& reply) const = 0;
  virtual Result<SiteConfiguration> ParseConfiguration(
      const std::string& document) const = 0;
  virtual Result<WorkerRecord> ParseWorkerRecord(
      const std::string& id, const std::string& document) const = 0;
  // The key of the operator's configuration in its stream.
  virtual std::string ConfigurationKey() const = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_CLIENT_CALL_H_
