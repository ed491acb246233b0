#include "keelbridge/state/earlier_knowledge.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "keelbridge/state/job_table.h"

namespace keelbridge {
namespace {

constexpr int32_t kRun = 3;

// A step of two tasks that run as `kRun` on the workers "w0" and "w1".
struct RunningStep {
  RunningStep() : tasks(2) {
    spec.count = 2;
    for (size_t i = 0; i < tasks.size(); ++i) {
      tasks[i].phase = TaskPhase::kRunning;
      tasks[i].run = kRun;
      tasks[i].observed = true;
      tasks[i].worker = "w" + std::to_string(i);
    }
  }

  // Returns whether an earlier leader may take the step for done after the end
  // of the task, of which this leader learned from `source`.
  bool MayBeKnownAfterEnd(int32_t index, int32_t run = kRun,
                          EndSource source = EndSource::kWorker) const {
    const EndedTask end{1, {7, 0, 0, index}, run, RunEnd::kDone, ""};
    EarlierKnowledge earlier;
    earlier.OnEnd(spec, tasks, {end, "w" + std::to_string(index), source});
    return earlier.MayTakeStepForDone();
  }

  StepSpec spec;
  std::vector<TaskState> tasks;
};

TEST_CASE("earlier knowledge: without an end the step may be known as done") {
  CHECK(EarlierKnowledge().MayTakeStepForDone());
}

TEST_CASE("earlier knowledge: the end of an observed run is unknown") {
  CHECK_FALSE(RunningStep().MayBeKnownAfterEnd(0));
}

// The step is done only with both tasks, so one missing end suffices.
TEST_CASE("earlier knowledge: one observed task of a step is enough") {
  RunningStep step;
  step.tasks[1].observed = false;
  CHECK_FALSE(step.MayBeKnownAfterEnd(0));
  CHECK(step.MayBeKnownAfterEnd(1));
}

// Guards against taking the end of one member for that of a gang of which other
// members run where only an earlier leader hears them.
TEST_CASE("earlier knowledge: of a gang all members must be observed") {
  RunningStep step;
  step.spec.gang = true;
  CHECK_FALSE(step.MayBeKnownAfterEnd(0));
  step.tasks[1].observed = false;
  CHECK(step.MayBeKnownAfterEnd(0));
}

TEST_CASE("earlier knowledge: a gang must be observed in the run that ended") {
  RunningStep step;
  step.spec.gang = true;
  step.tasks[1].run = kRun - 1;
  CHECK(step.MayBeKnownAfterEnd(0));
}

TEST_CASE("earlier knowledge: the end of another run may be known") {
  CHECK(RunningStep().MayBeKnownAfterEnd(0, kRun - 1));
}

TEST_CASE(
    "earlier knowledge: the end of a run on another worker may be known") {
  RunningStep step;
  step.tasks[0].worker = "elsewhere";
  CHECK(step.MayBeKnownAfterEnd(0));
}

TEST_CASE("earlier knowledge: an end that an earlier leader told is known") {
  CHECK(RunningStep().MayBeKnownAfterEnd(0, kRun, EndSource::kEarlierLeader));
}

// Another copy may have ended where only an earlier leader hears it.
TEST_CASE("earlier knowledge: the end of one of several copies may be known") {
  RunningStep step;
  step.spec.duplicates = true;
  CHECK(step.MayBeKnownAfterEnd(0));
}

TEST_CASE("earlier knowledge: what is unknown once stays unknown") {
  const RunningStep step;
  const EndedTask end{1, {7, 0, 0, 0}, kRun, RunEnd::kDone, ""};
  EarlierKnowledge earlier;
  earlier.OnEnd(step.spec, step.tasks, {end, "w0", EndSource::kWorker});
  earlier.OnEnd(step.spec, step.tasks, {end, "w0", EndSource::kEarlierLeader});
  CHECK_FALSE(earlier.MayTakeStepForDone());
}

}  // namespace
}  // namespace keelbridge
