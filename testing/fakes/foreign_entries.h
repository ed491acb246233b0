// Entries that another writer leaves in the list of workers: none of them names
// a worker to use.
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

// The entry of a worker with room, of `service`, as a worker writes it.
std::string ValidWorkerEntry(const std::string& service,
                             const std::string& address);

// One of each kind: a field missing, of another type or out of range, a state
// or service that nobody knows, bytes that are no record. Where they tell an
// address it is `address`; their ids begin with "foreign-".
std::vector<ForeignEntry> ForeignEntries(const std::string& service,
                                         const std::string& address);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_FOREIGN_ENTRIES_H_
