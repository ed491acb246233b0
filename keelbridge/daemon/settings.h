// Settings of a gateway or scheduler daemon. The settings file is JSON with
// comments and is validated completely before anything starts.
//
//   Result<Settings> settings = ParseSettings(text, "gateway.json");

#ifndef KEELBRIDGE_DAEMON_SETTINGS_H_
#define KEELBRIDGE_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/base/result.h"

namespace keelbridge {

struct Settings {
  // Name of this entry host, the same for its gateway and its scheduler.
  std::string name;
  std::string zone;
  // Address at which this daemon serves. Port 0: the kernel picks one.
  std::string listen;
  std::string log;        // Address of the platform's log service.
  std::string host_list;  // Address of the platform's list of leaving hosts.
  // Addresses of gateways of the zone: the initial members to contact, and
  // sources of the configuration while the log does not answer.
  std::vector<std::string> peers;
  // For a gateway: a scheduler of its zone, which reports the drained targets.
  std::string scheduler;
  // File to which the port is written once the daemon serves.
  std::string ready_file;
  // File for spans as OTLP/JSON lines; "-": standard output.
  std::string trace_file;
  Severity log_level = Severity::kInfo;

  // Maximum number of callers' connections that a gateway serves concurrently.
  int64_t max_connections = 256;
  int64_t max_body_bytes = 4 << 20;
  absl::Duration log_timeout = absl::Seconds(2);
  // Interval between polls of the log and the host list.
  absl::Duration poll_interval = absl::Seconds(2);
  // Minimum time between two appends of this daemon to the log, which accepts
  // about a hundred appends a second from all its clients together.
  absl::Duration append_interval = absl::Milliseconds(200);
  // How long a gateway keeps serving new requests after the stop signal, so
  // that the balancer can notice that it is not ready. For a scheduler, the
  // maximum time for its queued entries to reach the log.
  absl::Duration drain_notice = absl::Seconds(2);
  // Maximum time that a gateway then waits for requests in flight.
  absl::Duration drain_timeout = absl::Seconds(30);

  // The following members are used by schedulers only.

  // Maximum time between two steps; replies cause earlier ones.
  absl::Duration tick = absl::Milliseconds(100);
  // Duration of a hold, the leadership lease on a worker.
  absl::Duration hold_ttl = absl::Seconds(3);
  absl::Duration lease_ttl = absl::Seconds(10);
  // Time from sending a command until it is no longer valid.
  absl::Duration command_validity = absl::Seconds(1);
  // Maximum difference of a wall clock from true time.
  absl::Duration clock_error = absl::Milliseconds(250);
  int64_t worker_threads = 12;
};

// Parses the settings in `text`, which came from the file `source`. On failure
// the error lists all faults of `text`.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& source);

// Returns the contents of the file at `path`, or an error if it cannot be read.
Result<std::string> ReadFile(const std::string& path);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_SETTINGS_H_
