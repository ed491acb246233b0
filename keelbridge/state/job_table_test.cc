#include "keelbridge/state/job_table.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace keelbridge {
namespace {

constexpr JobId kId = 7;

Job LongRunningJob() {
  JobSpec spec;
  StepSpec step;
  step.count = 2;
  step.long_running = true;
  spec.steps = {step};
  Job job(kId, "serve", spec, 1000);
  job.AddRound(0);
  return job;
}

// Returns the job as a later leader rebuilds it from its records.
std::unique_ptr<Job> RecoverJob(const Job& job, const Record& progress) {
  JobRecords records;
  records.Add(DescriptionRecord(job));
  records.Add(progress);
  JobTable jobs = records.Build();
  return std::move(jobs.at(kId));
}

TEST_CASE(
    "job table: placements of long-running tasks persist with their runs") {
  Job job = LongRunningJob();
  job.placements_persisted = true;
  TaskState& placed = job.rounds[0].steps[0].tasks[1];
  placed.placed_on = "i-1";
  placed.run = 1003;
  const auto recovered = RecoverJob(job, ProgressRecord(job));
  CHECK(recovered->placements_persisted);
  const auto& tasks = recovered->rounds[0].steps[0].tasks;
  CHECK(tasks[0].placed_on.empty());
  CHECK(tasks[1].placed_on == "i-1");
  CHECK(tasks[1].run == 1003);
}

// The absence of placements must not be taken to mean that the tasks run
// nowhere.
TEST_CASE(
    "job table: a job whose leader persisted no placements is marked so") {
  const Job job = LongRunningJob();
  const auto recovered = RecoverJob(job, ProgressRecord(job));
  CHECK_FALSE(recovered->placements_persisted);
}

TEST_CASE("job table: an unreadable placement is not taken for a missing one") {
  Job job = LongRunningJob();
  job.placements_persisted = true;
  job.rounds[0].steps[0].tasks[1].placed_on = "i-1";
  for (const char* placed :
       {R"({"0.1":"i-1"})", R"({"0.1":["i-1"]})", R"({"0.1":[7,1]})",
        R"({"0.9":["i-1",1]})", R"({"x":["i-1",1]})", R"(["0.1"])", "7"}) {
    CAPTURE(placed);
    Record progress = ProgressRecord(job);
    progress.value =
        R"({"placements_kept":true,"rounds":[{"round":0,"placed":)" +
        std::string(placed) + "}]}";
    CHECK_FALSE(RecoverJob(job, progress)->placements_persisted);
  }
}

// Checks that a job whose record `key` another writer replaced by the invalid
// `value` is known to be unreadable: it is neither run as something else nor
// forgotten, and other jobs are not affected.
void CheckUnreadable(const std::string& key, const std::string& value) {
  CAPTURE(key);
  CAPTURE(value);
  Job job = LongRunningJob();
  Job other(kId + 1, "serve", job.spec, 1000);
  JobRecords records;
  records.Add(DescriptionRecord(job));
  records.Add(ProgressRecord(job));
  records.Add(DescriptionRecord(other));
  records.Add(Record{key, value, -1});
  const JobTable jobs = records.Build();
  CHECK(jobs.count(kId) == 0);
  CHECK(records.unreadable_jobs().count(kId) == 1);
  CHECK(records.unreadable() == 1);
  CHECK(jobs.count(kId + 1) == 1);
}

TEST_CASE("job table: an unreadable description is not taken for a job") {
  for (
      const char* value :
      {"", "no record", "[]", "{}",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":"x"})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[7]})",
       R"({"payload":[],"queue":"serve","accepted_ms":1,"steps":[{"count":1}]})",
       R"({"payload":"","queue":7,"accepted_ms":1,"steps":[{"count":1}]})",
       R"({"payload":"","queue":"serve","accepted_ms":"x","steps":[{"count":1}]})",
       R"({"payload":"","queue":"serve","steps":[{"count":1}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":2000000000}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":true}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":1,"gang":"x"}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":1},{"count":1,"after":"0"}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":1},{"count":1,"after":[{}]}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"steps":[{"count":1,"cpu_milli":-5}]})",
       R"({"payload":"","queue":"serve","accepted_ms":1,"rounds":-1,"steps":[{"count":1}]})"})
    CheckUnreadable(DescriptionKey(kId), value);
}

