// A client account of the operator's configuration: who may use a site, with
// which keys, and how much of it.

#ifndef KEELBRIDGE_PROTOCOL_CLIENT_ACCOUNT_H_
#define KEELBRIDGE_PROTOCOL_CLIENT_ACCOUNT_H_

#include <string>
#include <vector>

#include "keelbridge/protocol/resources.h"

namespace keelbridge {

struct ClientAccount {
  std::string name;
  // Each key is a secret that authenticates the account's calls. Keys must not
  // appear in logs, metrics or errors.
  std::vector<std::string> keys;
  // The account's share of a full site is proportional to its weight.
  double weight = 1;
  // What the account may have running at a time. An amount of 0 means that the
  // resource is not limited.
  Resources maximum;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_CLIENT_ACCOUNT_H_
