// Fuzzes the records of jobs that a leader reads from the store. A line of the
// input is "KEY VALUE", or "KEY" for a record that deletes its key. All jobs
// built from any records are consistent and can be written again.

#include "keelbridge/state/job_table.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

// So small that the progress of most jobs is written in parts.
constexpr size_t kMaxRecordBytes = 128;

keelbridge::Record ParseRecordLine(const std::string& line) {
  keelbridge::Record record;
  const size_t space = line.find(' ');
  record.key = line.substr(0, space);
  if (space != std::string::npos) record.value = line.substr(space + 1);
  return record;
}

void CheckRounds(const keelbridge::Job& job) {
  for (const keelbridge::Round& round : job.rounds) {
    (void)job.RoundDone(round);
    fuzz::Require(round.steps.size() == job.spec.steps.size(),
                  "a round has all steps of its job");
    for (size_t s = 0; s < round.steps.size(); ++s) {
      (void)job.StepReady(round, s);
      fuzz::Require(round.steps[s].done <=
                        static_cast<int32_t>(round.steps[s].tasks.size()),
                    "no more tasks are done than there are");
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  keelbridge::JobRecords records;
  for (const std::string& line : fuzz::InputLines(data, size))
    records.Add(ParseRecordLine(line));
  for (const auto& [id, job] : records.Build()) {
    fuzz::Require(records.unreadable_jobs().count(id) == 0,
                  "a job that cannot be read is not built");
    CheckRounds(*job);
    (void)DescriptionRecord(*job);
    (void)ProgressRecord(*job);
    (void)ProgressRecords(*job, kMaxRecordBytes);
  }
  return 0;
}
