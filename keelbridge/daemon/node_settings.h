// What a node of a site is told when it starts, in the product's own form: JSON
// with comments, checked whole before anything runs. Unknown members are passed
// over, since deployments add some.
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
#include "keelbridge/transport/address.h"

namespace keelbridge {

struct NodeSettings {
  std::string name;
  std::string zone;
  Address client_listen;  // Clients' requests.
  Address ready_listen;   // The balancer's question whether this node is ready.
  Address peer_listen;    // Other nodes.
  // Where other nodes reach this one; port 0: where it listens for them.
  Address peer_announce;
  Address metrics_listen;          // Port 0: no metrics are served.
  std::vector<std::string> seeds;  // "ip:port" of nodes; only the ip is used.
  Address store;
  int64_t store_append_bytes = 1 << 20;  // That the store takes in one append.
  Address advice;                        // Port 0: there is none.
  std::string trace_file;                // Spans as OTLP/JSON lines; "": none.
  Severity log_level = Severity::kInfo;
  int64_t max_connections = 1500;  // Of clients.
  // What this machine gives the node: a share of a processor, how fast that
  // processor is (1: as the measurements were made on), and its network link.
  double processor_share = 1;
  double processor_speed = 1;
  // Workers whose orders a leader carries itself, for each processor that it
  // has; see OrderRouting.
  double direct_workers_per_processor = 900;
  double link_mbps = 1000;

  absl::Duration lease = absl::Seconds(6);
  absl::Duration gang_wait = absl::Seconds(3);
  absl::Duration ended_kept = absl::Seconds(120);
  absl::Duration stop_grace = absl::Seconds(6);  // From SIGTERM to SIGKILL.

  // All on, but for what the member "switched_off" names.
  SchedulerPolicy policy;

  std::string PeerAddress() const;
  // What this node can spend on leading a site, in processors: a leader that
  // uses a whole processor fills a link of some 45 Mbit/s (docs/CAPACITY.md).
  double Capacity() const;
};

// Every fault of `text` at once, or the settings.
Result<NodeSettings> ParseNodeSettings(const std::string& text,
                                       const std::string& source);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_NODE_SETTINGS_H_
