#include "keelbridge/state/job_table.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

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

// The job as a later leader builds it.
std::unique_ptr<Job> RecoverJob(const Job& job, const Record& progress) {
  JobRecords records;
  records.Add(DescriptionRecord(job));
  records.Add(progress);
  JobTable jobs = records.Build();
  return std::move(jobs.at(kId));
}

TEST_CASE("job table: placements of tasks that last are kept with their runs") {
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

// Nothing may be concluded from placements that are not there.
TEST_CASE("job table: a job whose leader kept no placements says so") {
  const Job job = LongRunningJob();
  const auto recovered = RecoverJob(job, ProgressRecord(job));
  CHECK_FALSE(recovered->placements_persisted);
}

TEST_CASE("job table: a placement that cannot be read is not taken for none") {
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

// Of one job, whose description or progress another writer spoilt: known to be
// unreadable, neither run as something else nor forgotten.
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

TEST_CASE("job table: a description that cannot be read is not taken for one") {
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

// Taken for progress of which nothing is known, the job would run again.
TEST_CASE("job table: a progress that cannot be read is not taken for none") {
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

TEST_CASE(
    "job table: an end without a description that cannot be read counts") {
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

TEST_CASE("job table: what is held against a task lasts with its job") {
  JobSpec spec;
  spec.steps.push_back(StepSpec{});
  spec.steps[0].count = 3;
  Job job(7, "restore", spec, 1000);
  job.AddRound(0);
  TaskState& task = job.rounds[0].steps[0].tasks[1];
  task.crashes = {{4, 54, 0.25, true}, {5, 31, 0.5, false}};
  task.exposed = {"w-1", 6, 12345, 40, true};
  task.unanswered.worker = "w-2";
  task.unanswered.run = 5;
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
  CHECK_FALSE(read.crashes[1].begun);
  CHECK(read.unanswered.worker == "w-2");
  CHECK(read.unanswered.run == 5);
  CHECK(read.exposed.worker == "w-1");
  CHECK(read.exposed.run == 6);
  CHECK(read.exposed.since_ms == 12345);
  CHECK(read.exposed.ran_ms == 40);
  CHECK(read.exposed.begun);
  // No later run has a number that was given.
  CHECK(read.run == 6);
}

}  // namespace
}  // namespace keelbridge
