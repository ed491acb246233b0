// Limits the number of log lines of one kind of event in each period.
//
//   LogRateLimiter::Options options;
//   options.max_lines = 5;
//   options.period = absl::Seconds(1);
//   LogRateLimiter limiter(options);
//   if (const auto suppressed = limiter.Take(now))
//     LogEvent(..., {{"lines_left_out", absl::StrCat(*suppressed)}});

#ifndef KEELBRIDGE_BASE_LOG_RATE_LIMITER_H_
#define KEELBRIDGE_BASE_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include "absl/time/time.h"

namespace keelbridge {

// Not thread-safe.
class LogRateLimiter {
 public:
  struct Options {
    int max_lines = 5;  // Per period.
    absl::Duration period = absl::Seconds(1);
  };

  LogRateLimiter() : LogRateLimiter(Options()) {}
  explicit LogRateLimiter(Options options) : options_(options) {}

  // Decides whether a line may be logged at `now`. Returns the number of lines
  // suppressed since the last logged line, or nullopt if this line is
  // suppressed too.
  std::optional<int64_t> Take(absl::Time now) {
    if (now - period_start_ >= options_.period) {
      period_start_ = now;
      written_ = 0;
    }
    if (written_ >= options_.max_lines) {
      ++suppressed_;
      return std::nullopt;
    }
    ++written_;
    return std::exchange(suppressed_, 0);
  }

 private:
  const Options options_;
  absl::Time period_start_ = absl::InfinitePast();
  int written_ = 0;
  int64_t suppressed_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_LOG_RATE_LIMITER_H_
