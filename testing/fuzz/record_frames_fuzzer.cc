// Fuzzes record frames of the store. The first eight bytes of the input are the
// requested offset, and the rest is the response body. Records that are parsed
// completely are encoded to the same bytes.

#include <cstring>

#include "platform/log_store.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

// Length of the header of a body: the end and the first offset of the stream.
constexpr size_t kHeaderBytes = 16;

// A record with an empty value and a record without a value have the same
// encoding.
void CheckEncodedEqual(const std::string& body,
                       const keelbridge::ReadReply& reply) {
  fuzz::Require(platform::internal::EncodeRecords(reply.records) ==
                    body.substr(kHeaderBytes),
                "records are encoded to the bytes that were decoded");
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
                  "offsets are consecutive");
  return 0;
}
