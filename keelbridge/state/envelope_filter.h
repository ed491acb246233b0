// Lets each envelope of a stream through once.
//
// A writer whose answer was lost sends the same envelope again under the same
// id, and its envelopes come in the order of their sequence. So the highest
// sequence of each writer is all that has to be kept.
//
//   EnvelopeFilter filter;
//   if (filter.Take(envelope.id, offset)) Apply(envelope);

#ifndef KEELBRIDGE_STATE_ENVELOPE_FILTER_H_
#define KEELBRIDGE_STATE_ENVELOPE_FILTER_H_

#include <cstdint>
#include <iterator>
#include <map>

#include "keelbridge/protocol/log_messages.h"

namespace keelbridge {

class EnvelopeFilter {
 public:
  struct Writer {
    int64_t sequence = 0;
    int64_t offset = 0;  // Of its last envelope.
  };

  // False when this envelope, or a later one of its writer, was taken before.
  bool Accept(const EnvelopeId& id, int64_t offset) {
    if (WasAccepted(id)) return false;
    writers_[id.incarnation] = {id.sequence, offset};
    if (offset % kIdleSweepInterval == 0) RemoveIdle(offset);
    return true;
  }

  bool WasAccepted(const EnvelopeId& id) const {
    const auto it = writers_.find(id.incarnation);
    return it != writers_.end() && it->second.sequence >= id.sequence;
  }

  // For snapshots.
  const std::map<uint64_t, Writer>& writers() const { return writers_; }
  void Restore(uint64_t incarnation, Writer writer) {
    writers_[incarnation] = writer;
  }

 private:
  // A writer that has been silent for this many records is forgotten; its last
  // answer was settled long before.
  static constexpr int64_t kIdleRecords = 100000;
  static constexpr int64_t kIdleSweepInterval = 1024;

  void RemoveIdle(int64_t offset) {
    for (auto it = writers_.begin(); it != writers_.end();) {
      const bool idle = it->second.offset + kIdleRecords < offset;
      it = idle ? writers_.erase(it) : std::next(it);
    }
  }

  std::map<uint64_t, Writer> writers_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_ENVELOPE_FILTER_H_
