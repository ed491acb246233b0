// Measures the latency that a gateway hop adds. Sends the same request to a
// runner directly and through a gateway, alternating between the two, on
// keep-alive connections.
//
//   keelbridge-hop --requests=2000

#include <algorithm>
#include <cstdio>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "testing/support/zone_test_cluster.h"

ABSL_FLAG(int, requests, 2000, "number of requests on each path");

namespace keelbridge::testing {
namespace {

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

int Run() {
  ZoneTestCluster::Options options;
  options.runner_work_ms = 0;
  ZoneTestCluster cluster(options);
  cluster.Publish();
  HttpClient direct(
      ParseAddress(cluster.PlatformAddress() + "/runner/t0").value(),
      HttpClient::Options());
  HttpClient gateway(ParseAddress(cluster.GatewayAddress(0)).value(),
                     HttpClient::Options());
  std::vector<double> direct_ms;
  std::vector<double> gateway_ms;
  for (int i = 0; i < absl::GetFlag(FLAGS_requests); ++i) {
    const HttpRequest request{"GET", "/licence/1", {}, "", ""};
    const absl::Time start = absl::Now();
    (void)direct.Send(request, absl::Seconds(5));
    const absl::Time middle = absl::Now();
    (void)gateway.Send(request, absl::Seconds(5));
    direct_ms.push_back(absl::ToDoubleMilliseconds(middle - start));
    gateway_ms.push_back(absl::ToDoubleMilliseconds(absl::Now() - middle));
  }
  std::printf(
      "median of %d: direct %.3f ms, through a gateway %.3f ms, the hop adds "
      "%.3f ms\n",
      absl::GetFlag(FLAGS_requests), Median(direct_ms), Median(gateway_ms),
      Median(gateway_ms) - Median(direct_ms));
  return 0;
}

}  // namespace
}  // namespace keelbridge::testing

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return keelbridge::testing::Run();
}
