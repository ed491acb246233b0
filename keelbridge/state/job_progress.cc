#include "keelbridge/state/job_progress.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace keelbridge {
namespace {

// Returns which of the tasks `range` of `step` are done, as one hex digit for
// each four tasks. The first task is the lowest bit.
std::string FormatDoneBits(const StepState& step, const TaskRange& range) {
  static constexpr char kDigits[] = "0123456789abcdef";
  const size_t count = range.end - range.begin;
  std::string bits((count + 3) / 4, '0');
  for (size_t i = 0; i < count; ++i) {
    if (step.tasks[range.begin + i].phase != TaskPhase::kDone) continue;
    char& digit = bits[i / 4];
    const int value =
        absl::ascii_isdigit(digit) ? digit - '0' : digit - 'a' + 10;
    digit = kDigits[value | (1 << (i % 4))];
  }
  return bits;
}

// Marks the tasks of `step` that `in` lists as done. Returns false if `in` is
// not a valid bit string for `range`.
bool ReadDoneBits(const Json::Value& in, const TaskRange& range,
                  StepState* step) {
  if (!in.isString()) return false;
  const std::string bits = in.asString();
  const size_t count = range.end - range.begin;
  const size_t digits = (count + 3) / 4;
  if (bits.size() > digits) return false;
  for (size_t i = 0; i < bits.size() * 4; ++i) {
    const char digit = bits[i / 4];
    const bool is_letter = digit >= 'a' && digit <= 'f';
    if (!is_letter && !absl::ascii_isdigit(digit)) return false;
    const int value = is_letter ? digit - 'a' + 10 : digit - '0';
    if ((value >> (i % 4) & 1) == 0) continue;
    if (i >= count) return false;
    step->tasks[range.begin + i].phase = TaskPhase::kDone;
    ++step->done;
  }
  return true;
}

Json::Value CrashToJson(const CrashedRun& crash) {
  Json::Value out(Json::objectValue);
  out["run"] = crash.run;
  out["ran_ms"] = Json::Int64(crash.ran_ms);
  out["chance"] = crash.chance;
  if (crash.begun) out["begun"] = true;
  if (!crash.machine.empty()) out["machine"] = crash.machine;
  return out;
}

bool IsBoolOrMissing(const Json::Value& in, const char* key) {
  return !in.isMember(key) || in[key].isBool();
}

bool ReadCrash(const Json::Value& in, CrashedRun* crash) {
  const bool has_valid_types =
      in.isObject() && in["run"].isInt() && in["ran_ms"].isInt64() &&
      in["chance"].isNumeric() && IsBoolOrMissing(in, "begun") &&
      (!in.isMember("machine") || in["machine"].isString());
  if (!has_valid_types) return false;
  crash->run = in["run"].asInt();
  crash->ran_ms = in["ran_ms"].asInt64();
  crash->chance = in["chance"].asDouble();
  crash->begun = in["begun"].asBool();
  crash->machine = in["machine"].asString();
  return crash->chance >= 0 && crash->chance <= 1;
}

Json::Value CrashSuspectToJson(const CrashSuspect& crash_suspect) {
  Json::Value out(Json::objectValue);
  out["worker"] = crash_suspect.worker;
  out["run"] = crash_suspect.run;
  out["since_ms"] = Json::Int64(crash_suspect.since_ms);
  if (crash_suspect.ran_ms >= 0)
    out["ran_ms"] = Json::Int64(crash_suspect.ran_ms);
  if (crash_suspect.begun) out["begun"] = true;
  return out;
}

bool ReadCrashSuspect(const Json::Value& in, CrashSuspect* crash_suspect) {
  const bool has_valid_types =
      in.isObject() && in["worker"].isString() && in["run"].isInt() &&
      in["since_ms"].isInt64() &&
      (!in.isMember("ran_ms") || in["ran_ms"].isInt64()) &&
      IsBoolOrMissing(in, "begun");
  if (!has_valid_types) return false;
  crash_suspect->worker = in["worker"].asString();
  crash_suspect->run = in["run"].asInt();
  crash_suspect->since_ms = in["since_ms"].asInt64();
  crash_suspect->ran_ms = in.get("ran_ms", -1).asInt64();
  crash_suspect->begun = in["begun"].asBool();
  return true;
}

bool ReadUnanswered(const Json::Value& in, UnansweredStart* start) {
  const bool has_valid_types = in.isObject() && in["worker"].isString() &&
                               !in["worker"].asString().empty() &&
                               in["run"].isInt();
  if (!has_valid_types) return false;
  start->worker = in["worker"].asString();
  start->run = in["run"].asInt();
  if (in["until_clock"].isInt64() && in["until_ms"].isInt64())
    start->may_arrive_until =
        LeaderTime{in["until_clock"].asInt64(),
                   absl::FromUnixMillis(in["until_ms"].asInt64())};
  return true;
}

// Writes what is known of the tasks `range` of a step, apart from which are
// done, to members of `out`. Returns how many checkpoints were left out because
// they are longer than `max_checkpoint_bytes`.
int64_t WriteTasks(const Job& job, const StepState& step,
                   const TaskRange& range, size_t max_checkpoint_bytes,
                   Json::Value& out) {
  int64_t left_out = 0;
  for (size_t i = range.begin; i < range.end; ++i) {
    const TaskState& task = step.tasks[i];
    const std::string key = absl::StrCat(range.step, ".", i);
    for (const int32_t run : task.failed_runs)
      out["failed_runs"][key].append(run);
    for (const CrashedRun& crash : task.crashes)
      out["crashes"][key].append(CrashToJson(crash));
    if (!task.crash_suspect.worker.empty() && task.phase != TaskPhase::kDone)
      out["exposed"][key] = CrashSuspectToJson(task.crash_suspect);
    if (!task.unanswered.worker.empty() && task.phase != TaskPhase::kDone) {
      Json::Value& start = out["unanswered"][key];
      start["worker"] = task.unanswered.worker;
      start["run"] = task.unanswered.run;
      if (const auto& until = task.unanswered.may_arrive_until) {
        start["until_clock"] = Json::Int64(until->epoch);
        start["until_ms"] = Json::Int64(CeilToMillis(until->at));
      }
    }
    if (!task.checkpoint.empty() && task.phase == TaskPhase::kWaiting) {
      if (task.checkpoint.size() <= max_checkpoint_bytes)
        out["checkpoints"][key] = task.checkpoint;
      else
        ++left_out;
    }
    if (task.placed_on.empty() || !job.HasPersistedPlacements(range.step))
      continue;
    out["placed"][key].append(task.placed_on);
    out["placed"][key].append(task.run);
  }
  return left_out;
}

TaskState* FindTaskByKey(Round& round, const std::string& key) {
  const std::vector<std::string> parts = absl::StrSplit(key, '.');
  size_t step = 0;
  size_t index = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &step) ||
      !absl::SimpleAtoi(parts[1], &index))
    return nullptr;
  if (step >= round.steps.size() || index >= round.steps[step].tasks.size())
    return nullptr;
  return &round.steps[step].tasks[index];
}

