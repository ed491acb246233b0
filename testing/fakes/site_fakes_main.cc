// keelbridge-site-fakes: the platform stand-in as a process, for the
// quickstart.
//
//   keelbridge-site-fakes --workers=6 --ready_file=platform.json
//
// Writes where its store and its advice listen, and ends on SIGTERM with 1 when
// its workers saw a promise broken.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "testing/fakes/site_platform.h"

ABSL_FLAG(int, workers, 6, "workers");
ABSL_FLAG(int, cpu_milli, 16000, "processors of a worker, in thousandths");
ABSL_FLAG(std::string, ready_file, "", "written once it serves");

// What the users' store takes in one call.
constexpr size_t kMaxAppendBytes = 2 << 20;

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context loop;
  keelbridge::testing::SitePlatform::Options options;
  options.workers = absl::GetFlag(FLAGS_workers);
  options.capacity.cpu_milli = absl::GetFlag(FLAGS_cpu_milli);
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
  std::cout << platform.runs().size() << " runs, " << platform.faults().size()
            << " broken promises\n";
  for (const std::string& fault : platform.faults()) std::cout << fault << "\n";
  return platform.faults().empty() ? 0 : 1;
}
