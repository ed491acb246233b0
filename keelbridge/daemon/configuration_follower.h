// Keeps a daemon's configuration the newest that it can get: from the log, and
// from peers when the log is away.
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

  // Reads what is new. True when another version is now in force.
  bool PollLog();
  // Asks the daemon at `address` for a newer version. True when another version
  // is now in force.
  bool PollPeer(const std::string& address);

  Configuration current() const;
  int64_t version() const;
  bool log_answers() const;
  // What a peer is answered: {"version", "text"}; the text only when `have` is
  // older.
  Json::Value MakePeerReply(int64_t have) const;
  // The renewal that is due so that retention does not drop the version in
  // force, if any: when no record has carried it for `every`, which must be
  // well under half of the log's retention.
  std::optional<ConfigurationEntry> RenewalDue(absl::Time now,
                                               absl::Duration every) const;

 private:
  LogClient& log_;
  const absl::Duration timeout_;
  mutable absl::Mutex mutex_;
  ConfigurationState state_ ABSL_GUARDED_BY(mutex_);
  bool log_answers_ ABSL_GUARDED_BY(mutex_) = false;
  absl::Time last_carried_at_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_CONFIGURATION_FOLLOWER_H_
