#include "testing/fakes/odd_documents.h"

#include <json/json.h>

#include <functional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge::testing {
namespace {

// Stands for an odd value, which need not be valid JSON.
constexpr char kPlaceholder[] = "@odd value@";

// Calls `visit` for `value` and all values in it.
void VisitValues(Json::Value& value,
                 const std::function<void(Json::Value&)>& visit) {
  visit(value);
  if (!value.isObject() && !value.isArray()) return;
  for (Json::Value& inner : value) VisitValues(inner, visit);
}

}  // namespace

std::string NestedArrays(int depth) {
  const auto size = static_cast<size_t>(depth);
  return std::string(size, '[') + std::string(size, ']');
}

std::string NestedObjects(int depth) {
  std::string open;
  for (int i = 0; i < depth; ++i) open += "{\"a\":";
  return open + "1" + std::string(static_cast<size_t>(depth), '}');
}

std::vector<std::string> OddValues() {
  return {NestedArrays(20),
          NestedArrays(200),
          NestedArrays(100'000),
          NestedObjects(20),
          NestedObjects(200),
          NestedObjects(30'000),
          std::string(100'000, '['),  // Unclosed.
          "1e999",
          "-1e999",
          "1e300",
          "1.5",
          "-1",
          "2147483648",
          "9223372036854775808",   // 2^63
          "18446744073709551616",  // 2^64
          "-9223372036854775809",
          std::string(400, '9'),
          "true",
          "null",
          "\"\"",
          "\"x\"",
          "[]",
          "{}",
          "[null]",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:99999999999999999999\""};
}

std::vector<std::string> OddVariantsOf(const std::string& document) {
  std::vector<std::string> with_placeholder;
  Json::Value root = JsonDocument::Parse(document, "a test document").root();
  VisitValues(root, [&](Json::Value& value) {
    const Json::Value sound = value;
    value = kPlaceholder;
    with_placeholder.push_back(ToJsonText(root));
    value = sound;
  });
  for (const std::string& name : root.getMemberNames()) {
    Json::Value alone(Json::objectValue);
    alone[name] = kPlaceholder;
    with_placeholder.push_back(ToJsonText(alone));
  }
  root["unknown"] = kPlaceholder;
  with_placeholder.push_back(ToJsonText(root));
  std::vector<std::string> out;
  for (const std::string& text : with_placeholder) {
    for (const std::string& odd : OddValues())
      out.push_back(absl::StrReplaceAll(
          text, {{absl::StrCat("\"", kPlaceholder, "\""), odd}}));
  }
  return out;
}

}  // namespace keelbridge::testing
