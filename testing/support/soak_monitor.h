// Callers that look at every node of a soak all the while, each node by threads
// of its own, so that one that does not answer hides no other:
//
// - by which configuration it serves: see ConfigurationCheck;
// - that it never answers 410 or 404 for an accepted job that nobody cancelled.
//
//   SoakMonitor watch(cell, touch, configurations, jobs, record, seed);
//   ...
//   watch.Stop();

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

// Who asks a node for jobs: how patiently, and how often.
struct JobClientOptions;

class SoakMonitor {
 public:
  // What is passed must outlive this.
  SoakMonitor(SiteTestCluster& cluster, NodeDisturbances& node_disturbances,
              ConfigurationCheck& configurations, SoakJobs& jobs,
              SoakRecord& record, int nodes, uint64_t seed);
  ~SoakMonitor() { Stop(); }
  SoakMonitor(const SoakMonitor&) = delete;
  SoakMonitor& operator=(const SoakMonitor&) = delete;

  void Stop();
  // Asks `node` for `job`, with patience; one that is called unknown is a
  // fault.
  void CheckJobAtEnd(int node, uint64_t job);
  size_t read_calls() const { return read_calls_; }

 private:
  void AddJobClient(int node, uint64_t seed, const JobClientOptions& options);
  void CheckJob(HttpClient& client, int node, uint64_t job,
                absl::Duration timeout);
  // For `time`, or until it is stopped.
  void Sleep(absl::Duration time) const;
  void MonitorConfiguration(int node);
  void CheckConfiguration(int node);
  // 0: by none; nullopt: no answer tells.
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
