// Helpers shared by the fuzzers: a property check, and splitting an input into
// lines.
//
//   Require(decoded.size() == size, "a decoded record has all bytes");
//   for (const std::string& line : InputLines(data, size)) ...

#ifndef TESTING_FUZZ_FUZZ_CHECK_H_
#define TESTING_FUZZ_FUZZ_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "absl/strings/str_split.h"

namespace fuzz {

// If `condition` is false, prints `what`, the property that it states, and
// aborts.
inline void Require(bool condition, const char* what) {
  if (condition) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
  std::abort();
}

inline std::string InputText(const uint8_t* data, size_t size) {
  return std::string(reinterpret_cast<const char*>(data), size);
}

inline std::vector<std::string> InputLines(const uint8_t* data, size_t size) {
  return absl::StrSplit(InputText(data, size), '\n');
}

}  // namespace fuzz

#endif  // TESTING_FUZZ_FUZZ_CHECK_H_
