// A node of a site, as the other nodes know it.
//
//   SiteMember member{"node-a", "10.0.0.1:7580", "zone-1", true, 0.5};
//   if (member != earlier) Publish(member);

#ifndef KEELBRIDGE_MEMBERSHIP_SITE_MEMBER_H_
#define KEELBRIDGE_MEMBERSHIP_SITE_MEMBER_H_

#include <cstdint>
#include <string>

namespace keelbridge {

struct SiteMember {
  std::string name;
  std::string address;  // Serves RPCs of other nodes.
  std::string zone;
  bool store_ok = false;  // The node reaches the store directly.
  // Processors that the node can spend on leading; see NodeSettings::Capacity.
  double capacity = 1;
};

bool operator==(const SiteMember& a, const SiteMember& b);
inline bool operator!=(const SiteMember& a, const SiteMember& b) {
  return !(a == b);
}

// Returns a hash of all fields. It is the same in all processes.
uint64_t HashOf(const SiteMember& member);
// Returns a hash of the name that depends on `salt`.
uint64_t SaltedNameHash(const std::string& name, uint64_t salt);

}  // namespace keelbridge

#endif  // KEELBRIDGE_MEMBERSHIP_SITE_MEMBER_H_