// If an unreadable progress record were taken for a missing one, the job would
// run again.
TEST_CASE(
    "job table: an unreadable progress record is not taken for a missing one") {
  for (const char* value :
       {"",
        "no record",
        "[]",
        R"({"end":"wobbly"})",
        R"({"end":7})",
        R"({"end":null})",
        R"({"end":"completed","ended_ms":"x"})",
        R"({"end":"completed","ended_ms":1,"queue":[]})",
        R"({"begun":"x"})",
        R"({"rounds_done":"x"})",
        R"({"rounds_done":-1})",
        R"({"rounds":"x"})",
        R"({"rounds":[7]})",
        R"({"rounds":[{"round":"x"}]})",
        R"({"rounds":[{"round":-1}]})",
        R"({"rounds":[{"round":0},{"round":0}]})",
        R"({"rounds":[{"round":0,"done":"1"}]})",
        R"({"rounds":[{"round":0,"done":[7]}]})",
        R"({"rounds":[{"round":0,"done":["z"]}]})",
        R"({"rounds":[{"round":0,"done":["8"]}]})",
        R"({"rounds":[{"round":0,"done":["1","1"]}]})",
        R"({"rounds":[{"round":0,"failed_runs":[]}]})",
        R"({"rounds":[{"round":0,"failed_runs":{"0.0":["x"]}}]})",
        R"({"rounds":[{"round":0,"failed_runs":{"0.0":3}}]})",
        R"({"rounds":[{"round":0,"checkpoints":"x"}]})",
        R"({"rounds":[{"round":0,"checkpoints":{"0.0":[]}}]})",
        R"({"placements_kept":7})"})
    CheckUnreadable(ProgressKey(kId), value);
}

TEST_CASE("job table: an unreadable end without a description is counted") {
  for (const char* value :
       {R"({"end":"completed","ended_ms":1,"queue":[]})",
        R"({"end":"completed","ended_ms":{}})", R"({"end":"wobbly"})"}) {
    CAPTURE(value);
    JobRecords records;
    records.Add(Record{ProgressKey(kId), value, -1});
    CHECK(records.Build().empty());
    CHECK(records.unreadable_jobs().count(kId) == 1);
  }
}

TEST_CASE(
    "job table: crashes and unanswered starts of a task persist with its job") {
  JobSpec spec;
  spec.steps.push_back(StepSpec{});
  spec.steps[0].count = 3;
  Job job(7, "restore", spec, 1000);
  job.AddRound(0);
  TaskState& task = job.rounds[0].steps[0].tasks[1];
  task.crashes = {{4, 54, 0.25, true, "m-1"}, {5, 31, 0.5, false, ""}};
  task.crash_suspect = {"w-1", 6, 12345, 40, true};
  task.unanswered.worker = "w-2";
  task.unanswered.run = 5;
  task.unanswered.may_arrive_until =
      LeaderTime{3, absl::FromUnixMillis(8000) + absl::Microseconds(1)};
  JobRecords records;
  records.Add(DescriptionRecord(job));
  records.Add(ProgressRecord(job));
  JobTable jobs = records.Build();
  REQUIRE(jobs.count(7) == 1);
  const TaskState& read = jobs[7]->rounds[0].steps[0].tasks[1];
  REQUIRE(read.crashes.size() == 2);
  CHECK(read.crashes[0].run == 4);
  CHECK(read.crashes[0].ran_ms == 54);
  CHECK(read.crashes[0].chance == 0.25);
  CHECK(read.crashes[0].begun);
  CHECK(read.crashes[0].machine == "m-1");
  CHECK(read.crashes[1].machine.empty());
  CHECK_FALSE(read.crashes[1].begun);
  CHECK(read.unanswered.worker == "w-2");
  CHECK(read.unanswered.run == 5);
  REQUIRE(read.unanswered.may_arrive_until);
  CHECK(read.unanswered.may_arrive_until->epoch == 3);
  CHECK(read.unanswered.may_arrive_until->at == absl::FromUnixMillis(8001));
  CHECK(read.crash_suspect.worker == "w-1");
  CHECK(read.crash_suspect.run == 6);
  CHECK(read.crash_suspect.since_ms == 12345);
  CHECK(read.crash_suspect.ran_ms == 40);
  CHECK(read.crash_suspect.begun);
  // No later run gets a number that was already used.
  CHECK(read.run == 6);
}

