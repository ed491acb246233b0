#include "testing/support/soak_record.h"

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {

void SoakRecord::Begin() {
  begin_ = absl::Now();
  Note(absl::StrCat("begins at ", absl::FormatTime(begin_)));
}

std::string SoakRecord::Timed(const std::string& what) const {
  return absl::StrCat(absl::ToInt64Milliseconds(absl::Now() - begin_), " ms ",
                      what);
}

void SoakRecord::Note(const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  notes_.push_back(Timed(what));
}

void SoakRecord::Fault(const std::string& key, const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!keys_.insert(key).second) return;
  faults_.push_back(Timed(what));
}

std::vector<std::string> SoakRecord::notes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return notes_;
}

std::vector<std::string> SoakRecord::faults() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

}  // namespace keelbridge::testing
