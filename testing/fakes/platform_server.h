// An HTTP server on one port with fakes of the log, the host list, and the
// workers and runners of a configuration.
//
//   /log/append?stream=S
//   /log/read?stream=S&from=N&most=M
//   /hosts                      leaving hosts, after a delay:
//                               {"leaving": ["w1"]}
//   /worker/NAME/hold|start|stop
//   /runner/NAME/SERVICE/...    a target with slots, connections, and delayed
//                               or truncated responses
//   POST /control               sets the faults of a part:
//                               {"part": "log", "down": true, ...}
//   GET /journal                observed events, one JSON object per line
//
// Parts are "log", "hosts", "worker/NAME" and "runner/NAME". Their faults are:
//
//   down            no complete response
//   delay_ms        the request is handled after this delay
//   lose_answers    the request takes effect, but gets no complete response
//   cut_off         truncated responses (runners only)
//   refuse          all requests are refused (runners only)

#ifndef KEELBRIDGE_TESTING_FAKES_PLATFORM_SERVER_H_
#define KEELBRIDGE_TESTING_FAKES_PLATFORM_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/transport/http_server.h"
#include "testing/fakes/fake_log.h"
#include "testing/fakes/fake_worker.h"

namespace keelbridge::testing {

struct Faults {
  bool down = false;
  bool lose_answers = false;
  bool cut_off = false;
  bool refuse = false;
  int64_t delay_ms = 0;
};

// Thread-safe.
class PlatformServer {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    int port = 0;
    size_t max_threads = 400;
    absl::Duration host_list_lag = absl::Seconds(1);
    absl::Duration log_retention = absl::Hours(1);
    double max_appends_per_second = 100;
    int64_t runner_work_ms = 2;  // Service time of a runner.
  };

  explicit PlatformServer(Options options);
  ~PlatformServer();

  // Adds fakes of the workers and targets of `configuration`.
  void Serve(const Configuration& configuration);
  Result<int> Start();
  void Stop();

  void SetFaults(const std::string& part, const Faults& faults);
  // Marks a worker or target as leaving. The host list includes it after
  // `host_list_lag`.
  void SetLeaving(const std::string& host, bool leaving);
  // Returns the journal as JSON objects:
  //   {"kind": "run", "begins", "worker", "task", ...}
  //   {"kind": "request", "id", "attempt", ...}
  std::vector<std::string> Journal() const;
  int64_t LogAppends() const;

 private:
  struct Runner {
    int64_t slots = 0;
    int64_t busy = 0;
    int64_t max_busy = 0;
  };

  ServerResponse Handle(const ServerRequest& request);
  ServerResponse HandleLog(const ServerRequest& request);
  ServerResponse HandleWorker(const std::string& name, const std::string& verb,
                              const ServerRequest& request);
  ServerResponse HandleRunner(const std::string& name, const std::string& path,
                              const ServerRequest& request);
  ServerResponse HandleControl(const ServerRequest& request);
  ServerResponse HandleHosts();
  Faults FaultsFor(const std::string& part) const;
  void AddToJournal(const Json::Value& line);

  const Options options_;
  mutable absl::Mutex mutex_;
  FakeLog log_ ABSL_GUARDED_BY(mutex_);
  absl::Time next_append_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Runner> runners_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, absl::Time> leaving_
      ABSL_GUARDED_BY(mutex_);  // Start times by host.
  std::map<std::string, Faults> faults_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> journal_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_incarnation_ ABSL_GUARDED_BY(mutex_) = 1;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_PLATFORM_SERVER_H_
