#include "keelbridge/state/earlier_knowledge.h"

#include <algorithm>

#include "keelbridge/state/job_table.h"

namespace keelbridge {
namespace {

// Returns whether this leader started the run of the task, or found it running.
bool IsObservedRun(const TaskState& task, int32_t run) {
  return task.observed && task.run == run;
}

// Returns whether no earlier leader can have learned that the task, or for a
// gang any of its members, is done.
bool IsUnknownToEarlier(const StepSpec& spec,
                        const std::vector<TaskState>& tasks,
                        const LearnedEnd& learned) {
  // An earlier leader that has told of the end knows it.
  if (learned.source != EndSource::kWorker) return false;
  // A copy elsewhere may have made the task done before.
  if (spec.duplicates) return false;
  const EndedTask& end = learned.end;
  const TaskState& task = tasks[static_cast<size_t>(end.task.index)];
  if (!IsObservedRun(task, end.run) || task.worker != learned.worker)
    return false;
  if (!spec.gang) return true;
  // The end of any member makes the gang done. An earlier leader may hear it
  // from a member that this leader has not found running.
  return std::all_of(tasks.begin(), tasks.end(), [&](const TaskState& member) {
    return IsObservedRun(member, end.run);
  });
}

}  // namespace

void EarlierKnowledge::OnEnd(const StepSpec& spec,
                             const std::vector<TaskState>& tasks,
                             const LearnedEnd& learned) {
  lacks_an_end_ = lacks_an_end_ || IsUnknownToEarlier(spec, tasks, learned);
}

}  // namespace keelbridge
