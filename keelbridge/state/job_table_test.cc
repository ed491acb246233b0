#include "keelbridge/state/job_table.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

namespace keelbridge {
namespace {

constexpr JobId kId = 7;

Job LastingJob() {
  JobSpec spec;
  StepSpec step;
  step.count = 2;
  step.lasting = true;
  spec.steps = {step};
  Job job(kId, "serve", spec, 1000);
  job.AddRound(0);
  return job;
}

// The job as a later leader builds it.
std::unique_ptr<Job> Recovered(const Job& job, const Record& progress) {
  JobRecords records;
  records.Add(DescriptionRecord(job));
  records.Add(progress);
  JobTable jobs = records.Build();
  return std::move(jobs.at(kId));
}

TEST_CASE("job table: placements of tasks that last are kept with their runs") {
  Job job = LastingJob();
  job.placements_kept = true;
  TaskState& placed = job.rounds[0].steps[0].tasks[1];
  placed.placed_on = "i-1";
  placed.run = 1003;
  const auto recovered = Recovered(job, ProgressRecord(job));
  CHECK(recovered->placements_kept);
  const auto& tasks = recovered->rounds[0].steps[0].tasks;
  CHECK(tasks[0].placed_on.empty());
  CHECK(tasks[1].placed_on == "i-1");
  CHECK(tasks[1].run == 1003);
}

// Nothing may be concluded from placements that are not there.
TEST_CASE("job table: a job whose leader kept no placements says so") {
  const Job job = LastingJob();
  const auto recovered = Recovered(job, ProgressRecord(job));
  CHECK_FALSE(recovered->placements_kept);
}

TEST_CASE("job table: a placement that cannot be read is not taken for none") {
  Job job = LastingJob();
  job.placements_kept = true;
  job.rounds[0].steps[0].tasks[1].placed_on = "i-1";
  for (const char* placed :
       {R"({"0.1":"i-1"})", R"({"0.1":["i-1"]})", R"({"0.1":[7,1]})",
        R"({"0.9":["i-1",1]})", R"({"x":["i-1",1]})", R"(["0.1"])", "7"}) {
    CAPTURE(placed);
    Record progress = ProgressRecord(job);
    progress.value =
        R"({"placements_kept":true,"rounds":[{"round":0,"placed":)" +
        std::string(placed) + "}]}";
    CHECK_FALSE(Recovered(job, progress)->placements_kept);
  }
}

}  // namespace
}  // namespace keelbridge
