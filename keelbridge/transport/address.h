// The address a process listens on: an IP address, a port, and an optional path
// prefix that lets several fake servers share a port.
//
//   Result<Address> address = ParseAddress("127.0.0.1:8080/worker-3");
//   // ip "127.0.0.1", port 8080, prefix "/worker-3"

#ifndef KEELBRIDGE_TRANSPORT_ADDRESS_H_
#define KEELBRIDGE_TRANSPORT_ADDRESS_H_

#include <string>

#include "keelbridge/base/result.h"

namespace keelbridge {

// A parsed listen address.
struct Address {
  std::string ip;
  int port = 0;
  std::string prefix;  // Empty, or starts with '/'.

  std::string ToString() const;
};

// Parses "ip:port" or "ip:port/prefix". Host names are rejected because
// processes address each other by IP address. Port 0 is allowed and means that
// the kernel picks a free port.
Result<Address> ParseAddress(const std::string& text);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_ADDRESS_H_
