// Tracks which configuration is in force: the newest accepted one, which is
// never replaced by an older one.
//
// The version of a configuration is the log offset of its first publication.
// Records come from the log; whole configurations come from peers when the log
// cannot be read. In both cases a lower version never replaces a higher one.
//
//   ConfigurationState state;
//   state.OnBatch(batch);         // From the log, read from state.next().
//   state.OnPeer(version, text);  // From a peer of the zone.

#ifndef KEELBRIDGE_STATE_CONFIGURATION_STATE_H_
#define KEELBRIDGE_STATE_CONFIGURATION_STATE_H_

#include <cstdint>
#include <string>

#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/state/envelope_filter.h"

namespace keelbridge {

class ConfigurationState {
 public:
  // Applies the records of `batch`, which was read from offset `next()`.
  void OnBatch(const LogBatch& batch);
  // Returns true if the peer's version was newer and is now in force.
  bool OnPeer(int64_t version, const std::string& text);

  int64_t next() const { return next_; }
  // The configuration in force. Its version is -1 if there is none yet.
  const Configuration& current() const { return current_; }
  // Offset of the newest record that contains the version in force.
  int64_t newest_record_offset() const { return newest_record_offset_; }
  int64_t first_retained() const { return first_retained_; }
  bool CaughtUp() const { return caught_up_; }
  int refused() const { return refused_; }

 private:
  // Whether an accepted version directly follows the version in force. The
  // overlap of majorities can be checked only for a direct successor.
  enum class Transition { kDirectSuccessor, kLaterVersion };

  void Apply(int64_t offset, const ConfigurationEntry& entry);
  void Adopt(int64_t version, const std::string& text,
             int64_t newest_record_offset, Transition transition);

  Configuration current_;
  EnvelopeFilter writers_;
  int64_t next_ = 0;
  int64_t newest_record_offset_ = -1;
  int64_t first_retained_ = 0;
  bool caught_up_ = false;
  // No record of the stream was dropped before it was read.
  bool history_complete_ = true;
  int refused_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_CONFIGURATION_STATE_H_
