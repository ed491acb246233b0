// Removes duplicate envelopes from a stream.
//
// A writer that received no answer sends the same envelope again under the same
// id, and the envelopes of a writer arrive in the order of their sequence
// numbers. It is therefore enough to keep the highest sequence number of each
// writer.
//
//   EnvelopeFilter filter;
//   if (filter.Accept(envelope.id, offset)) Apply(envelope);

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
    int64_t offset = 0;  // Log offset of the writer's latest envelope.
  };

  // Accepts an envelope. Returns false if this envelope, or a later one of its
  // writer, was accepted before.
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

  // The state of the filter, for snapshots.
  const std::map<uint64_t, Writer>& writers() const { return writers_; }
  void Restore(uint64_t incarnation, Writer writer) {
    writers_[incarnation] = writer;
  }

 private:
  // A writer without an envelope among this many records is forgotten. The
  // outcome of its latest append was settled long before.
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
