#include "keelbridge/coordination/open_calls.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("open calls: an answer counts once") {
  OpenCalls calls;
  calls.Open(1);
  calls.Open(2);
  CHECK(calls.size() == 2);
  CHECK(calls.Close(1));
  CHECK_FALSE(calls.Close(1));
  CHECK(calls.size() == 1);
  CHECK(calls.Close(2));
  CHECK(calls.size() == 0);
}

TEST_CASE("open calls: answers to calls that were closed do not count") {
  OpenCalls calls;
  calls.Open(1);
  calls.CloseAll();
  CHECK(calls.size() == 0);
  calls.Open(2);
  CHECK_FALSE(calls.Close(1));
  CHECK(calls.size() == 1);
}

TEST_CASE("open calls: a call claims its amount until it is closed") {
  OpenCalls calls;
  calls.Open(1, 300);
  calls.Open(2, 50);
  CHECK(calls.claimed() == 350);
  calls.Close(1);
  calls.Close(1);
  CHECK(calls.claimed() == 50);
  calls.CloseAll();
  calls.Close(2);
  CHECK(calls.claimed() == 0);
}

}  // namespace
}  // namespace keelbridge
