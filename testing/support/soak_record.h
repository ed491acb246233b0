// Records the events and the violations of a soak test as texts, each with the
// time since the start of the test. Thread-safe.
//
//   SoakRecord record;
//   record.RecordEvent("kill node 2");
//   record.RecordViolation("LOST: job 7 ...");

#ifndef KEELBRIDGE_TESTING_SUPPORT_SOAK_RECORD_H_
#define KEELBRIDGE_TESTING_SUPPORT_SOAK_RECORD_H_

#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace keelbridge::testing {

class SoakRecord {
 public:
  // Sets the start of the test, from which times are counted, to now.
  void Begin();
  absl::Time begin() const { return begin_; }

  void RecordEvent(const std::string& what);
  // Records a violation. Only the first one of each `key` is kept, so that each
  // cause is reported once.
  void RecordViolation(const std::string& what) { RecordViolation(what, what); }
  void RecordViolation(const std::string& key, const std::string& what);

  std::vector<std::string> events() const;
  std::vector<std::string> violations() const;

 private:
  std::string WithTime(const std::string& what) const;

  absl::Time begin_ = absl::Now();
  mutable std::mutex mutex_;
  std::vector<std::string> events_;
  std::vector<std::string> violations_;
  std::set<std::string> keys_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_RECORD_H_
