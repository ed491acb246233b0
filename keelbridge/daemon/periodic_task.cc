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

// What an actor and its handle share.
struct DutyState {
  std::string name;
  std::chrono::nanoseconds period;
  std::function<void()> step;
  std::atomic<bool> wake_pending{false};
};

void RunStep(DutyState& state) {
  try {
    state.step();
  } catch (const std::exception& e) {
    LogEvent(Severity::kError, "duty_failed",
             {{"duty", state.name}, {"what", e.what()}});
  }
}

caf::behavior DutyActor(caf::event_based_actor* self,
                        const std::shared_ptr<DutyState>& state) {
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

class ActorDuty : public Duty {
 public:
  ActorDuty(caf::actor actor, std::shared_ptr<DutyState> state)
      : actor_(std::move(actor)), state_(std::move(state)) {}

  void Wake() override {
    if (!state_->wake_pending.exchange(true))
      caf::anon_send(actor_, WakeAtom::value);
  }
  const caf::actor& actor() const { return actor_; }

 private:
  const caf::actor actor_;
  const std::shared_ptr<DutyState> state_;
};

}  // namespace

class DutyHost::Impl {
 public:
  Impl() : config_(MakeConfig()), system_(*config_) {}

  Duty* Start(const std::string& name, absl::Duration period,
              std::function<void()> step) {
    auto state = std::make_shared<DutyState>();
    state->name = name;
    state->period = absl::ToChronoNanoseconds(period);
    state->step = std::move(step);
    caf::actor actor = system_.spawn<caf::detached>(DutyActor, state);
    duties_.push_back(
        std::make_unique<ActorDuty>(std::move(actor), std::move(state)));
    return duties_.back().get();
  }

  void Stop() {
    for (const auto& duty : duties_)
      caf::anon_send(duty->actor(), StopAtom::value);
    duties_.clear();
    system_.await_all_actors_done();
  }

 private:
  static std::unique_ptr<caf::actor_system_config> MakeConfig() {
    auto config = std::make_unique<caf::actor_system_config>();
    // Duties are detached; the shared pool has nothing to do.
    config->set("scheduler.max-threads", 1);
    return config;
  }

  std::unique_ptr<caf::actor_system_config> config_;
  caf::actor_system system_;
  std::vector<std::unique_ptr<ActorDuty>> duties_;
};

DutyHost::DutyHost() : impl_(std::make_unique<Impl>()) {}
DutyHost::~DutyHost() { impl_->Stop(); }
Duty* DutyHost::Start(const std::string& name, absl::Duration period,
                      std::function<void()> step) {
  return impl_->Start(name, period, std::move(step));
}
void DutyHost::Stop() { impl_->Stop(); }

}  // namespace keelbridge
