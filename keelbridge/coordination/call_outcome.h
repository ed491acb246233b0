// Decides from the results of its tries whether a client's call may have run.
//
// A node forwards a call to the leader in one or more tries. It may tell the
// client that the call was rejected and will never run only if no copy of the
// call is left that could still run: neither at an unreachable leader, nor on a
// stalled connection, nor in a term that has just ended.
//
// CallOutcome performs no I/O and reads no clock.
//
//   CallOutcome outcome;
//   outcome.BeginTry();
//   // The leader's answer is lost: EndTry() returns false, so try again.
//   outcome.EndTry(CallOutcome::TryResult::kNoAnswer);
//   if (!outcome.MayHaveRun()) AnswerRejected();

#ifndef KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_
#define KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_

namespace keelbridge {

class CallOutcome {
 public:
  enum class TryResult {
    kNothingSent,  // No byte of the call was sent.
    kNotLeader,    // The node does not lead and has not run the call.
    kNoAnswer,     // The call was sent and no answer arrived.
    kTermEnded,    // The leader's term ended while the call was pending there.
    kRejected,     // The leader rejected the call.
    kAnswered,     // The leader gave any other answer.
  };

  // Records that a try has been sent to the leader or is being processed there.
  void BeginTry() { try_in_flight_ = true; }
  // Records the result of a try. Returns true if the leader's answer is to be
  // passed to the client, and false if the call must be tried again.
  bool EndTry(TryResult end);
  // Returns true if a try may have run or may still run.
  bool MayHaveRun() const { return try_in_flight_ || earlier_try_may_run_; }

 private:
  bool try_in_flight_ = false;
  // A finished try may have run or may still run.
  bool earlier_try_may_run_ = false;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_
