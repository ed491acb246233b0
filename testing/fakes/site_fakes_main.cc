// keelbridge-site-fakes runs the fake platform as a process, for the
// quickstart.
//
//   keelbridge-site-fakes --workers=6 --ready_file=platform.json
//
// Writes the addresses of its store and its advice service to --ready_file. On
// SIGTERM or SIGINT it prints the guarantees that its workers saw violated, and
// exits with 1 if there are any.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "testing/fakes/site_platform.h"

ABSL_FLAG(int, workers, 6, "workers");
ABSL_FLAG(int, cpu_milli, 16000,
          "CPU capacity of a worker, in thousandths of a processor");
ABSL_FLAG(bool, advice, true, "tasks need advice");
ABSL_FLAG(absl::Duration, start_duration, absl::ZeroDuration(),
          "how long a worker takes for a start, one after the other");
ABSL_FLAG(absl::Duration, first_worker_slow_after, absl::InfiniteDuration(),
          "time after which the first worker takes ten times as long");
ABSL_FLAG(
    std::string, ready_file, "",
    "file for the addresses of the services, written once they are ready");

// Largest append in one call that the production store accepts.
constexpr size_t kMaxAppendBytes = 2 << 20;

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context loop;
  keelbridge::testing::SitePlatform::Options options;
  options.workers = absl::GetFlag(FLAGS_workers);
  options.capacity.cpu_milli = absl::GetFlag(FLAGS_cpu_milli);
  options.advice = absl::GetFlag(FLAGS_advice);
  options.start_duration = absl::GetFlag(FLAGS_start_duration);
  options.first_worker_slow_after =
      absl::GetFlag(FLAGS_first_worker_slow_after);
  keelbridge::testing::SitePlatform platform(loop, options);
  platform.store().SetMaxAppendBytes(kMaxAppendBytes);
  platform.PublishConfiguration(1);
  std::ofstream(absl::GetFlag(FLAGS_ready_file))
      << "{\"store\": \"" << platform.store_address().ToString()
      << "\", \"advice\": \"" << platform.advice_address().ToString()
      << "\"}\n";
  boost::asio::signal_set stop(loop, SIGTERM, SIGINT);
  stop.async_wait([&loop](boost::system::error_code, int) { loop.stop(); });
  loop.run();
  std::cout << platform.runs().size() << " runs, "
            << platform.violations().size() << " violated guarantees\n";
  for (const std::string& violation : platform.violations())
    std::cout << violation << "\n";
  return platform.violations().empty() ? 0 : 1;
}
