// Record frames of the store: the first eight bytes are the offset asked for,
// the rest is the answer's body. What is read whole is written the same.

#include <cstring>

#include "platform/log_store.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

// The body's first bytes: where the stream ends and begins.
constexpr size_t kHeaderBytes = 16;

// A record of a key and no bytes, and one of a key alone, have one form.
void CheckEncodedEqual(const std::string& body,
                       const keelbridge::ReadReply& reply) {
  fuzz::Require(platform::internal::EncodeRecords(reply.records) ==
                    body.substr(kHeaderBytes),
                "records are written as they were read");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  int64_t from = 0;
  if (size < sizeof(from)) return 0;
  std::memcpy(&from, data, sizeof(from));
  const std::string body =
      fuzz::InputText(data + sizeof(from), size - sizeof(from));
  keelbridge::ReadReply reply;
  if (!platform::internal::DecodeRead(body, from, &reply)) return 0;
  CheckEncodedEqual(body, reply);
  for (size_t i = 0; i < reply.records.size(); ++i)
    fuzz::Require(reply.records[i].offset - from == static_cast<int64_t>(i),
                  "offsets rise by one");
  return 0;
}
