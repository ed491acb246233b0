// Typed clients of the platform: its log, its host list and its workers. Each
// has one class, which is the only place that depends on the platform's
// protocol.
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

// The append-only log. It is assumed that the offsets of a stream increase by
// one per record, that a record never changes once it was read, and that a read
// returns the lowest offset that is still kept. Thread-safe.
class LogClient {
 public:
  explicit LogClient(Address address);

  // Returns the offset of the record. Error `kUnavailable`: the record was not
  // appended. Error `kUnknown`: it may have been appended.
  Result<int64_t> Append(const std::string& stream, const std::string& text,
                         absl::Duration timeout);
  Result<LogBatch> Read(const std::string& stream, int64_t from,
                        absl::Duration timeout);

 private:
  HttpClient http_;
};

// The platform's list of leaving hosts, which may be out of date. Thread-safe.
class HostListClient {
 public:
  explicit HostListClient(Address address);
  Result<std::set<std::string>> Leaving(absl::Duration timeout);

 private:
  HttpClient http_;
};

// One worker. `worker_messages.h` lists what is assumed of it. Thread-safe.
class WorkerClient {
 public:
  explicit WorkerClient(Address address);

  // Each returns nullopt if no complete answer was received: the command may or
  // may not have taken effect.
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
