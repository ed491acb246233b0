// Fuzzes a page of the store's newest records: any body is refused, or parsed
// except for the items that are reported as unreadable.

#include "platform/log_store.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  keelbridge::NewestReply page;
  if (!platform::internal::DecodeNewest(fuzz::InputText(data, size), &page))
    return 0;
  for (const keelbridge::Record& record : page.records)
    fuzz::Require(!record.value || !record.value->empty(),
                  "a record with an empty value deletes its key");
  return 0;
}
