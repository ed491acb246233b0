// A test cluster of one zone of real processes: entry hosts with a gateway and
// a scheduler each, using the fake platform in the test process.
//
//   ZoneTestCluster cluster({.entry_hosts = 2});
//   cluster.Publish();
//   cluster.AwaitLeader();

#ifndef KEELBRIDGE_TESTING_SUPPORT_ZONE_TEST_CLUSTER_H_
#define KEELBRIDGE_TESTING_SUPPORT_ZONE_TEST_CLUSTER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "keelbridge/protocol/intent.h"
#include "keelbridge/transport/rpc_client.h"
#include "testing/fakes/platform_server.h"
#include "testing/support/child_process.h"
#include "testing/support/run_checker.h"

namespace keelbridge::testing {

// Polls until `done` returns true. Returns false after 60 s, a time that is
// only exceeded if the software under test has a fault.
bool Eventually(const std::function<bool()>& done);

class ZoneTestCluster {
 public:
  struct Options {
    int entry_hosts = 2;
    int workers = 5;
    int targets = 3;
    int64_t slots = 8;
    int64_t runner_work_ms = 2;
  };

  explicit ZoneTestCluster(Options options);
  ~ZoneTestCluster();

  // Appends the configuration, as an operator would.
  void Publish();
  // Starts or restarts a gateway, with all other gateways as its peers.
  void StartGateway(int host);
  void StartScheduler(int host);
  bool Ready(int host) const;
  // Returns the host whose scheduler leads, or -1 if there is none.
  int Leader() const;
  int AwaitLeader() const;

  // Plans the intents with the leader and confirms the plan.
  bool Confirm(const std::vector<Intent>& intents) const;
  HttpOutcome Send(int host, const HttpRequest& request,
                   absl::Duration timeout = absl::Seconds(10)) const;
  // Returns the entries of this kind in the platform's journal: "request",
  // "refused" or "run".
  std::vector<Json::Value> JournalEntries(
      const std::string& kind = "request") const;
  int CountRequests(const std::string& key, const std::string& value) const;
  std::vector<RunEvent> RunEvents() const;

  ChildProcess& gateway(int host) { return *hosts_[host].gateway; }
  ChildProcess& scheduler(int host) { return *hosts_[host].scheduler; }
  void RemoveScheduler(int host) { hosts_[host].scheduler.reset(); }
  std::string GatewayAddress(int host) const {
    return hosts_[host].gateway_address;
  }
  std::string SchedulerAddress(int host) const {
    return hosts_[host].scheduler_address;
  }
  PlatformServer& platform() { return *platform_; }
  const std::string& directory() const { return directory_; }
  std::string PlatformAddress() const;

 private:
  struct Host {
    std::unique_ptr<ChildProcess> gateway;
    std::unique_ptr<ChildProcess> scheduler;
    std::string gateway_address;
    std::string scheduler_address;
  };

  // Starts a daemon and returns the address on which it serves.
  std::string StartDaemon(const std::string& role, int host, int port,
                          std::unique_ptr<ChildProcess>* child);
  std::string ConfigurationText() const;

  const Options options_;
  std::string directory_;
  std::unique_ptr<PlatformServer> platform_;
  int platform_port_ = 0;
  std::vector<Host> hosts_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_ZONE_TEST_CLUSTER_H_