TEST_CASE("job table: the account of a job persists, also after its end") {
  Job job = LongRunningJob();
  job.account = "agency-a";
  CHECK(RecoverJob(job, ProgressRecord(job))->account == "agency-a");
  job.end = JobState::kCancelled;
  JobRecords ended;
  ended.Add(ProgressRecord(job));
  CHECK(ended.Build().at(kId)->account == "agency-a");
}

TEST_CASE("job table: the mark of an excess job persists") {
  Job job = LongRunningJob();
  for (const bool excess : {false, true}) {
    job.excess = excess;
    CHECK(RecoverJob(job, ProgressRecord(job))->excess == excess);
  }
}

// Guards against taking a job of an unreadable account for one that anybody may
// read and cancel.
TEST_CASE(
    "job table: an account that cannot be read makes the job unreadable") {
  const Job job = LongRunningJob();
  Record record = DescriptionRecord(job);
  record.value->insert(1, R"("account":7,)");
  JobRecords records;
  records.Add(record);
  CHECK(records.Build().empty());
  CHECK(records.unreadable_jobs().count(kId) == 1);
}

// The store's limit for one record in the tests below.
constexpr size_t kMaxRecordBytes = 64 << 10;

// A job whose progress is too large for one record: every task waits with a
// checkpoint.
Job LargeJob() {
  JobSpec spec;
  StepSpec step;
  step.count = 1000;
  spec.steps = {step, step, step};
  spec.steps[2].count = 37;
  Job job(kId, "serve", spec, 1000);
  job.begun = true;
  job.AddRound(0);
  for (StepState& state : job.rounds[0].steps) {
    for (size_t i = 0; i < state.tasks.size(); ++i)
      state.tasks[i].checkpoint =
          "00000bb87a21d94b00000bb87a21d94b" + std::to_string(i);
  }
  return job;
}

void MarkDone(Job& job, size_t step, size_t task) {
  StepState& state = job.rounds[0].steps[step];
  if (state.tasks[task].phase == TaskPhase::kDone) return;
  state.tasks[task].phase = TaskPhase::kDone;
  ++state.done;
}

// The newest record of each key, as the store keeps them.
class StoredRecords {
 public:
  void Apply(const Record& record) {
    if (record.value)
      by_key_[record.key] = record;
    else
      by_key_.erase(record.key);
  }
  void Apply(const std::vector<Record>& records) {
    for (const Record& record : records) Apply(record);
  }
  std::unique_ptr<Job> Recover() const {
    JobRecords records;
    for (const auto& [key, record] : by_key_) records.Add(record);
    JobTable jobs = records.Build();
    return jobs.count(kId) == 0 ? nullptr : std::move(jobs.at(kId));
  }
  size_t size() const { return by_key_.size(); }

 private:
  std::map<std::string, Record> by_key_;
};

// Guards against a progress record that the store never takes: it stops the
// whole site, since no later record is appended before it.
TEST_CASE(
    "job table: no record of a large job's progress is larger than the store "
    "takes") {
  Job job = LargeJob();
  MarkDone(job, 0, 0);
  MarkDone(job, 1, 999);
  MarkDone(job, 2, 36);
  job.rounds[0].steps[1].tasks[500].failed_runs = {1, 7};
  REQUIRE(EncodedSize(ProgressRecord(job)) > kMaxRecordBytes);
  const ProgressUpdate update = ProgressRecords(job, kMaxRecordBytes);
  for (const Record& record : update.records)
    CHECK(EncodedSize(record) <= kMaxRecordBytes);
  CHECK(update.checkpoints_left_out == 0);
  StoredRecords store;
  store.Apply(DescriptionRecord(job));
  store.Apply(update.records);
  const auto recovered = store.Recover();
  REQUIRE(recovered != nullptr);
  CHECK(*ProgressRecord(*recovered).value == *ProgressRecord(job).value);
  CHECK(recovered->rounds[0].steps[1].done == 1);
  CHECK(recovered->stored_parts == job.stored_parts);
}

TEST_CASE("job table: only the parts of the progress that change are written") {
  Job job = LargeJob();
  ProgressRecords(job, kMaxRecordBytes);
  MarkDone(job, 0, 70);
  MarkDone(job, 0, 71);
  MarkDone(job, 2, 0);
  const ProgressUpdate update = ProgressRecords(job, kMaxRecordBytes);
  CHECK(update.records.size() == 3);  // Two parts, and what names them.
}

