// What a daemon is told when it starts: JSON with comments, checked whole
// before anything runs.
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
  std::string
      name;  // Of this entry host; the same for its gateway and its scheduler.
  std::string zone;
  std::string
      listen;       // Where this daemon serves. Port 0: the kernel picks one.
  std::string log;  // The platform's log service.
  std::string host_list;           // The platform's list of leaving hosts.
  std::vector<std::string> peers;  // Gateways of the zone, to start from.
  std::string scheduler;   // Of a gateway: a scheduler of its zone, which tells
                           // of drained targets.
  std::string ready_file;  // Written with the port when the daemon serves.
  std::string trace_file;  // Spans as OTLP/JSON lines; "-": standard output.
  Severity log_level = Severity::kInfo;

  int64_t max_connections = 256;  // Callers' connections served at a time.
  int64_t max_body_bytes = 4 << 20;
  absl::Duration log_timeout = absl::Seconds(2);
  absl::Duration poll_every = absl::Seconds(2);  // Of log and host list.
  // Least time between two appends of this daemon to the log, which takes about
  // a hundred a second from everybody together.
  absl::Duration append_every = absl::Milliseconds(200);
  absl::Duration drain_notice =
      absl::Seconds(2);  // From the signal to no longer accepting.
  absl::Duration drain_timeout =
      absl::Seconds(30);  // At most until requests in flight have ended.

  // Scheduler.
  absl::Duration tick = absl::Milliseconds(100);  // Replies wake it earlier.
  absl::Duration hold_ttl = absl::Seconds(3);
  absl::Duration lease_ttl = absl::Seconds(10);
  absl::Duration command_validity = absl::Seconds(1);
  absl::Duration clock_error = absl::Milliseconds(250);
  int64_t worker_threads = 12;
};

// Every fault of `text` at once, or the settings.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& source);

// The whole file, or why it cannot be read.
Result<std::string> ReadFile(const std::string& path);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_SETTINGS_H_
