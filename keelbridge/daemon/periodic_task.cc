#include "keelbridge/daemon/periodic_task.h"

#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <utility>

#include "keelbridge/base/logging.h"

namespace keelbridge {
namespace {

using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

// State shared by an actor and its handle.
struct TaskState {
  std::string name;
  std::chrono::nanoseconds period;
  std::function<void()> step;
  std::atomic<bool> wake_pending{false};
};

void RunStep(TaskState& state) {
  try {
    state.step();
  } catch (const std::exception& e) {
    LogEvent(Severity::kError, "duty_failed",
             {{"duty", state.name}, {"what", e.what()}});
  }
}

caf::behavior TaskBehavior(caf::event_based_actor* self,
                           const std::shared_ptr<TaskState>& state) {
  self->send(self, TickAtom::value);
  return {
      [=](TickAtom) {
        RunStep(*state);
        self->delayed_send(self, state->period, TickAtom::value);
      },
      [=](WakeAtom) {
        state->wake_pending = false;
        RunStep(*state);
      },
      [=](StopAtom) { self->quit(); },
  };
}

class ActorTask : public PeriodicTask {
 public:
  ActorTask(caf::actor actor, std::shared_ptr<TaskState> state)
      : actor_(std::move(actor)), state_(std::move(state)) {}

  void Wake() override {
    if (!state_->wake_pending.exchange(true))
      caf::anon_send(actor_, WakeAtom::value);
  }
  const caf::actor& actor() const { return actor_; }

 private:
  const caf::actor actor_;
  const std::shared_ptr<TaskState> state_;
};

}  // namespace

class PeriodicTaskRunner::Impl {
 public:
  Impl() : config_(MakeConfig()), system_(*config_) {}

  PeriodicTask* Start(const std::string& name, absl::Duration period,
                      std::function<void()> step) {
    auto state = std::make_shared<TaskState>();
    state->name = name;
    state->period = absl::ToChronoNanoseconds(period);
    state->step = std::move(step);
    caf::actor actor = system_.spawn<caf::detached>(TaskBehavior, state);
    tasks_.push_back(
        std::make_unique<ActorTask>(std::move(actor), std::move(state)));
    return tasks_.back().get();
  }

  void Stop() {
    for (const auto& task : tasks_)
      caf::anon_send(task->actor(), StopAtom::value);
    tasks_.clear();
    system_.await_all_actors_done();
  }

 private:
  static std::unique_ptr<caf::actor_system_config> MakeConfig() {
    auto config = std::make_unique<caf::actor_system_config>();
    // Tasks are detached actors, so the shared thread pool is unused.
    config->set("scheduler.max-threads", 1);
    return config;
  }

  std::unique_ptr<caf::actor_system_config> config_;
  caf::actor_system system_;
  std::vector<std::unique_ptr<ActorTask>> tasks_;
};

PeriodicTaskRunner::PeriodicTaskRunner() : impl_(std::make_unique<Impl>()) {}
PeriodicTaskRunner::~PeriodicTaskRunner() { impl_->Stop(); }
PeriodicTask* PeriodicTaskRunner::Start(const std::string& name,
                                        absl::Duration period,
                                        std::function<void()> step) {
  return impl_->Start(name, period, std::move(step));
}
void PeriodicTaskRunner::Stop() { impl_->Stop(); }

}  // namespace keelbridge
