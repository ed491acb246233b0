// What happened in a soak and which promises were broken, in words, with the
// time since its beginning. Thread-safe.
//
//   SoakRecord record;
//   record.Note("kill node 2");
//   record.Fault("LOST: job 7 ...");

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
  // Times count from now on.
  void Begin();
  absl::Time begin() const { return begin_; }

  void RecordEvent(const std::string& what);
  // The first fault of each `key` is kept: one cause is told of once.
  void Fault(const std::string& what) { Fault(what, what); }
  void Fault(const std::string& key, const std::string& what);

  std::vector<std::string> events() const;
  std::vector<std::string> faults() const;

 private:
  std::string WithTime(const std::string& what) const;

  absl::Time begin_ = absl::Now();
  mutable std::mutex mutex_;
  std::vector<std::string> events_;
  std::vector<std::string> faults_;
  std::set<std::string> keys_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_RECORD_H_
