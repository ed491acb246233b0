#include "keelbridge/daemon/order_messages.h"

#include <doctest/doctest.h>

#include <string>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

Json::Value ParseRow(const std::string& text) {
  return JsonDocument::Parse("{\"row\":" + text + "}", "row").root()["row"];
}

// An exception would discard the other rows of the message too.
TEST_CASE(
    "order messages: an order with a field of the wrong type is rejected") {
  const std::string task = "\"5c0e7a21d94b36f8.0.1.19\"";
  for (const std::string& text :
       {"[\"x\",1,\"w\",\"a\"," + task + ",3,9,300]",
        "[8,\"x\",\"w\",\"a\"," + task + ",3,9,300]",
        "[8,1,{},\"a\"," + task + ",3,9,300]",
        std::string("[8,1,\"w\",\"a\",[],3,9,300]"),
        "[8,1,\"w\",\"a\"," + task + ",3,9,1e300]",
        std::string("[8,2,\"w\",\"a\",9,{},1,50,400]")}) {
    CAPTURE(text);
    CHECK_FALSE(OrderFromRow(ParseRow(text)).has_value());
  }
}

TEST_CASE(
    "order messages: a reply with a field of the wrong type is rejected") {
  for (const std::string text :
       {"[\"x\",0,1000,\"\"]", "[7,0,1000,{}]", "[7,0,1000,\"\",[1],[],true]",
        "[7,0,1000,\"\",[],[\"x\"],true]", "[7,0,1000,\"\",[],[],{}]"}) {
    CAPTURE(text);
    CHECK_FALSE(ReplyFromRow(ParseRow(text)).has_value());
  }
}

// Code that switches on the result or end would handle an unknown value as its
// default case.
TEST_CASE("order messages: a reply with an unknown result or end is rejected") {
  const std::string end =
      "[7,0,1000,\"\",[],[[1,\"5c0e7a21d94b36f8.0.1.19\",2,";
  CHECK(ReplyFromRow(ParseRow("[7,11,1000,\"\"]")).has_value());
  CHECK(ReplyFromRow(ParseRow(end + "5,\"\"]],false]")).has_value());
  for (const std::string& text :
       {std::string("[7,12,1000,\"\"]"), std::string("[7,-1,1000,\"\"]"),
        std::string("[7,null,1000,\"\"]"), end + "6,\"\"]],false]",
        end + "-1,\"\"]],false]"}) {
    CAPTURE(text);
    CHECK_FALSE(ReplyFromRow(ParseRow(text)).has_value());
  }
}

}  // namespace
}  // namespace keelbridge