// Reads the placements of a job that persists them. A placement that cannot be
// read must not be mistaken for a task that runs nowhere, so one such placement
// marks all placements of the job as not persisted.
void ReadPlacements(const Json::Value& in, Job* job, Round& round) {
  if (!in.isNull() && !in.isObject()) {
    job->placements_persisted = false;
    return;
  }
  for (const std::string& key : in.getMemberNames()) {
    const Json::Value& placed = in[key];
    TaskState* task = FindTaskByKey(round, key);
    const bool readable = task != nullptr && placed.isArray() &&
                          placed.size() == 2 && placed[0].isString() &&
                          placed[1].isInt();
    if (!readable) {
      job->placements_persisted = false;
      return;
    }
    task->placed_on = placed[0].asString();
    task->run = std::max(task->run, placed[1].asInt());
  }
}

bool IsObjectOrMissing(const Json::Value& in, const char* key) {
  return !in.isMember(key) || in[key].isObject();
}

bool HasTasks(const Json::Value& in) {
  return in.isObject() && IsObjectOrMissing(in, "failed_runs") &&
         IsObjectOrMissing(in, "crashes") && IsObjectOrMissing(in, "exposed") &&
         IsObjectOrMissing(in, "unanswered") &&
         IsObjectOrMissing(in, "checkpoints");
}

bool ReadDone(const Json::Value& done, Round& round) {
  if (!done.isArray() || done.size() > round.steps.size()) return false;
  for (Json::ArrayIndex s = 0; s < done.size(); ++s) {
    StepState& step = round.steps[s];
    if (!ReadDoneBits(done[s], {s, 0, step.tasks.size()}, &step)) return false;
  }
  return true;
}

bool ReadFailedRuns(const Json::Value& in, Round& round) {
  for (const std::string& key : in.getMemberNames()) {
    TaskState* task = FindTaskByKey(round, key);
    if (task == nullptr || !in[key].isArray()) return false;
    for (const Json::Value& run : in[key]) {
      if (!run.isInt()) return false;
      task->failed_runs.push_back(run.asInt());
      task->run = std::max(task->run, run.asInt());
    }
  }
  return true;
}

bool ReadCrashes(const Json::Value& in, Round& round) {
  for (const std::string& key : in.getMemberNames()) {
    TaskState* task = FindTaskByKey(round, key);
    if (task == nullptr || !in[key].isArray()) return false;
    for (const Json::Value& item : in[key]) {
      CrashedRun crash;
      if (!ReadCrash(item, &crash)) return false;
      task->crashes.push_back(crash);
      task->run = std::max(task->run, crash.run);
    }
  }
  return true;
}

