#include "keelbridge/coordination/start_window.h"

#include <algorithm>

namespace keelbridge {
namespace {

// Shares of an order's timeout. An answer within the first one leaves room for
// more orders. One after the second shows that orders queue for so long that
// more of them would time out.
constexpr double kPromptShare = 0.25;
constexpr double kLateShare = 0.5;
constexpr double kDecreaseFactor = 0.5;

}  // namespace

bool StartWindow::Admits(size_t in_flight, absl::Time now) const {
  const double size = IsIdle(now) ? options_.initial : size_;
  return static_cast<double>(in_flight) + 1 <= size;
}

void StartWindow::OnSent(absl::Time now) {
  if (IsIdle(now)) size_ = options_.initial;
  last_sent_ = now;
}

void StartWindow::OnAnswered(absl::Time sent, absl::Duration took,
                             absl::Duration timeout, size_t in_flight,
                             absl::Time now) {
  if (took > timeout * kLateShare) return OnUnanswered(sent, now);
  // A window that was not in full use proves nothing about a larger one.
  const bool in_full_use = static_cast<double>(in_flight) + 1 > size_;
  if (took > timeout * kPromptShare || !in_full_use) return;
  // By one for each window of answers.
  size_ = std::min<double>(size_ + 1 / size_, options_.max);
}

void StartWindow::OnUnanswered(absl::Time sent, absl::Time now) {
  if (sent <= decreased_at_) return;
  decreased_at_ = now;
  size_ = std::max<double>(size_ * kDecreaseFactor, options_.min);
}

}  // namespace keelbridge
