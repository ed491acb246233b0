#include "keelbridge/protocol/worker_incarnation.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

constexpr char kStartTimeSeparator = '@';

}  // namespace

std::string WorkerIncarnationId(const WorkerIncarnation& incarnation) {
  // If the name contains the separator, the start time is always appended, so
  // that the name cannot be mistaken for a name with a start time.
  const bool omits_start_time =
      incarnation.start_time_ms == 0 &&
      incarnation.name.find(kStartTimeSeparator) == std::string::npos;
  if (omits_start_time) return incarnation.name;
  return absl::StrCat(incarnation.name, std::string(1, kStartTimeSeparator),
                      incarnation.start_time_ms);
}

WorkerIncarnation ParseWorkerIncarnation(const std::string& id) {
  const size_t at = id.rfind(kStartTimeSeparator);
  int64_t start_time_ms = 0;
  if (at == std::string::npos ||
      !absl::SimpleAtoi(id.substr(at + 1), &start_time_ms))
    return {id, 0};
  return {id.substr(0, at), start_time_ms};
}

bool HasReusableName(const WorkerIncarnation& incarnation) {
  return incarnation.start_time_ms != 0;
}

}  // namespace keelbridge