bool ReadCrashSuspects(const Json::Value& in, Round& round) {
  for (const std::string& key : in.getMemberNames()) {
    TaskState* task = FindTaskByKey(round, key);
    if (task == nullptr || !ReadCrashSuspect(in[key], &task->crash_suspect))
      return false;
    task->run = std::max(task->run, task->crash_suspect.run);
  }
  return true;
}

bool ReadUnansweredStarts(const Json::Value& in, Round& round) {
  for (const std::string& key : in.getMemberNames()) {
    TaskState* task = FindTaskByKey(round, key);
    if (task == nullptr || !ReadUnanswered(in[key], &task->unanswered))
      return false;
    task->run = std::max(task->run, task->unanswered.run);
  }
  return true;
}

bool ReadCheckpoints(const Json::Value& in, Round& round) {
  for (const std::string& key : in.getMemberNames()) {
    TaskState* task = FindTaskByKey(round, key);
    if (task == nullptr || !in[key].isString()) return false;
    task->checkpoint = in[key].asString();
  }
  return true;
}

// Reads what `WriteTasks` writes.
bool ReadTasks(const Json::Value& in, Job* job, Round& round) {
  const bool read = ReadFailedRuns(in["failed_runs"], round) &&
                    ReadCrashes(in["crashes"], round) &&
                    ReadCrashSuspects(in["exposed"], round) &&
                    ReadUnansweredStarts(in["unanswered"], round) &&
                    ReadCheckpoints(in["checkpoints"], round);
  if (read && job->placements_persisted)
    ReadPlacements(in["placed"], job, round);
  return read;
}

// Earlier versions recorded a long-running task as done once a run of it ended
// as done. Such a task waits for its next start.
void ReopenLongRunningTasks(const Job& job, Round& round) {
  for (size_t s = 0; s < round.steps.size(); ++s) {
    if (!job.spec.steps[s].long_running) continue;
    StepState& step = round.steps[s];
    step.done = 0;
    for (TaskState& task : step.tasks) {
      if (task.phase == TaskPhase::kDone) task.phase = TaskPhase::kWaiting;
    }
  }
}

}  // namespace

Json::Value RoundToJson(const Job& job, const Round& round) {
  Json::Value out(Json::objectValue);
  out["round"] = round.number;
  out["done"] = Json::Value(Json::arrayValue);
  for (size_t s = 0; s < round.steps.size(); ++s) {
    const StepState& step = round.steps[s];
    const TaskRange all{s, 0, step.tasks.size()};
    out["done"].append(step.done > 0 ? FormatDoneBits(step, all)
                                     : std::string());
    WriteTasks(job, step, all, std::numeric_limits<size_t>::max(), out);
  }
  return out;
}

bool ReadRound(const Json::Value& in, Job* job) {
  if (!HasTasks(in) || !in["round"].isInt()) return false;
  const int32_t number = in["round"].asInt();
  const int32_t rounds = std::max(1, job->spec.rounds);
  if (number < 0 || number >= rounds || job->FindRound(number) != nullptr)
    return false;
  Round& round = job->AddRound(number);
  const bool read = (!in.isMember("done") || ReadDone(in["done"], round)) &&
                    ReadTasks(in, job, round);
  if (read) ReopenLongRunningTasks(*job, round);
  return read;
}

Json::Value TasksToJson(const Job& job, const Round& round,
                        const TaskRange& range, size_t max_checkpoint_bytes,
                        int64_t* checkpoints_left_out) {
  Json::Value out(Json::objectValue);
  const StepState& step = round.steps[range.step];
  *checkpoints_left_out +=
      WriteTasks(job, step, range, max_checkpoint_bytes, out);
  const std::string done = FormatDoneBits(step, range);
  if (done.find_first_not_of('0') != std::string::npos) out["done"] = done;
  return out;
}

bool ReadTasksOf(const TaskRange& range, const Json::Value& in, Job* job,
                 Round& round) {
  const bool valid = HasTasks(in) && range.step < round.steps.size() &&
                     range.begin < range.end &&
                     range.end <= round.steps[range.step].tasks.size();
  if (!valid) return false;
  StepState& step = round.steps[range.step];
  for (size_t i = range.begin; i < range.end; ++i) {
    if (step.tasks[i].phase == TaskPhase::kDone) --step.done;
    step.tasks[i] = TaskState();
  }
  const bool read =
      (!in.isMember("done") || ReadDoneBits(in["done"], range, &step)) &&
      ReadTasks(in, job, round);
  if (read) ReopenLongRunningTasks(*job, round);
  return read;
}

}  // namespace keelbridge
