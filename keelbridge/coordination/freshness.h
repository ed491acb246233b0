// How old the knowledge of something is that changes elsewhere, and when to ask
// again.
//
// A reader that waits to be told cannot tell "nothing changed" from a lost
// answer, a cut or a dead connection: in each case nothing arrives.
// So knowledge has an age: since when it was last confirmed to be the newest.
// Past a bound the reader asks, and what is too old denies nothing.
//
// Pure: the time comes in. Times are of the steady clock.
//
//   Freshness freshness({});
//   freshness.OnConfirmed(sent);        // An answer to what was sent then.
//   if (freshness.RefreshDue(role, now)) Ask();
//   if (!freshness.MayDeny(now)) return kTryLater;

#ifndef KEELBRIDGE_COORDINATION_FRESHNESS_H_
#define KEELBRIDGE_COORDINATION_FRESHNESS_H_

#include "absl/time/time.h"

namespace keelbridge {

class Freshness {
 public:
  // How soon a reader asks the store itself.
  enum class Role {
    kLeader,    // Others rely on this reader: it asks early.
    kFollower,  // Is told by such a reader, and asks when that falls silent.
  };
  struct Options {
    // Unconfirmed for this long: ask. A change must be in force within 2 s; a
    // leader that asks after 0.8 s and tells its followers every
    // 0.4 s keeps theirs under 1.5 s.
    absl::Duration leader_refresh_after = absl::Milliseconds(800);
    absl::Duration follower_refresh_after = absl::Milliseconds(1500);
    // Unconfirmed for longer: nothing is denied on this knowledge. An old
    // version may be served for 2 s.
    absl::Duration max_age_for_denial = absl::Milliseconds(2000);
  };

  explicit Freshness(Options options) : options_(options) {}

  // The knowledge was the newest at `at`. An answer confirms for the moment at
  // which its request was sent, since it may have been under way for long.
  void OnConfirmed(absl::Time at);

  // Whether it is old enough to ask; how often is for `SourceReads` to say.
  bool RefreshDue(Role role, absl::Time now) const;
  // Whether it is fresh enough to say that something does not exist.
  bool MayDeny(absl::Time now) const;
  // How long ago it was confirmed; infinite before the first time.
  absl::Duration Age(absl::Time now) const { return now - confirmed_; }

 private:
  const Options options_;
  absl::Time confirmed_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_FRESHNESS_H_
