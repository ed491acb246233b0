// Places gangs, whose members start together or not at all.

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// The leader retries missing members of a gang for this share of the time that
// the placed members wait for them.
constexpr double kGangRetryShareOfWait = 0.6;

}  // namespace

bool JobScheduler::CompleteGang(ReadyStep& ready, Now now) {
  std::vector<int32_t> missing;
  int32_t run = 0;
  bool stopping = false;
  bool any_placed = false;
  for (int32_t i = 0; i < ready.spec->count; ++i) {
    const TaskState& task = ready.state->tasks[static_cast<size_t>(i)];
    if (task.phase == TaskPhase::kWaiting) {
      // The member may be running on a worker that has not been reached yet.
      if (WaitsForEarlierLease(ready, task, now)) return true;
      missing.push_back(i);
      continue;
    }
    any_placed = true;
    stopping = stopping || task.phase == TaskPhase::kStopping;
    run = std::max(run, task.run);
  }
  if (!any_placed) return false;
  const absl::Duration patience = options_.gang_wait * kGangRetryShareOfWait;
  const bool abandon =
      stopping || now.mono - ready.state->gang_started > patience;
  if (!abandon) {
    const std::vector<Worker*> usable = missing.empty()
                                            ? std::vector<Worker*>()
                                            : FindUsableWorkers(ready, now);
    for (const int32_t index : missing) {
      TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
      // A member whose run ended cannot join that run again.
      if (task.run >= run || task.retry_at > now.mono) continue;
      if (accounts_.usage.CountFits(ready.account, AccountCharge(*ready.spec),
                                    1) < 1)
        break;
      for (Worker* worker : usable) {
        if (CountFittingTasks(*worker, ready, UnreservedCapacity(*worker)) < 1)
          continue;
        StartTask(ready, index, run, *worker, now);
        break;
      }
    }
    return true;
  }
  StopGang(ready.IdAt(0), *ready.state);
  return true;
}

void JobScheduler::StopGang(const TaskId& member, const StepState& gang) {
  TaskId id = member;
  for (size_t i = 0; i < gang.tasks.size(); ++i) {
    const TaskState& task = gang.tasks[i];
    if (task.worker.empty()) continue;
    const auto worker = workers_.find(task.worker);
    if (worker == workers_.end()) continue;
    id.index = static_cast<int32_t>(i);
    RequestStop(*worker->second, {id, task.run});
  }
}

void JobScheduler::PlaceGang(ReadyStep& ready, Now now) {
  if (ready.waiting < ready.spec->count)
    return;  // Some members may not start yet.
  // A gang is started as a whole, even if that exceeds the number of starts
  // left.
  if (starts_left_ <= 0) {
    placement_wanted_ = true;
    return;
  }
  struct GangPlace {
    Worker* worker;
    int32_t fits;
  };
  std::vector<GangPlace> places;
  int32_t total = 0;
  for (Worker* worker : FindUsableWorkers(ready, now)) {
    const int32_t fits =
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker));
    if (fits < 1) continue;
    places.push_back({worker, fits});
    total += fits;
  }
  if (total < ready.spec->count) {
    RecordBlocked(ready, ready.state->advice.calls_in_flight > 0
                             ? "waits for advice"
                             : AccountLedger::WaitReason(
                                   *ready.job, ready.exceeds_share,
                                   "no capacity for the whole gang on eligible "
                                   "workers"));
    return;
  }
  // Orders workers by rack if the gang prefers one, otherwise the fullest
  // worker first.
  std::map<std::string, int32_t> in_rack;
  for (const GangPlace& place : places)
    in_rack[place.worker->record.rack] += place.fits;
  const auto rank = [&](const GangPlace& place) {
    const std::string& rack = place.worker->record.rack;
    const bool near = !ready.spec->rack.empty() && rack == ready.spec->rack;
    const int32_t whole =
        ready.spec->same_rack ? std::min(in_rack[rack], ready.spec->count) : 0;
    return std::make_tuple(!near, -whole, ready.spec->same_rack ? rack : "",
                           place.worker->free.cpu_milli,
                           place.worker->record.id);
  };
  std::sort(places.begin(), places.end(),
            [&](const GangPlace& a, const GangPlace& b) {
              return rank(a) < rank(b);
            });
  int32_t run = FirstRunOfEpoch(epoch_);
  std::string checkpoint;
  for (const TaskState& task : ready.state->tasks) {
    run = std::max(run, task.run + 1);
    // The checkpoint of any member is valid for all members, and all members
    // must start from the same one.
    if (task.checkpoint > checkpoint) checkpoint = task.checkpoint;
  }
  ready.state->gang_started = now.mono;
  ready.state->reserved.clear();
  int32_t index = 0;
  for (const GangPlace& place : places) {
    for (int32_t i = 0; i < place.fits && index < ready.spec->count; ++i) {
      ready.state->tasks[static_cast<size_t>(index)].checkpoint = checkpoint;
      StartTask(ready, index, run, *place.worker, now);
      if (IsSuspectTask(ready, ready.state->tasks.front()))
        PutOnProbation(ready, index, *place.worker, now);
      ++index;
    }
  }
}

}  // namespace keelbridge
