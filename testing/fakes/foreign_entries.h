// Foreign entries: invalid entries in the list of workers, as another program
// could write them. None of them describes a usable worker.
//
//   for (const ForeignEntry& entry : ForeignEntries("desk", "127.0.0.1:9"))
//     store.Put("keyed.servers", entry.id, entry.document);

#ifndef KEELBRIDGE_TESTING_FAKES_FOREIGN_ENTRIES_H_
#define KEELBRIDGE_TESTING_FAKES_FOREIGN_ENTRIES_H_

#include <string>
#include <vector>

namespace keelbridge::testing {

struct ForeignEntry {
  std::string id;
  std::string document;
};

// Returns a valid entry, as a worker of `service` with free capacity writes it.
std::string ValidWorkerEntry(const std::string& service,
                             const std::string& address);

// Returns one entry of each kind: a field that is missing, of the wrong type or
// out of range, an unknown state or service, deep nesting, numbers that are too
// large, a port that is none, and bytes that are not a record.
// Every entry with an address has `address`; all ids start with "foreign-".
std::vector<ForeignEntry> ForeignEntries(const std::string& service,
                                         const std::string& address);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_FOREIGN_ENTRIES_H_
