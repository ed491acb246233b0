// Error handling without exceptions.
//
// Every function that can fail returns `Result<T>`: either a value, or an
// `Error` that describes the failure and, where a retry can help, when to
// retry.
//
//   Result<int> port = ParsePort("70000");
//   if (!port) std::cerr << port.error().message << "\n";

#ifndef KEELBRIDGE_BASE_RESULT_H_
#define KEELBRIDGE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <string>
#include <utility>

#include "absl/time/time.h"

namespace keelbridge {

// The kind of failure that an `Error` reports. Code decides by the error code;
// the message is for people.
enum class ErrorCode {
  kInvalid,       // The input is wrong; the same call will fail again.
  kNotFound,      // The thing named does not exist.
  kConflict,      // Another caller was first.
  kUnauthorized,  // The caller has not shown that it may make the call.
  kStale,         // The call was based on a state that has since changed.
  kOverloaded,    // A limit is reached; `retry_after` says when to retry.
  kUnavailable,   // A required service does not answer.
  kUnknown,       // The call may or may not have taken effect.
};

// Returns the name of `code` used in replies and logs, for example "stale".
inline const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
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
  // How long to wait before a retry; zero if waiting does not help.
  absl::Duration retry_after = absl::ZeroDuration();
};

template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Creates an `Error`, which converts to a failed `Result`.
inline Error MakeError(ErrorCode code, std::string message,
                       absl::Duration retry_after = absl::ZeroDuration()) {
  return Error{code, std::move(message), retry_after};
}

// Returns the value of a successful `Result<void>`.
inline auto Success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_RESULT_H_
