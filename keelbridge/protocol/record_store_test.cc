#include "keelbridge/protocol/record_store.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("record store: a batch is split into appends of bounded size") {
  std::vector<Record> records;
  records.reserve(10);
  for (int i = 0; i < 10; ++i)
    records.push_back({"key" + std::to_string(i), std::string(91, 'v'), -1});
  CHECK(EncodedSize(records[0]) == 100);
  CHECK(CountForAppend(records, 0, 10000) == 10);
  CHECK(CountForAppend(records, 0, 350) == 3);
  CHECK(CountForAppend(records, 9, 350) == 1);
  // A single record above the limit is appended, and the store refuses it.
  CHECK(CountForAppend(records, 2, 50) == 1);
  CHECK(CountForAppend({}, 0, 350) == 0);
}

}  // namespace
}  // namespace keelbridge
