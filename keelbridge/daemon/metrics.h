// Counters, gauges and histograms of a daemon, exported as Prometheus text at
// its `/metrics`.
//
//   Metrics metrics("gateway");
//   metrics.Count("requests_total", {{"verdict", "Ran"}});
//   std::string text = metrics.Text();

#ifndef KEELBRIDGE_DAEMON_METRICS_H_
#define KEELBRIDGE_DAEMON_METRICS_H_

#include <map>
#include <memory>
#include <string>

namespace keelbridge {

using MetricLabels = std::map<std::string, std::string>;

// Thread-safe. Metric names are prefixed with "keelbridge_<daemon>_".
class Metrics {
 public:
  explicit Metrics(const std::string& daemon);
  ~Metrics();

  void Count(const std::string& name, const MetricLabels& labels,
             double by = 1);
  void Set(const std::string& name, const MetricLabels& labels, double value);
  // Adds a duration to a histogram with buckets from 0.1 ms to 10 s.
  void Observe(const std::string& name, const MetricLabels& labels,
               double seconds);

  std::string Text() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_METRICS_H_
