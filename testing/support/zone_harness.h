// Simulates a few schedulers, workers and a log on a virtual clock, for tests
// of specific failures.
//
// Messages take a few milliseconds and may be lost in either direction. The
// fakes that handle them are those behind the fake HTTP servers. One seed
// determines the whole simulation.
//
//   ZoneHarness zone({.schedulers = 2, .workers = 5, .seed = 7});
//   zone.Confirm({intent});
//   zone.RunFor(absl::Seconds(10));
//   zone.Kill(zone.Leader());

#ifndef KEELBRIDGE_TESTING_SUPPORT_ZONE_HARNESS_H_
#define KEELBRIDGE_TESTING_SUPPORT_ZONE_HARNESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/coordination/zone_scheduler.h"
#include "testing/fakes/fake_log.h"
#include "testing/fakes/fake_worker.h"
#include "testing/support/run_checker.h"

namespace keelbridge::testing {

// Safety mechanisms that a test can switch off, to show that the checks then
// detect a violation.
struct SafetyMechanisms {
  // Schedulers wait until leases of unresolved starts and of unresponsive
  // workers have expired for certain.
  bool wait_for_certainty = true;
  // Workers reject commands that arrive after their deadline.
  bool not_after = true;
  // Workers check the epoch of the hold, the leadership lease.
  bool epochs = true;
};

class ZoneHarness {
 public:
  struct Options {
    int schedulers = 2;
    int workers = 5;
    uint64_t seed = 1;
    Resources worker_size{16000, 32768, 0};
    // The maximum difference between a wall clock and the true time.
    absl::Duration clock_error = absl::Milliseconds(200);
    // The probability that a message or its reply is lost.
    double loss = 0;
    SafetyMechanisms mechanisms = {};
    absl::Duration step = absl::Milliseconds(20);
    absl::Duration log_retention = absl::InfiniteDuration();
    int64_t records_per_snapshot = 2000;
    bool trace = false;  // Prints all events and injected faults.
  };

  explicit ZoneHarness(Options options);

  void RunFor(absl::Duration time);
  // Runs until `done` returns true. Returns false if `timeout` passes first.
  bool RunUntil(const std::function<bool()>& done, absl::Duration timeout);

  // Returns the scheduler that leads, or -1 if there is none.
  int Leader() const;
  // Runs until a scheduler leads, has read its own leadership record, and still
  // leads 1 s later. Returns it, or -1 if there is none.
  int AwaitLeader();
  // Waits for a leader, then plans `intents` with it and confirms the plan.
  // Returns false if the plan is invalid or was not confirmed in time.
  bool Confirm(const std::vector<Intent>& intents);
  static Intent Batch(const std::string& id, int64_t tasks,
                      absl::Duration duration);
  static Intent Service(const std::string& id, int64_t tasks);

  // Publishes the same configuration with another policy.
  void SetPolicy(PolicyKind policy);
  void Kill(int scheduler);
  // Stops the scheduler as planned: it releases leadership, then ends.
  void HandOver(int scheduler);
  // Starts a new incarnation of the scheduler.
  void Start(int scheduler);
  // Suspends the scheduler. Messages to it are queued. When it resumes, it
  // first carries out the actions that it had decided before.
  void Pause(int scheduler);
  // Suspends the scheduler at the most critical moment: after it has decided on
  // a start, but before it sends the command.
  void PauseBeforeNextStart(int scheduler);
  bool Paused(int scheduler) const { return nodes_[scheduler].paused; }
  void Resume(int scheduler);
  void SetLogDown(bool down) { log_down_ = down; }
  // If set, appends take effect but are not answered.
  void SetLogLosesAnswers(bool loses) { log_loses_answers_ = loses; }
  // Drops all messages between a scheduler and a worker; with `one_way`, only
  // the worker's replies.
  void Cut(int scheduler, int worker, bool one_way);
  void Heal();
  void RestartWorker(int worker);
  // Suspends the worker. It carries out the messages that arrived in the
  // meantime, in random order, when it resumes.
  void PauseWorker(int worker);
  void ResumeWorker(int worker);

  ZoneScheduler& scheduler(int i) { return *nodes_[i].zone_scheduler; }
  bool alive(int i) const { return nodes_[i].zone_scheduler != nullptr; }
  int schedulers() const { return static_cast<int>(nodes_.size()); }
  int workers() const { return static_cast<int>(workers_.size()); }
  FakeWorker& worker(int i) { return *workers_[i].fake; }
  FakeLog& log() { return log_; }
  absl::Time now() const { return now_; }
  const std::vector<RunEvent>& run_events() const { return run_events_; }
  size_t Running() const;
  RunRules Rules() const;
  // Ends all tasks that are due and expired leases, then returns the violations
  // found in the workers' runs.
  std::vector<std::string> FindViolations();
  std::mt19937_64& random() { return random_; }
  // Prints a line when tracing.
  void Trace(const std::string& line) const;

 private:
  struct Node {
    std::unique_ptr<ZoneScheduler> zone_scheduler;
    uint64_t incarnation = 0;
    bool paused = false;
    bool was_leading = false;
    bool pause_before_start = false;
    absl::Duration wall_clock_error;
    std::vector<std::function<void()>> queued_events;  // Arrived while paused.
    absl::Time next_read;
  };
  struct Worker {
    std::unique_ptr<FakeWorker> fake;
    bool paused = false;
    absl::Duration wall_clock_error;
    std::vector<std::function<void()>> queued_events;
  };

  Now NodeNow(const Node& node) const {
    return {now_, now_ + node.wall_clock_error};
  }
  Now WorkerNow(const Worker& worker) const {
    return {now_, now_ + worker.wall_clock_error};
  }
  void ScheduleAt(absl::Time time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }
  absl::Duration Delay();
  bool Lost() { return std::bernoulli_distribution(options_.loss)(random_); }
  void Step();
  void ExecuteAction(int node, const Action& action);
  void SendAppend(int node, const SendAppend& append);
  // Runs `handle` on the worker, then `deliver` on the scheduler if it is
  // still the same incarnation.
  template <typename Reply>
  void Exchange(
      int node, const std::string& worker,
      std::function<Reply(FakeWorker&, Now)> handle,
      std::function<void(ZoneScheduler&, const std::optional<Reply>&, Now)>
          deliver);
  void RunOnNode(int node, uint64_t incarnation, std::function<void()> event);
  Configuration MakeConfiguration() const;

  const Options options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000000);
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<Node> nodes_;
  std::vector<Worker> workers_;
  FakeLog log_;
  bool log_down_ = false;
  bool log_loses_answers_ = false;
  std::map<std::pair<int, int>, bool> cuts_;  // Value: one way.
  std::vector<RunEvent> run_events_;
  std::set<std::string> may_overlap_;
  std::set<std::string> non_repeatable_;
  uint64_t next_incarnation_ = 1;
  int64_t version_ = 0;
  PolicyKind policy_ = PolicyKind::kWaitingFirst;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_ZONE_HARNESS_H_
