#include "keelbridge/base/log_rate_limiter.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("line limit: lines beyond the limit are suppressed and counted") {
  const absl::Time begin = absl::UnixEpoch() + absl::Hours(1);
  LogRateLimiter::Options options;
  options.max_lines = 2;
  options.period = absl::Seconds(1);
  LogRateLimiter lines(options);
  CHECK(lines.Take(begin) == 0);
  CHECK(lines.Take(begin) == 0);
  CHECK_FALSE(lines.Take(begin).has_value());
  CHECK_FALSE(lines.Take(begin + absl::Milliseconds(900)).has_value());
  CHECK(lines.Take(begin + absl::Seconds(1)) == 2);
  CHECK(lines.Take(begin + absl::Seconds(1)) == 0);
  CHECK_FALSE(lines.Take(begin + absl::Seconds(1)).has_value());
}

}  // namespace
}  // namespace keelbridge
