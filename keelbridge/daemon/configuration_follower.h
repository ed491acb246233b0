// Keeps a daemon's configuration up to date: from the log, and from peers while
// the log is unavailable.
//
//   ConfigurationFollower follower(log, timeout);
//   if (follower.PollLog()) Apply(follower.current());

#ifndef KEELBRIDGE_DAEMON_CONFIGURATION_FOLLOWER_H_
#define KEELBRIDGE_DAEMON_CONFIGURATION_FOLLOWER_H_

#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/state/configuration_state.h"

namespace keelbridge {

// Thread-safe.
class ConfigurationFollower {
 public:
  ConfigurationFollower(LogClient& log, absl::Duration timeout)
      : log_(log), timeout_(timeout) {}

  // Reads the new records of the log. Returns true if another version is now in
  // force.
  bool PollLog();
  // Asks the daemon at `address` for a newer version. Returns true if another
  // version is now in force.
  bool PollPeer(const std::string& address);

  Configuration current() const;
  int64_t version() const;
  bool log_answers() const;
  // Returns the answer to a peer that has version `have`: {"version", "text"}.
  // The text is included only if the version in force is newer.
  Json::Value MakePeerReply(int64_t have) const;
  // Returns an entry that writes the version in force to the log again, if no
  // record has contained it for `every`, so that the log's retention does not
  // drop it. `every` must be well under half of the retention.
  std::optional<ConfigurationEntry> RenewalDue(absl::Time now,
                                               absl::Duration every) const;

 private:
  LogClient& log_;
  const absl::Duration timeout_;
  mutable absl::Mutex mutex_;
  ConfigurationState state_ ABSL_GUARDED_BY(mutex_);
  bool log_answers_ ABSL_GUARDED_BY(mutex_) = false;
  // When the last record that contains the version in force was read.
  absl::Time last_carried_time_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_CONFIGURATION_FOLLOWER_H_
