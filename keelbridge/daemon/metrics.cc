#include "keelbridge/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace keelbridge {
namespace {

const prometheus::Histogram::BucketBoundaries& Buckets() {
  static const auto* buckets = new prometheus::Histogram::BucketBoundaries{
      0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10};
  return *buckets;
}

}  // namespace

class Metrics::Impl {
 public:
  explicit Impl(const std::string& daemon)
      : prefix("keelbridge_" + daemon + "_") {}

  const std::string prefix;
  prometheus::Registry registry;
};

Metrics::Metrics(const std::string& daemon)
    : impl_(std::make_unique<Impl>(daemon)) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const MetricLabels& labels,
                    double by) {
  prometheus::BuildCounter()
      .Name(impl_->prefix + name)
      .Register(impl_->registry)
      .Add(labels)
      .Increment(by);
}

void Metrics::Set(const std::string& name, const MetricLabels& labels,
                  double value) {
  prometheus::BuildGauge()
      .Name(impl_->prefix + name)
      .Register(impl_->registry)
      .Add(labels)
      .Set(value);
}

void Metrics::Observe(const std::string& name, const MetricLabels& labels,
                      double seconds) {
  prometheus::BuildHistogram()
      .Name(impl_->prefix + name)
      .Register(impl_->registry)
      .Add(labels, Buckets())
      .Observe(seconds);
}

std::string Metrics::Text() const {
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, impl_->registry.Collect());
  return out.str();
}

}  // namespace keelbridge
