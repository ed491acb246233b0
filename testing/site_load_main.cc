// keelbridge-site-load: submits jobs to the nodes of a site on the fake
// platform at a steady rate. Prints the response statuses and latencies, and
// the processor time that the given processes used.
//
//   build/keelbridge-site-load --nodes=127.0.0.11:18161,127.0.0.12:18161
//       --jobs_per_second=140 --length=20s --pids=4711,4712
//
// Jobs are sent at the given rate whether or not earlier calls were answered.
// Of every 25 jobs, one has many long tasks, two are of medium size and the
// others are short, as on a busy day of a site.

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/transport/event_http_client.h"
#include "testing/fakes/site_platform.h"

ABSL_FLAG(std::vector<std::string>, nodes, {}, "client addresses of the nodes");
ABSL_FLAG(double, jobs_per_second, 50, "jobs submitted per second");
ABSL_FLAG(absl::Duration, length, absl::Seconds(10), "duration of the load");
ABSL_FLAG(std::vector<std::string>, pids, {},
          "ids of the processes whose processor time is measured");
ABSL_FLAG(int, wide_steps, 0,
          "if positive, first submits one job of so many steps of 1,000 small "
          "tasks each");
ABSL_FLAG(uint64_t, first_job, 1, "number of the first job");

namespace {

using keelbridge::EventHttpClient;
using keelbridge::HttpOutcome;
using keelbridge::HttpRequest;

constexpr absl::Duration kCallTimeout = absl::Seconds(3);
constexpr absl::Duration kTickInterval = absl::Milliseconds(5);
constexpr uint64_t kMixPeriod = 25;

std::string JobBody(uint64_t number) {
  const uint64_t position = number % kMixPeriod;
  const int tasks = position == 0 ? 20 : position < 3 ? 25 : 3;
  const int cpu = position == 0 ? 18000 : position < 3 ? 6900 : 9900;
  const int work_ms = position == 0 ? 6200 : position < 3 ? 2200 : 640;
  return absl::StrCat("{\"taskSpec\":\"[{\\\"cpu\\\":", cpu,
                      ",\\\"memory\\\":1024,\\\"work_ms\\\":", work_ms,
                      "}]\",\"steps\":[{\"count\":", tasks, ",\"cpu\":", cpu,
                      ",\"memoryRequestMb\":1024,\"estimatedMs\":", work_ms,
                      "}]}");
}

constexpr int kWideStepTasks = 1000;

// A job of steps that are all due at once, of tasks that outlast the load.
std::string WideJobBody(int steps) {
  std::string plans;
  std::string specs;
  for (int i = 0; i < steps; ++i) {
    absl::StrAppend(&plans, i > 0 ? "," : "",
                    "{\\\"cpu\\\":20,\\\"memory\\\":1,\\\"work_ms\\\":600000}");
    absl::StrAppend(&specs, i > 0 ? "," : "", "{\"count\":", kWideStepTasks,
                    ",\"cpu\":20,\"memoryRequestMb\":1,"
                    "\"estimatedMs\":600000}");
  }
  return absl::StrCat("{\"taskSpec\":\"[", plans, "]\",\"steps\":[", specs,
                      "]}");
}

// Returns the processor time in seconds that a process has used so far, or 0 if
// it cannot be read.
double ProcessorSeconds(const std::string& pid) {
  std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  const size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return static_cast<double>(user + system) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

class LoadGenerator {
 public:
  explicit LoadGenerator(boost::asio::io_context& loop) : timer_(loop) {
    for (const std::string& node : absl::GetFlag(FLAGS_nodes)) {
      EventHttpClient::Options options;
      options.max_connections = 64;
      auto address = keelbridge::ParseAddress(node);
      if (!address) {
        std::cerr << address.error().message << "\n";
        std::exit(2);
      }
      nodes_.push_back(
          std::make_unique<EventHttpClient>(loop, address.value(), options));
    }
  }

  void Start() {
    start_time_ = keelbridge::SystemNow().mono;
    const int wide_steps = absl::GetFlag(FLAGS_wide_steps);
    if (wide_steps > 0)
      Submit(absl::GetFlag(FLAGS_first_job), WideJobBody(wide_steps));
    Tick();
  }

  void Print() const {
    for (const auto& [status, count] : answers_)
      std::cout << "status " << status << ": " << count << "\n";
    std::vector<double> sorted = latencies_ms_;
    std::sort(sorted.begin(), sorted.end());
    if (sorted.empty()) return;
    std::cout << absl::StrFormat(
        "answers: half within %.1f ms, 99 of 100 within %.1f ms\n",
        sorted[sorted.size() / 2], sorted[sorted.size() * 99 / 100]);
  }

 private:
  void Tick() {
    const absl::Duration elapsed = keelbridge::SystemNow().mono - start_time_;
    const auto due = static_cast<uint64_t>(
        absl::ToDoubleSeconds(elapsed) * absl::GetFlag(FLAGS_jobs_per_second));
    while (sent_ < due) {
      const uint64_t number = absl::GetFlag(FLAGS_first_job) + sent_++;
      Submit(number, JobBody(number));
    }
    if (elapsed > absl::GetFlag(FLAGS_length)) return;
    timer_.expires_after(absl::ToChronoNanoseconds(kTickInterval));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) Tick();
    });
  }

  void Submit(uint64_t number, std::string body) {
    HttpRequest request;
    request.method = "POST";
    request.path = absl::StrCat(keelbridge::testing::kSitePrefix,
                                absl::Hex(number, absl::kZeroPad16));
    request.headers.emplace_back("Host", keelbridge::testing::kSiteHost);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = std::move(body);
    const absl::Time sent = keelbridge::SystemNow().mono;
    nodes_[number % nodes_.size()]->Send(
        std::move(request), kCallTimeout,
        [this, sent](const HttpOutcome& outcome) {
          ++answers_[outcome.response ? outcome.response->status : 0];
          latencies_ms_.push_back(
              absl::ToDoubleMilliseconds(keelbridge::SystemNow().mono - sent));
        });
  }

  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<EventHttpClient>> nodes_;
  absl::Time start_time_;
  uint64_t sent_ = 0;
  std::map<int, int64_t> answers_;
  std::vector<double> latencies_ms_;
};

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  boost::asio::io_context loop;
  LoadGenerator load(loop);
  std::map<std::string, double> before;
  for (const std::string& pid : absl::GetFlag(FLAGS_pids))
    before[pid] = ProcessorSeconds(pid);
  load.Start();
  loop.run_for(absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_length)));
  const double seconds = absl::ToDoubleSeconds(absl::GetFlag(FLAGS_length));
  for (const auto& [pid, used_before] : before) {
    std::cout << absl::StrFormat(
        "process %s: %.3f of a processor\n", pid,
        (ProcessorSeconds(pid) - used_before) / seconds);
  }
  load.Print();
  return 0;
}
