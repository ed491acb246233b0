// Tracks the age of data that changes elsewhere and decides when to refresh it.
//
// A reader that waits for notifications cannot distinguish "nothing changed"
// from a lost answer, a network partition or a dead connection: in each case
// nothing arrives. The age of the data is therefore the time since it was last
// confirmed to be current. Beyond a limit the reader asks the store, and data
// that is too old must not be used to deny that something exists.
//
// Freshness performs no I/O and reads no clock. Times are monotonic.
//
//   Freshness freshness({});
//   freshness.OnConfirmed(sent);  // The time at which the request was sent.
//   if (freshness.RefreshDue(role, now)) Ask();
//   if (!freshness.MayDeny(now)) return kTryLater;

#ifndef KEELBRIDGE_COORDINATION_FRESHNESS_H_
#define KEELBRIDGE_COORDINATION_FRESHNESS_H_

#include "absl/time/time.h"

namespace keelbridge {

class Freshness {
 public:
  // Determines how soon a reader asks the store.
  enum class Role {
    kLeader,    // Other readers depend on this one, so it asks early.
    kFollower,  // Receives updates from a leader and asks the store if they
                // stop.
  };
  struct Options {
    // Data that has not been confirmed for this long is refreshed. A change
    // must be in force within 2 s. A leader that asks after 0.5 s and updates
    // its followers through up to three hops of 0.25 s, or one of 0.5 s, keeps
    // the age of their data under 1.5 s.
    absl::Duration leader_refresh_after = absl::Milliseconds(500);
    absl::Duration follower_refresh_after = absl::Milliseconds(1500);
    // Data that has not been confirmed for longer than this must not be used to
    // deny that something exists. An old version may be served for 2 s.
    absl::Duration max_age_for_denial = absl::Milliseconds(2000);
  };

  explicit Freshness(Options options) : options_(options) {}

  // Records that the data was current at `at`. For an answer, `at` is the time
  // at which the request was sent, since the answer may have been delayed.
  void OnConfirmed(absl::Time at);

  // Returns true if the data is old enough to be refreshed. SourceReads limits
  // how often the store is asked.
  bool RefreshDue(Role role, absl::Time now) const;
  // Returns true if the data is recent enough to deny that something exists.
  bool MayDeny(absl::Time now) const;
  // Returns the time since the last confirmation, or infinity if there was
  // none.
  absl::Duration Age(absl::Time now) const { return now - confirmed_; }

 private:
  const Options options_;
  absl::Time confirmed_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_FRESHNESS_H_
