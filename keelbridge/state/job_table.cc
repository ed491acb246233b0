#include "keelbridge/state/job_table.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/state/job_progress.h"

namespace keelbridge {
namespace {

constexpr char kDescriptionPrefix[] = "d/";
constexpr char kProgressPrefix[] = "p/";
constexpr char kPartPrefix[] = "t/";
constexpr size_t kPrefixLength = 2;
// The tasks whose progress one part holds. A multiple of four, since done tasks
// are encoded four to a digit.
constexpr size_t kTasksPerPart = 64;

// Identifies a part of the progress of a job.
struct PartId {
  JobId job = 0;
  int32_t round = 0;
  size_t step = 0;
  size_t begin = 0;  // Index of the first task.
};

std::string PartKey(const PartId& part) {
  return absl::StrCat(kPartPrefix, JobIdText(part.job), "/", part.round, ".",
                      part.step, ".", part.begin);
}

bool ParsePartKey(const std::string& key, PartId* part) {
  const std::vector<std::string> halves =
      absl::StrSplit(key.substr(kPrefixLength), '/');
  if (halves.size() != 2 || !ParseJobId(halves[0], &part->job)) return false;
  const std::vector<std::string> numbers = absl::StrSplit(halves[1], '.');
  return numbers.size() == 3 && absl::SimpleAtoi(numbers[0], &part->round) &&
         absl::SimpleAtoi(numbers[1], &part->step) &&
         absl::SimpleAtoi(numbers[2], &part->begin);
}

uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

TaskRange RangeOf(const StepState& step, size_t number, size_t begin) {
  return {number, begin, std::min(begin + kTasksPerPart, step.tasks.size())};
}

// Reads the end of the job from a progress record; kQueued if the job has not
// ended. Returns false if the end cannot be read.
bool ReadEnd(const Json::Value& in, JobState* end) {
  *end = JobState::kQueued;
  if (in.isMember("ended_ms") && !in["ended_ms"].isInt64()) return false;
  if (!in.isMember("end")) return true;
  for (const JobState state :
       {JobState::kCompleted, JobState::kFailed, JobState::kCancelled}) {
    if (in["end"] == JobStateName(state)) *end = state;
  }
  return *end != JobState::kQueued && in.isMember("ended_ms");
}

bool IsBoolOrMissing(const Json::Value& in, const char* key) {
  return !in.isMember(key) || in[key].isBool();
}

bool IsStringOrMissing(const Json::Value& in, const char* key) {
  return !in.isMember(key) || in[key].isString();
}

bool ReadProgress(const Json::Value& in, Job* job) {
  const bool has_valid_types =
      IsBoolOrMissing(in, "begun") && IsBoolOrMissing(in, "placements_kept") &&
      (!in.isMember("rounds_done") || in["rounds_done"].isInt()) &&
      IsStringOrMissing(in, "queue") && IsStringOrMissing(in, "account") &&
      (!in.isMember("rounds") || in["rounds"].isArray()) &&
      ReadEnd(in, &job->end);
  if (!has_valid_types) return false;
  job->ended_ms = in["ended_ms"].asInt64();
  job->begun = in["begun"].asBool();
  job->rounds_done = in["rounds_done"].asInt();
  if (job->rounds_done < 0) return false;
  if (job->Ended()) return true;
  job->placements_persisted = in["placements_kept"].asBool();
  return std::all_of(
      in["rounds"].begin(), in["rounds"].end(),
      [job](const Json::Value& round) { return ReadRound(round, job); });
}

// Returns the round `number`, which a part of its progress names, or null if it
// is done or does not exist. Adds a round of which only parts were written.
Round* FindOrAddRound(int32_t number, Job* job) {
  if (Round* round = job->FindRound(number)) return round;
  if (number < job->rounds_done || number >= std::max(1, job->spec.rounds))
    return nullptr;
  job->AddRound(number);
  std::sort(job->rounds.begin(), job->rounds.end(),
            [](const Round& a, const Round& b) { return a.number < b.number; });
  return job->FindRound(number);
}

// Reads a part of the progress. Returns false if it cannot be read.
bool ReadPart(const PartId& part, const Json::Value& in, Job* job) {
  Round* const round = FindOrAddRound(part.round, job);
  if (round == nullptr) return true;
  if (part.step >= round->steps.size()) return false;
  return ReadTasksOf(RangeOf(round->steps[part.step], part.step, part.begin),
                     in, job, *round);
}

// Appends the parts of a round that have changed since they were last written.
void AppendChangedParts(const Round& round, size_t max_checkpoint_bytes,
                        Job& job, std::set<std::string>& keys,
                        ProgressUpdate& out) {
  for (size_t s = 0; s < round.steps.size(); ++s) {
    const StepState& step = round.steps[s];
    for (size_t begin = 0; begin < step.tasks.size(); begin += kTasksPerPart) {
      const std::string key = PartKey({job.id, round.number, s, begin});
      const Json::Value value =
          TasksToJson(job, round, RangeOf(step, s, begin), max_checkpoint_bytes,
                      &out.checkpoints_left_out);
      const auto stored = job.stored_parts.find(key);
      if (value.empty() && stored == job.stored_parts.end()) continue;
      keys.insert(key);
      std::string text = ToJsonText(value);
      const uint64_t hash = HashOf(text);
      if (stored != job.stored_parts.end() && stored->second == hash) continue;
      job.stored_parts[key] = hash;
      out.records.push_back(Record{key, std::move(text)});
    }
  }
}

// Appends records that drop the stored parts whose keys are not in `keys`.
void DropParts(const std::set<std::string>& keys, Job& job,
               ProgressUpdate& out) {
  for (auto it = job.stored_parts.begin(); it != job.stored_parts.end();) {
    if (keys.count(it->first) > 0) {
      ++it;
      continue;
    }
    out.records.push_back(DropRecord(it->first));
    it = job.stored_parts.erase(it);
  }
}

// Returns null if the description cannot be read.
std::unique_ptr<Job> ReadDescription(JobId id, const Json::Value& in) {
  JobSpec spec;
  const bool read = in["queue"].isString() && in["accepted_ms"].isInt64() &&
                    IsStringOrMissing(in, "account") && ReadJobSpec(in, &spec);
  if (!read) return nullptr;
  auto job = std::make_unique<Job>(id, in["queue"].asString(), std::move(spec),
                                   in["accepted_ms"].asInt64());
  job->account = in["account"].asString();
  job->excess = in["excess"].isBool() && in["excess"].asBool();
  // Absent in records of earlier versions.
  if (in["accepted_epoch"].isInt64())
    job->accepted_epoch = in["accepted_epoch"].asInt64();
  return job;
}

}  // namespace

const char* JobStateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

Job::Job(JobId id_in, std::string queue_in, JobSpec spec_in,
         int64_t accepted_in)
    : id(id_in),
      queue(std::move(queue_in)),
      spec(std::move(spec_in)),
      accepted_ms(accepted_in) {}

Round& Job::AddRound(int32_t number) {
  Round round;
  round.number = number;
  round.steps.resize(spec.steps.size());
  for (size_t s = 0; s < spec.steps.size(); ++s)
    round.steps[s].tasks.resize(static_cast<size_t>(spec.steps[s].count));
  rounds.push_back(std::move(round));
  return rounds.back();
}

Round* Job::FindRound(int32_t number) {
  for (Round& round : rounds) {
    if (round.number == number) return &round;
  }
  return nullptr;
}

int32_t Job::NextRound() const {
  return rounds.empty() ? rounds_done : rounds.back().number + 1;
}

int64_t Job::DueTime(int32_t round) const {
  return spec.first_round_ms + round * spec.round_interval_ms;
}

StepState* Job::FindStep(const TaskId& id) {
  Round* round = FindRound(id.round);
  if (round == nullptr || id.step < 0 ||
      static_cast<size_t>(id.step) >= round->steps.size())
    return nullptr;
  return &round->steps[static_cast<size_t>(id.step)];
}

TaskState* Job::FindTask(const TaskId& id) {
  StepState* step = FindStep(id);
  if (step == nullptr || id.index < 0 ||
      static_cast<size_t>(id.index) >= step->tasks.size())
    return nullptr;
  return &step->tasks[static_cast<size_t>(id.index)];
}

bool Job::VisitTask(const TaskId& id,
                    absl::FunctionRef<void(const FoundTask&)> visit) {
  TaskState* task = FindTask(id);
  if (task == nullptr) return false;
  visit({id, *this, *FindStep(id), *task,
         spec.steps[static_cast<size_t>(id.step)]});
  return true;
}

bool Job::StepReady(const Round& round, size_t step) const {
  for (const int32_t dependency : spec.steps[step].after) {
    const StepState& earlier = round.steps[static_cast<size_t>(dependency)];
    if (earlier.done < static_cast<int32_t>(earlier.tasks.size())) return false;
  }
  return true;
}

bool Job::RoundDone(const Round& round) const {
  return std::all_of(
      round.steps.begin(), round.steps.end(), [](const StepState& step) {
        return step.done == static_cast<int32_t>(step.tasks.size());
      });
}

bool Job::HasLongRunningStep() const {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

bool Job::IsLongRunning(const TaskId& id) const {
  const auto step = static_cast<size_t>(id.step);
  return step < spec.steps.size() && spec.steps[step].long_running;
}

bool Job::HasPersistedPlacements(size_t step) const {
  return placements_persisted && spec.steps[step].long_running;
}

std::string DescriptionKey(JobId id) {
  return absl::StrCat(kDescriptionPrefix, JobIdText(id));
}

std::string ProgressKey(JobId id) {
  return absl::StrCat(kProgressPrefix, JobIdText(id));
}

Record DescriptionRecord(const Job& job) {
  Json::Value value = ToJson(job.spec);
  value["queue"] = job.queue;
  if (!job.account.empty()) value["account"] = job.account;
  if (job.excess) value["excess"] = true;
  value["accepted_ms"] = Json::Int64(job.accepted_ms);
  value["accepted_epoch"] = Json::Int64(job.accepted_epoch);
  return Record{DescriptionKey(job.id), ToJsonText(value)};
}

size_t DescriptionSize(JobId id, const std::string& queue, const JobSpec& spec,
                       const std::string& account) {
  Job job(id, queue, spec, std::numeric_limits<int64_t>::max());
  job.account = account;
  job.excess = true;
  job.accepted_epoch = std::numeric_limits<int64_t>::max();
  return EncodedSize(DescriptionRecord(job));
}

namespace {

// `in_parts`: the progress of the rounds is in records of its own.
Record MakeProgressRecord(const Job& job, bool in_parts) {
  Json::Value value(Json::objectValue);
  if (job.begun) value["begun"] = true;
  if (job.rounds_done > 0) value["rounds_done"] = job.rounds_done;
  if (job.Ended()) {
    value["end"] = JobStateName(job.end);
    value["ended_ms"] = Json::Int64(job.ended_ms);
    value["queue"] = job.queue;
    if (!job.account.empty()) value["account"] = job.account;
    return Record{ProgressKey(job.id), ToJsonText(value)};
  }
  if (job.placements_persisted) value["placements_kept"] = true;
  for (const Round& round : job.rounds) {
    Json::Value& out = value["rounds"].append(Json::objectValue);
    if (in_parts)
      out["round"] = round.number;
    else
      out = RoundToJson(job, round);
  }
  return Record{ProgressKey(job.id), ToJsonText(value)};
}

}  // namespace

Record ProgressRecord(const Job& job) {
  return MakeProgressRecord(job, /*in_parts=*/false);
}

ProgressUpdate ProgressRecords(Job& job, size_t max_record_bytes) {
  ProgressUpdate out;
  if (job.Ended()) {
    out.records.push_back(ProgressRecord(job));
    DropParts({}, job, out);
    return out;
  }
  if (job.stored_parts.empty()) {
    Record whole = ProgressRecord(job);
    if (EncodedSize(whole) <= max_record_bytes / 2) {
      out.records.push_back(std::move(whole));
      return out;
    }
  }
  // The parts come before the record that names them, and are dropped after
  // the one that no longer does: of a batch, the first records may become
  // durable without the others.
  std::set<std::string> keys;
  for (const Round& round : job.rounds)
    AppendChangedParts(round, max_record_bytes / 2 / kTasksPerPart, job, keys,
                       out);
  out.records.push_back(MakeProgressRecord(job, /*in_parts=*/true));
  DropParts(keys, job, out);
  return out;
}

Record DropRecord(std::string key) {
  return Record{std::move(key), std::nullopt};
}

void JobRecords::AddPart(const Record& record) {
  PartId part;
  if (!ParsePartKey(record.key, &part)) {
    ++unreadable_;
    return;
  }
  if (!record.value.has_value()) {
    parts_[part.job].erase(record.key);
    return;
  }
  parts_[part.job][record.key] = *record.value;
}

bool JobRecords::ReadParts(Job* job) const {
  const auto parts = parts_.find(job->id);
  if (parts == parts_.end()) return true;
  for (const auto& [key, text] : parts->second) {
    job->stored_parts[key] = HashOf(text);
    if (job->Ended()) continue;
    PartId part;
    const JsonDocument document = JsonDocument::Parse(text, key);
    if (!document.faults().empty() || !ParsePartKey(key, &part) ||
        !ReadPart(part, document.root(), job))
      return false;
  }
  return true;
}

void JobRecords::Add(const Record& record) {
  if (record.key.compare(0, kPrefixLength, kPartPrefix) == 0)
    return AddPart(record);
  JobId id = 0;
  if (record.key.size() <= kPrefixLength ||
      !ParseJobId(record.key.substr(kPrefixLength), &id)) {
    ++unreadable_;
    return;
  }
  const bool description =
      record.key.compare(0, kPrefixLength, kDescriptionPrefix) == 0;
  auto& map = description ? descriptions_ : progress_;
  if (!record.value.has_value()) {
    map.erase(id);
    return;
  }
  const JsonDocument document = JsonDocument::Parse(*record.value, record.key);
  if (!document.faults().empty()) return RecordUnreadable(id);
  map[id] = document.root();
}

void JobRecords::RecordUnreadable(JobId id) {
  ++unreadable_;
  unreadable_jobs_.insert(id);
}

JobTable JobRecords::Build() {
  JobTable jobs;
  for (const auto& [id, value] : descriptions_) {
    if (unreadable_jobs_.count(id) > 0) continue;
    auto job = ReadDescription(id, value);
    const auto progress = progress_.find(id);
    const bool read = job != nullptr &&
                      (progress == progress_.end() ||
                       ReadProgress(progress->second, job.get())) &&
                      ReadParts(job.get());
    if (!read) {
      RecordUnreadable(id);
      continue;
    }
    if (!job->Ended() && job->spec.rounds == 0 && job->rounds.empty())
      job->AddRound(0);
    job->recovered = true;
    jobs.emplace(id, std::move(job));
  }
  // Only the progress record is kept of a job that has ended.
  for (const auto& [id, value] : progress_) {
    if (jobs.count(id) > 0 || unreadable_jobs_.count(id) > 0) continue;
    JobState end = JobState::kQueued;
    if (ReadEnd(value, &end) && end == JobState::kQueued) continue;
    auto job = std::make_unique<Job>(id, "", JobSpec(), 0);
    if (!ReadProgress(value, job.get()) || !ReadParts(job.get())) {
      RecordUnreadable(id);
      continue;
    }
    job->queue = value["queue"].asString();
    job->account = value["account"].asString();
    job->accepted_ms = job->ended_ms;
    jobs.emplace(id, std::move(job));
  }
  return jobs;
}

}  // namespace keelbridge
