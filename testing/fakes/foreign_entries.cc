#include "testing/fakes/foreign_entries.h"

#include <json/json.h>

#include <functional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "keelbridge/base/json_reader.h"
#include "testing/fakes/odd_documents.h"

namespace keelbridge::testing {
namespace {

// Stands for a value that the JSON library cannot hold.
constexpr char kPlaceholder[] = "@odd value@";

Json::Value ValidEntry(const std::string& service, const std::string& address) {
  Json::Value out(Json::objectValue);
  out["service"] = service;
  out["machine"] = "m-" + service;
  out["address"] = address;
  out["zone"] = "zone-0";
  out["version"] = "v1";
  out["slots"] = 8;
  out["state"] = "ready";
  out["coldRemainingMs"] = 0;
  out["capacity"]["cpu"] = 64000;
  out["capacity"]["memoryRequestMb"] = 262144;
  out["capacity"]["gpu"] = 0;
  out["labels"].append("a");
  out["labels"].append("r1");
  out["callSequence"] = 1;
  return out;
}

}  // namespace

std::string ValidWorkerEntry(const std::string& service,
                             const std::string& address) {
  return ToJsonText(ValidEntry(service, address));
}

std::vector<ForeignEntry> ForeignEntries(const std::string& service,
                                         const std::string& address) {
  std::vector<ForeignEntry> out;
  const auto add = [&out](const std::string& document) {
    out.push_back({absl::StrCat("foreign-", out.size()), document});
  };
  const auto add_modified =
      [&](const std::function<void(Json::Value&)>& modify) {
        Json::Value entry = ValidEntry(service, address);
        modify(entry);
        add(ToJsonText(entry));
      };
  for (const char* field :
       {"service", "address", "zone", "state", "capacity", "labels"}) {
    add_modified([&](Json::Value& entry) { entry.removeMember(field); });
    add_modified([&](Json::Value& entry) { entry[field] = 7; });
    add_modified([&](Json::Value& entry) { entry[field] = Json::Value(); });
    add_modified([&](Json::Value& entry) {
      entry[field] = Json::Value(Json::objectValue);
    });
  }
  add_modified([](Json::Value& entry) { entry["state"] = "wobbly"; });
  add_modified([](Json::Value& entry) { entry["service"] = "unheard-of"; });
  add_modified([](Json::Value& entry) { entry["capacity"]["cpu"] = true; });
  add_modified([](Json::Value& entry) { entry["capacity"]["cpu"] = -64000; });
  add_modified(
      [](Json::Value& entry) { entry["capacity"]["cpu"] = 2000000000; });
  add_modified([](Json::Value& entry) { entry["labels"] = "a"; });
  add_modified([](Json::Value& entry) { entry["slots"] = "eight"; });
  const auto add_replaced = [&](const std::string& member,
                                const std::string& text) {
    Json::Value entry = ValidEntry(service, address);
    entry[member] = kPlaceholder;
    add(absl::StrReplaceAll(ToJsonText(entry),
                            {{absl::StrCat("\"", kPlaceholder, "\""), text}}));
  };
  // Very deeply nested.
  for (const std::string& nested :
       {NestedArrays(200), NestedArrays(100'000), NestedObjects(30'000),
        std::string(100'000, '[')}) {
    add_replaced("unknown", nested);
    add_replaced("capacity", nested);
  }
  // Numbers that are too large.
  for (const char* number : {"1e999", "9223372036854775808",
                             "18446744073709551616", "-9223372036854775809"}) {
    add_replaced("born", number);
    add_replaced("remainingMs", number);
    add_replaced("slots", number);
    add_replaced("capacity",
                 absl::StrCat("{\"cpu\":", number, ",\"memoryRequestMb\":1}"));
  }
  add_replaced("unknown", "1e999");
  // Ports out of range, or in another form.
  for (const char* port : {"", "0", "-1", "65536", "70000",
                           "99999999999999999999", "+80", " 80", "80 ", "080"})
    add_modified([&](Json::Value& entry) {
      entry["address"] = absl::StrCat("127.0.0.1:", port);
    });
  const std::string valid_entry = ValidWorkerEntry(service, address);
  add("{}");
  add("[]");
  add("null");
  add(std::string("\x00\xff\xfe", 3));
  add(valid_entry.substr(0, valid_entry.size() / 2));
  add(valid_entry + "\xff");
  add(std::string(4000, '['));
  return out;
}

}  // namespace keelbridge::testing
