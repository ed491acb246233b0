// Where a process listens: an IP number, a port, and for stand-ins that share a
// port a path prefix.
//
//   Result<Address> address = ParseAddress("127.0.0.1:8080/worker-3");
//   // ip "127.0.0.1", port 8080, prefix "/worker-3"

#ifndef KEELBRIDGE_TRANSPORT_ADDRESS_H_
#define KEELBRIDGE_TRANSPORT_ADDRESS_H_

#include <string>

#include "keelbridge/base/result.h"

namespace keelbridge {

struct Address {
  std::string ip;
  int port = 0;
  std::string prefix;  // Empty, or starts with '/'.

  std::string ToString() const;
};

// Reads "ip:port" or "ip:port/prefix". Names are refused: processes talk by IP
// numbers. Port 0 is allowed and means that the kernel picks one.
Result<Address> ParseAddress(const std::string& text);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_ADDRESS_H_
