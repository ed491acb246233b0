// Narrow ports to the platform: its log, its host list, its workers. One class
// each, typed calls, one place to change when the real thing speaks otherwise.
//
//   LogClient log(address);
//   Result<int64_t> offset = log.Append("zone-a", text, absl::Seconds(2));

#ifndef KEELBRIDGE_PROTOCOL_PLATFORM_CLIENTS_H_
#define KEELBRIDGE_PROTOCOL_PLATFORM_CLIENTS_H_

#include <json/json.h>

#include <optional>
#include <set>
#include <string>

#include "keelbridge/base/result.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/protocol/worker_messages.h"
#include "keelbridge/transport/http_client.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {

// The append-only log. Assumed: offsets of a stream grow by one; a record, once
// read, never changes; a read tells the lowest offset that is still kept.
// Thread-safe.
class LogClient {
 public:
  explicit LogClient(Address address);

  // The record's offset. `kUnavailable`: it was not appended. `kUnknown`: it
  // may have been.
  Result<int64_t> Append(const std::string& stream, const std::string& text,
                         absl::Duration timeout);
  Result<LogBatch> Read(const std::string& stream, int64_t from,
                        absl::Duration timeout);

 private:
  HttpClient http_;
};

// The platform's list of leaving hosts, which lags. Thread-safe.
class HostListClient {
 public:
  explicit HostListClient(Address address);
  Result<std::set<std::string>> Leaving(absl::Duration timeout);

 private:
  HttpClient http_;
};

// One worker; see `worker_messages.h` for what is assumed of it. Thread-safe.
class WorkerClient {
 public:
  explicit WorkerClient(Address address);

  // Nothing when no whole answer came: the command may or may not have taken
  // effect.
  std::optional<HoldReply> Hold(const HoldRequest& request,
                                absl::Duration timeout);
  std::optional<CommandReply> Start(const StartRequest& request,
                                    absl::Duration timeout);
  std::optional<CommandReply> Stop(const StopRequest& request,
                                   absl::Duration timeout);

 private:
  std::optional<Json::Value> Call(const std::string& verb,
                                  const Json::Value& body,
                                  const std::string& traceparent,
                                  absl::Duration timeout);

  HttpClient http_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_PLATFORM_CLIENTS_H_
