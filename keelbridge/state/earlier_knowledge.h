// What earlier leaders of a site may know of the ends of a step's tasks.
//
// A leader that was replaced without having learned of it, for example in a
// zone that is cut off, goes on for some seconds: once it takes a step for
// done, it starts the steps that depend on it. The leader after it must not
// start these as well while it does not reach all workers. It knows that the
// earlier leader has not begun them if that leader cannot have learned of one
// of the ends that make the step done.
//
// A worker that has answered this leader accepts no call of an earlier one. So
// an earlier leader cannot learn of the end of a run that this leader found
// running there, or started, before that end.
//
//   EarlierKnowledge earlier;
//   earlier.OnEnd(spec, step.tasks, {end, worker_id, EndSource::kWorker});
//   if (!earlier.MayTakeStepForDone()) StartDependentSteps();

#ifndef KEELBRIDGE_STATE_EARLIER_KNOWLEDGE_H_
#define KEELBRIDGE_STATE_EARLIER_KNOWLEDGE_H_

#include <string>
#include <vector>

#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

struct TaskState;

// Who told this leader of an end.
enum class EndSource {
  kWorker,         // The worker, in an answer to this leader.
  kEarlierLeader,  // An earlier leader, which has stopped.
};

// An end, as this leader learned of it.
struct LearnedEnd {
  const EndedTask& end;
  const std::string& worker;  // The id of the worker of the run.
  EndSource source;
};

class EarlierKnowledge {
 public:
  // Must be called for each end that makes one task or a whole gang of a step
  // done, before it changes `tasks`, which are all tasks of the step.
  void OnEnd(const StepSpec& spec, const std::vector<TaskState>& tasks,
             const LearnedEnd& learned);

  // Returns whether an earlier leader may take the step for done. If not, no
  // earlier leader has started a step that depends on it.
  bool MayTakeStepForDone() const { return !lacks_an_end_; }

 private:
  // A step is done once all its tasks are, or for a gang once one of them is.
  // So one missing end is enough for the first, and must stand for all members
  // in the second case.
  bool lacks_an_end_ = false;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_EARLIER_KNOWLEDGE_H_
