// Tests that no document of another writer ends a process or keeps it from
// reading the next one: each reader of records, configurations and reports
// refuses odd documents, or ignores what it does not know.

#include "testing/fakes/odd_documents.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/early_cancels.h"
#include "keelbridge/coordination/site_election.h"
#include "keelbridge/state/job_table.h"
#include "keelbridge/state/known_workers.h"
#include "keelbridge/state/leader_append.h"
#include "platform/dialect.h"
#include "testing/fakes/foreign_entries.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kJob = 0x5c0e7a21d94b36f8;

// Checks that `read` throws nothing for any odd variant of `sound`, and returns
// true for `sound` after each of them.
void CheckReader(const std::string& sound,
                 const std::function<bool(const std::string&)>& read) {
  REQUIRE(read(sound));
  for (const std::string& document : OddVariantsOf(sound)) {
    CAPTURE(document.substr(0, 400));
    CHECK_NOTHROW(read(document));
    REQUIRE(read(sound));
  }
}

JobSpec TwoStepSpec() {
  JobSpec spec;
  spec.payload = "payload";
  spec.steps.resize(2);
  spec.steps[0].long_running = true;
  spec.steps[1].after = {0};
  return spec;
}

// A job with all that a progress record holds.
Job JobWithProgress() {
  Job job(kJob, "queue", TwoStepSpec(), 7);
  job.account = "a";
  job.placements_persisted = true;
  job.AddRound(0);
  TaskState& task = job.rounds[0].steps[0].tasks[0];
  task.failed_runs = {1, 2};
  task.crashes = {{3, 100, 0.5, true, "m-1"}};
  task.crash_suspect = {"i-1", 4, 5, 6, true};
  task.unanswered = {"i-2", 5, LeaderTime{3, absl::FromUnixMillis(9)}};
  task.placed_on = "i-3";
  task.checkpoint = "saved";
  return job;
}

// Reads one record of a job beside its sound description.
bool ReadsJob(const Record& record) {
  JobRecords records;
  records.Add(DescriptionRecord(Job(kJob, "queue", TwoStepSpec(), 7)));
  records.Add(record);
  return records.Build().size() == 1;
}

TEST_CASE("odd documents: an entry in the list of workers") {
  const platform::Dialect dialect;
  CheckReader(ValidWorkerEntry("desk", "127.0.0.1:9"),
              [&](const std::string& document) {
                return bool(dialect.ParseWorkerRecord("i-1", document));
              });
}

TEST_CASE("odd documents: a configuration") {
  const platform::Dialect dialect;
  const std::string sound =
      R"({"version":3,"limits":{"maxHeaderBytes":9000,"maxBodyBytes":9000},)"
      R"("services":[{"name":"desk","admissionCheck":true,"spare":false}],)"
      R"("routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"desk",)"
      R"("priority":1,"maxAttempts":2,"stretch":2.5,"targetLatencyMs":300,)"
      R"("allowAnonymous":true,"advice":{"decisionMs":5,"periodMs":1,)"
      R"("validityMs":900}}],"tenants":[{"name":"a","apiKeys":["k"],)"
      R"("weight":2,"maximum":{"cpu":1,"memoryRequestMb":1,"gpu":1}}]})";
  CheckReader(sound, [&](const std::string& document) {
    return bool(dialect.ParseConfiguration(document));
  });
}

TEST_CASE("odd documents: the record of a job's description") {
  const Record record = DescriptionRecord(JobWithProgress());
  CheckReader(*record.value, [&](const std::string& document) {
    JobRecords records;
    records.Add({record.key, document});
    return records.Build().size() == 1;
  });
}

TEST_CASE("odd documents: the record of a job's progress") {
  Job job = JobWithProgress();
  const Record running = ProgressRecord(job);
  CheckReader(*running.value, [&](const std::string& document) {
    return ReadsJob({running.key, document});
  });
  job.end = JobState::kCancelled;
  job.ended_ms = 12;
  const Record ended = ProgressRecord(job);
  CheckReader(*ended.value, [&](const std::string& document) {
    return ReadsJob({ended.key, document});
  });
  // Only the progress record is kept of a job that has ended.
  CheckReader(*ended.value, [&](const std::string& document) {
    JobRecords records;
    records.Add({ended.key, document});
    return records.Build().size() == 1;
  });
}

TEST_CASE("odd documents: a part of a job's progress") {
  Job job = JobWithProgress();
  // So small that the progress is written in parts.
  const std::vector<Record> records = ProgressRecords(job, 128).records;
  REQUIRE(records.size() > 1);
  CheckReader(*records[0].value, [&](const std::string& document) {
    return ReadsJob({records[0].key, document});
  });
}

TEST_CASE("odd documents: the record of a known worker") {
  KnownWorker known;
  known.worker.id = "i-1";
  known.worker.machine = "m-1";
  known.worker.labels = {"kind", "rack"};
  known.worker.capacity = {1000, 1000, 1};
  known.epoch = 3;
  known.last_tasks = {{kJob, 0, 0, 0}};
  known.lease_over = LeaderTime{3, absl::FromUnixMillis(9)};
  const Record record = KnownWorkerRecord(known);
  CheckReader(*record.value, [&](const std::string& document) {
    return ParseKnownWorker({record.key, document}).has_value();
  });
}

TEST_CASE("odd documents: the record of the leader") {
  LeaderRecord leader;
  leader.epoch = 3;
  leader.node = "n-1";
  leader.address = "127.0.0.1:80";
  leader.earlier = {{"127.0.0.2:80", 5}};
  const Record record = ToRecord(leader);
  CheckReader(*record.value, [&](const std::string& document) {
    return LeaderFromRecord({record.key, document}).has_value();
  });
}

TEST_CASE("odd documents: the record of a leader's last append") {
  const Record record = LeaderAppendRecord(
      {{3, absl::FromUnixMillis(9)}, absl::FromUnixMillis(10)});
  CheckReader(*record.value, [&](const std::string& document) {
    return ParseLeaderAppend({record.key, document}).has_value();
  });
}

TEST_CASE("odd documents: the record of an early cancel") {
  const Record record = EarlyCancelRecord({kJob, {{"a", false}}});
  CheckReader(*record.value, [&](const std::string& document) {
    return ParseEarlyCancel({record.key, document}).has_value();
  });
}

}  // namespace
}  // namespace keelbridge::testing
