// Whether a client's call may have run, by what came of its tries.
//
// A node carries a call to the leader in one or more tries, and may tell the
// client "not taken, will never run" only if no copy of the call is left
// anywhere that could still run: not with a leader that is out of reach, not on
// a connection that hangs, not in a term that has just ended.
//
// Pure: no time, no I/O.
//
//   CallOutcome fate;
//   fate.BeginTry();
//   ... the leader's answer is lost ...
//   fate.EndTry(CallOutcome::TryResult::kNoAnswer);  // False: try again.
//   if (!fate.MayHaveRun()) AnswerNotTaken();

#ifndef KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_
#define KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_

namespace keelbridge {

class CallOutcome {
 public:
  enum class TryResult {
    kNothingSent,  // No byte of it left.
    kNotLeader,    // Who was asked does not lead, and has not run it.
    kNoAnswer,     // It was sent, and nothing came back.
    kTermEnded,    // The leader had it when its term ended.
    kRejected,     // The leader says that it does not take it.
    kAnswered,     // Any other answer of the leader's.
  };

  // A try is with the leader, or on its way there.
  void BeginTry() { try_in_flight_ = true; }
  // Whether the leader's answer is the client's; if not, the call is to be
  // tried again.
  bool EndTry(TryResult end);
  // Whether a try may have run or may still do so.
  bool MayHaveRun() const { return try_in_flight_ || earlier_try_may_run_; }

 private:
  bool try_in_flight_ = false;
  bool earlier_try_may_run_ =
      false;  // An ended try may have run, or may still.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CALL_OUTCOME_H_