TEST_CASE("job table: small progress stays in one record") {
  Job job = LongRunningJob();
  const ProgressUpdate update = ProgressRecords(job, kMaxRecordBytes);
  REQUIRE(update.records.size() == 1);
  CHECK(*update.records[0].value == *ProgressRecord(job).value);
}

// A leader may be lost after any of the records, and each update follows from
// the one before. Guards against a task that runs again although its end was
// durable, or acknowledged and forgotten.
TEST_CASE(
    "job table: a leader that is lost between two records of an update loses "
    "nothing that was durable before") {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Job job = LargeJob();
    // As written by a version that keeps all progress in one record.
    MarkDone(job, 0, 5);
    StoredRecords store;
    store.Apply(DescriptionRecord(job));
    store.Apply(ProgressRecord(job));
    for (int update = 0; update < 4; ++update) {
      const auto before = store.Recover();
      REQUIRE(before != nullptr);
      for (int end = 0; end < 30; ++end) {
        const size_t step = random() % 3;
        MarkDone(job, step, random() % job.rounds[0].steps[step].tasks.size());
      }
      const auto records = ProgressRecords(job, kMaxRecordBytes).records;
      const size_t lost_after = random() % records.size();
      for (size_t i = 0; i < records.size(); ++i) {
        store.Apply(records[i]);
        if (i != lost_after) continue;
        const auto recovered = store.Recover();
        REQUIRE(recovered != nullptr);
        for (size_t s = 0; s < 3; ++s) {
          const StepState& then = before->rounds[0].steps[s];
          const StepState& now = recovered->rounds[0].steps[s];
          for (size_t t = 0; t < then.tasks.size(); ++t) {
            if (then.tasks[t].phase == TaskPhase::kDone)
              CHECK(now.tasks[t].phase == TaskPhase::kDone);
          }
        }
      }
      CHECK(*ProgressRecord(*store.Recover()).value ==
            *ProgressRecord(job).value);
    }
  }
}

TEST_CASE("job table: an ended job keeps no parts of its progress") {
  Job job = LargeJob();
  StoredRecords store;
  store.Apply(DescriptionRecord(job));
  store.Apply(ProgressRecords(job, kMaxRecordBytes).records);
  REQUIRE(store.size() > 2);
  job.end = JobState::kCompleted;
  const auto records = ProgressRecords(job, kMaxRecordBytes).records;
  // A leader that is lost before the parts are dropped leaves them to the next.
  store.Apply(records[0]);
  const auto recovered = store.Recover();
  REQUIRE(recovered != nullptr);
  CHECK(recovered->Ended());
  CHECK(recovered->stored_parts.size() == store.size() - 2);
  store.Apply(records);
  CHECK(store.size() == 2);
}

TEST_CASE("job table: the parts of a round are dropped once it is done") {
  Job job = LargeJob();
  job.spec.rounds = 3;
  job.AddRound(1);
  job.rounds[1].steps[0].tasks[3].checkpoint = "kept";
  StoredRecords store;
  store.Apply(DescriptionRecord(job));
  store.Apply(ProgressRecords(job, kMaxRecordBytes).records);
  job.rounds.pop_front();
  job.rounds_done = 1;
  store.Apply(ProgressRecords(job, kMaxRecordBytes).records);
  CHECK(store.size() == 3);
  const auto recovered = store.Recover();
  REQUIRE(recovered->rounds.size() == 1);
  CHECK(recovered->rounds[0].number == 1);
  CHECK(recovered->rounds[0].steps[0].tasks[3].checkpoint == "kept");
}

TEST_CASE("job table: an unreadable part is not taken for a missing one") {
  Job job = LargeJob();
  ProgressRecords(job, kMaxRecordBytes);
  const std::string key = job.stored_parts.begin()->first;
  for (const char* value :
       {"", "[]", R"({"done":7})", R"({"done":"zz"})", R"({"failed_runs":7})"})
    CheckUnreadable(key, value);
}

TEST_CASE("job table: a checkpoint that is too long for a part is left out") {
  Job job = LargeJob();
  job.rounds[0].steps[0].tasks[0].checkpoint = std::string(5000, 'x');
  const ProgressUpdate update = ProgressRecords(job, kMaxRecordBytes);
  CHECK(update.checkpoints_left_out == 1);
}

}  // namespace
}  // namespace keelbridge
