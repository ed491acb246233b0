// Errors without exceptions.
//
// Every function that can fail returns `Result<T>`: a value, or an `Error` that
// says what was wrong, and where it helps, when to try again.
//
//   Result<int> port = ParsePort("70000");
//   if (!port) LOG_WARNING("bad_port") << port.error().message;

#ifndef KEELBRIDGE_BASE_RESULT_H_
#define KEELBRIDGE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace keelbridge {

// What kind of failure an `Error` reports; programs decide by it, people read
// the message.
enum class ErrorCode {
  kInvalid,      // The input is wrong; the same call will fail again.
  kNotFound,     // The thing named does not exist.
  kConflict,     // Somebody else was first.
  kStale,        // The call was based on a state that has since changed.
  kOverloaded,   // A limit is reached; `retry_after` says when to come back.
  kUnavailable,  // A party that is needed does not answer.
  kUnknown,      // The call may or may not have taken effect.
};

// The name of `code` as it appears in answers and logs, for example "stale".
inline const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kStale:
      return "stale";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct Error {
  ErrorCode code = ErrorCode::kUnknown;
  std::string message;
  // How long to wait before the next try; zero when waiting does not help.
  absl::Duration retry_after = absl::ZeroDuration();
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Builds the failure of a `Result`.
inline Error MakeError(ErrorCode code, std::string message,
                       absl::Duration retry_after = absl::ZeroDuration()) {
  return Error{code, std::move(message), retry_after};
}

// The value of a `Result<void>` that succeeded.
inline auto Success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_RESULT_H_
