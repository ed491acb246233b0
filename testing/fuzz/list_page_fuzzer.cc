// A page of the store's newest records: any body is refused, or read but for
// the items named as unreadable.

#include "platform/log_store.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  keelbridge::NewestReply page;
  if (!platform::internal::DecodeNewest(fuzz::InputText(data, size), &page))
    return 0;
  for (const keelbridge::Record& record : page.records)
    fuzz::Require(!record.value || !record.value->empty(),
                  "a record without bytes drops its key");
  return 0;
}
