// A fake of one platform worker: holds (leadership leases), task leases that
// lapse, checkpoints and stops.
//
// The model reads no clock: callers pass the current time. `PlatformServer` and
// tests on a virtual clock therefore use the same code. The model reports the
// start and the end of each run to a journal.

#ifndef KEELBRIDGE_TESTING_FAKES_FAKE_WORKER_H_
#define KEELBRIDGE_TESTING_FAKES_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/protocol/worker_messages.h"

namespace keelbridge::testing {

// A journal entry: a task started or stopped running on a worker.
struct RunEvent {
  absl::Time at;  // Monotonic time, independent of the worker's wall clock.
  std::string worker;
  std::string task;
  int64_t attempt = 0;
  bool begins = false;
  Resources resources;
  std::string how;  // How the run ended: "finished", "failed", "checkpointed",
                    // "stopped", "lapsed" or "killed".
};

class FakeWorker {
 public:
  struct Options {
    std::string name;
    Resources total;
    absl::Duration checkpoint_time = absl::Milliseconds(200);
    // Disabled only by tests that verify that the run checker detects the
    // resulting violations.
    bool check_epoch = true;
    bool check_not_after = true;
    bool check_capacity = true;
  };

  FakeWorker(Options options, uint64_t incarnation, absl::Time started,
             std::function<void(const RunEvent&)> journal);

  HoldReply Hold(const HoldRequest& request, Now now);
  CommandReply Start(const StartRequest& request, Now now);
  CommandReply Stop(const StopRequest& request, Now now);
  // Advances the model to `mono`: leases lapse, tasks finish and checkpoints
  // complete.
  void Advance(absl::Time mono);
  // Simulates a restart of the host, which ends all runs and discards all
  // state.
  void Restart(uint64_t incarnation, absl::Time now);

  Resources used() const { return used_; }
  size_t running() const;
  const std::string& name() const { return options_.name; }

 private:
  struct Row {
    LeaseRow row;
    absl::Time lapse_time;
    absl::Time finish_time = absl::InfiniteFuture();
    absl::Time began;
    absl::Time checkpoint_done_time = absl::InfiniteFuture();
  };

  // Returns the reason to refuse a command, or an empty string.
  std::string RefusalReason(const std::string& holder, int64_t epoch,
                            int64_t not_after_ms, Now now,
                            bool needs_hold) const;
  void End(Row& row, LeaseState state, const std::string& how, absl::Time at);
  std::vector<LeaseRow> LeaseRows() const;

  const Options options_;
  const std::function<void(const RunEvent&)> journal_;
  uint64_t incarnation_;
  absl::Time started_;
  std::string holder_;
  int64_t epoch_ = 0;
  absl::Time hold_until_ = absl::InfinitePast();
  std::map<int64_t, Row> rows_;  // By attempt.
  Resources used_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_FAKE_WORKER_H_
