#include "keelbridge/coordination/run_stop.h"

#include <algorithm>

namespace keelbridge {
namespace {

// The pause between two orders that the worker has not accepted.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(400);
// The same while answers get lost, since a call whose answer was lost has to be
// repeated.
constexpr absl::Duration kLossyRetryDelay = absl::Milliseconds(30);
// The longest pause while the worker answers nothing. The first answer ends it.
constexpr absl::Duration kMaxSilentPause = absl::Seconds(5);
// Added to the stop timeout, since a worker's timers may fire late.
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(250);
// The time to the deadline doubles with each acceptance, at most this often.
constexpr int32_t kMaxDeadlineDoublings = 4;

}  // namespace

void RunStop::Request() {
  if (state_ == State::kNotRequested) state_ = State::kToSend;
}

void RunStop::OnSent(absl::Time now, const WorkerAnswers& worker) {
  if (worker.last_answer > sent_) unanswered_ = 0;
  state_ = State::kInFlight;
  sent_ = now;
  ++tries_;
}

void RunStop::OnAccepted(absl::Time now, absl::Duration stop_timeout) {
  if (!requested()) return;
  const int32_t doublings = std::min(acceptances_, kMaxDeadlineDoublings);
  state_ = State::kAccepted;
  accepted_at_ = std::min(accepted_at_, now);
  deadline_ = now + (stop_timeout + kDeadlineMargin) * (1 << doublings);
  unanswered_ = 0;
  ++acceptances_;
}

void RunStop::OnUnanswered() {
  if (state_ != State::kInFlight) return;
  state_ = State::kNotAccepted;
  ++unanswered_;
}

void RunStop::OnRefused() {
  if (state_ != State::kInFlight) return;
  state_ = State::kNotAccepted;
  unanswered_ = 0;
}

void RunStop::OnAnswersVoid() {
  if (state_ == State::kNotRequested || state_ == State::kToSend) return;
  state_ = State::kNotAccepted;
  accepted_at_ = absl::InfiniteFuture();
  unanswered_ = 0;
}

void RunStop::OnListed(absl::Time requested) {
  if (state_ == State::kAccepted && requested > deadline_)
    state_ = State::kOverdue;
}

absl::Time RunStop::NextSend(const WorkerAnswers& worker) const {
  switch (state_) {
    case State::kNotRequested:
    case State::kInFlight:
    case State::kAccepted:
      return absl::InfiniteFuture();
    case State::kToSend:
    case State::kOverdue:
      return absl::InfinitePast();
    case State::kNotAccepted:
      return sent_ + Pause(worker);
  }
  return absl::InfiniteFuture();
}

absl::Duration RunStop::Pause(const WorkerAnswers& worker) const {
  absl::Duration pause = worker.lossy ? kLossyRetryDelay : kRetryDelay;
  if (worker.last_answer > sent_) return pause;
  for (int32_t i = 1; i < unanswered_ && pause < kMaxSilentPause; ++i)
    pause *= 2;
  return std::min(pause, kMaxSilentPause);
}

}  // namespace keelbridge
