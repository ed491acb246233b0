#include "testing/support/soak_record.h"

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {

void SoakRecord::Begin() {
  begin_ = absl::Now();
  RecordEvent(absl::StrCat("begins at ", absl::FormatTime(begin_)));
}

std::string SoakRecord::WithTime(const std::string& what) const {
  return absl::StrCat(absl::ToInt64Milliseconds(absl::Now() - begin_), " ms ",
                      what);
}

void SoakRecord::RecordEvent(const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back(WithTime(what));
}

void SoakRecord::RecordViolation(const std::string& key,
                                 const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!keys_.insert(key).second) return;
  violations_.push_back(WithTime(what));
}

std::vector<std::string> SoakRecord::events() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return events_;
}

std::vector<std::string> SoakRecord::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

}  // namespace keelbridge::testing
