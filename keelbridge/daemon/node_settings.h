// Settings of a node of a site. The settings file is JSON with comments and is
// validated completely before anything starts. Unknown members are ignored,
// because deployments add some.
//
//   Result<NodeSettings> settings = ParseNodeSettings(text, "node.json");

#ifndef KEELBRIDGE_DAEMON_NODE_SETTINGS_H_
#define KEELBRIDGE_DAEMON_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/base/result.h"
#include "keelbridge/coordination/scheduler_policy.h"
#include "keelbridge/coordination/start_window.h"
#include "keelbridge/membership/heartbeat_tree.h"
#include "keelbridge/transport/address.h"

namespace keelbridge {

struct NodeSettings {
  std::string name;
  std::string zone;
  Address client_listen;  // Serves clients' requests.
  Address ready_listen;   // Serves the balancer's readiness checks.
  Address peer_listen;    // Serves RPCs of other nodes.
  // Address at which other nodes reach this one; if its port is 0, peer_listen.
  Address peer_announce;
  Address metrics_listen;          // Port 0: no metrics are served.
  std::vector<std::string> seeds;  // "ip:port" of nodes; only the IP is used.
  Address store;
  int64_t store_append_bytes = 1 << 20;    // Store's limit for one append.
  int64_t store_record_bytes = 256 << 10;  // Store's limit for one record.
  Address advice;                          // Port 0: no advice service.
  std::string trace_file;  // File for spans as OTLP/JSON lines; "": no tracing.
  Severity log_level = Severity::kInfo;
  int64_t max_connections = 1500;  // Maximum number of client connections.
  // Resources of the node on this machine: its share of a processor, the speed
  // of that processor (1: that of the machine on which the capacity figures
  // were measured) and, as link_mbps, the bandwidth of its network link.
  double processor_share = 1;
  double processor_speed = 1;
  // Number of workers to which a leader sends orders directly, per processor of
  // its capacity; see OrderRouting.
  double direct_workers_per_processor = 900;
  double link_mbps = 1000;

  // Bounds the starts in flight to each worker.
  StartWindow::Options start_window;

  // Of the heartbeats between nodes.
  HeartbeatTree::Options heartbeat_tree;

  absl::Duration lease = absl::Seconds(6);
  absl::Duration gang_wait = absl::Seconds(3);
  // How long a worker takes to stop a run, at most.
  absl::Duration stop_timeout = absl::Seconds(1);
  absl::Duration ended_retention = absl::Seconds(120);
  absl::Duration stop_grace = absl::Seconds(6);  // From SIGTERM to SIGKILL.

  // The members "switched_on" and "switched_off" name the mechanisms that
  // differ from their defaults. The latter takes precedence.
  SchedulerPolicy policy;

  std::string PeerAddress() const;
  // The capacity of this node for leading a site, in processors. The network
  // link limits it too: a leader that uses a whole processor fills a link of
  // about 45 Mbit/s (docs/CAPACITY.md).
  double Capacity() const;
};

// Parses the settings in `text`, which came from the file `source`. On failure
// the error lists all faults of `text`.
Result<NodeSettings> ParseNodeSettings(const std::string& text,
                                       const std::string& source);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_NODE_SETTINGS_H_
