// Continuously checks every node of a soak test with client calls. Each node
// has threads of its own, so that a node that does not answer does not delay
// the checks of the others. They check:
//
// - the configuration version by which the node serves (`ConfigurationCheck`);
// - that the node never answers 410 or 404 for an accepted job that was not
//   cancelled.
//
//   SoakMonitor monitor(cluster, node_disturbances, configurations, jobs,
//                       record, nodes, seed);
//   ...
//   monitor.Stop();

#ifndef KEELBRIDGE_TESTING_SUPPORT_SOAK_MONITOR_H_
#define KEELBRIDGE_TESTING_SUPPORT_SOAK_MONITOR_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include "testing/support/configuration_check.h"
#include "testing/support/node_disturbances.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/soak_jobs.h"
#include "testing/support/soak_record.h"

namespace keelbridge::testing {

// The timeout and frequency of a client's calls about jobs.
struct JobClientOptions;

class SoakMonitor {
 public:
  // The referenced objects must outlive this one.
  SoakMonitor(SiteTestCluster& cluster, NodeDisturbances& node_disturbances,
              ConfigurationCheck& configurations, SoakJobs& jobs,
              SoakRecord& record, int nodes, uint64_t seed);
  ~SoakMonitor() { Stop(); }
  SoakMonitor(const SoakMonitor&) = delete;
  SoakMonitor& operator=(const SoakMonitor&) = delete;

  void Stop();
  // Queries `node` about `job` with a long timeout, and records a violation if
  // the node does not know a job that it must know.
  void CheckJobAtEnd(int node, uint64_t job);
  size_t read_calls() const { return read_calls_; }

 private:
  void AddJobClient(int node, uint64_t seed, const JobClientOptions& options);
  void CheckJob(HttpClient& client, int node, uint64_t job,
                absl::Duration timeout);
  // Sleeps for `time` or until `Stop` is called.
  void Sleep(absl::Duration time) const;
  void MonitorConfiguration(int node);
  void CheckConfiguration(int node);
  // Returns the version by which the node serves, 0 if it refuses calls for
  // lack of a current configuration, or nullopt if its replies do not show it.
  std::optional<int64_t> FindServedVersion(int node, int64_t newest);

  SiteTestCluster& cluster_;
  NodeDisturbances& node_disturbances_;
  ConfigurationCheck& configurations_;
  SoakJobs& jobs_;
  SoakRecord& record_;
  std::atomic<bool> stopped_{false};
  std::atomic<size_t> read_calls_{0};
  std::vector<std::thread> threads_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_MONITOR_H_
