// Validates JSON objects and reports all faults at once.
//
// Each fault names the line, the key, the value and what is allowed. Unknown
// and duplicate keys are faults. Used for settings, configurations and intents,
// and to validate messages from peers.
//
//   JsonDocument doc = JsonDocument::Parse(text, "settings.json");
//   JsonReader reader(doc, doc.root(), "");
//   reader.String("name", &settings.name);
//   reader.Integer("port", 0, 65535, &settings.port);
//   reader.Finish();
//   if (!doc.faults().empty()) return doc.FaultError();

#ifndef KEELBRIDGE_BASE_JSON_READER_H_
#define KEELBRIDGE_BASE_JSON_READER_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"

namespace keelbridge {

// A parsed JSON text and the faults found in it so far. A `JsonReader` adds the
// faults that it finds to its document.
class JsonDocument {
 public:
  // Parses `text`. `source` names the text in faults. Never fails: if `text` is
  // not a JSON object, the document has a fault and an empty root.
  static JsonDocument Parse(std::string text, std::string source);

  const Json::Value& root() const { return root_; }
  // Moves the member `name` out of the document; null if there is none.
  Json::Value Take(const std::string& name);
  const std::vector<std::string>& faults() const { return faults_; }
  // Returns all faults, one per line, as an error with code `kInvalid`.
  Error FaultError() const;
  void AddFault(const Json::Value& at, const std::string& key,
                const std::string& what);

 private:
  int LineNumberAt(ptrdiff_t offset) const;

  std::string text_;
  std::string source_;
  Json::Value root_{Json::objectValue};
  std::vector<std::string> faults_;
};

// Reads the members of one object and checks their types and values. Members
// read by methods without the prefix `Optional` are required.
class JsonReader {
 public:
  JsonReader(JsonDocument& document, const Json::Value& object,
             std::string path);

  // Methods for required members. `*out` keeps its value if the member is
  // missing or invalid. Strings must not be empty.
  void String(const std::string& key, std::string* out);
  void OneOf(const std::string& key, const std::vector<std::string>& allowed,
             std::string* out);
  void Integer(const std::string& key, int64_t min_value, int64_t max_value,
               int64_t* out);
  void Number(const std::string& key, double min_value, double max_value,
              double* out);
  void Bool(const std::string& key, bool* out);
  void ObjectList(const std::string& key,
                  const std::function<void(JsonReader&)>& read);
  void StringList(const std::string& key, std::vector<std::string>* out);
  // Like `StringList`, but faults do not show the value.
  void SecretList(const std::string& key, std::vector<std::string>* out);
  // Read an object or a list of objects from other writers, which may add
  // members: unknown members are not faults.
  void ExtensibleObject(const std::string& key,
                        const std::function<void(JsonReader&)>& read);
  void ExtensibleObjectList(const std::string& key,
                            const std::function<void(JsonReader&)>& read);

  // Returns true if the member is present. A caller can use this to read an
  // optional member with the methods above.
  bool Has(const std::string& key) const { return object_.isMember(key); }

  void OptionalString(const std::string& key, std::string* out);
  void OptionalInteger(const std::string& key, int64_t min_value,
                       int64_t max_value, int64_t* out);
  void OptionalNumber(const std::string& key, double min_value,
                      double max_value, double* out);
  void OptionalBool(const std::string& key, bool* out);
  // Reads a number of milliseconds. `key` must end in `_ms`.
  void OptionalMillis(const std::string& key, int64_t min_value,
                      int64_t max_value, absl::Duration* out);

  // Reports a fault for a member that has a valid type but an invalid value.
  void ReportFault(const std::string& key, const std::string& what);
  // Like `ReportFault`, but does not show the value.
  void ReportSecretFault(const std::string& key, const std::string& what);

  // Reports every member that no call above has read. Call this last.
  void Finish();

 private:
  const Json::Value* Find(const std::string& key, const char* allowed);
  void ReadObjects(const std::string& key,
                   const std::function<void(JsonReader&)>& read);

  JsonDocument& document_;
  const Json::Value& object_;
  std::string path_;
  std::set<std::string> requested_keys_;
};

// Serializes `value` without whitespace and with sorted keys, so that equal
// values have equal texts.
std::string ToJsonText(const Json::Value& value);

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_JSON_READER_H_
