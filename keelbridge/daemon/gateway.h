// The gateway of an entry host: forwards callers' HTTP requests to the targets
// of its zone.
//
//   Result<std::unique_ptr<Gateway>> gateway = Gateway::Start(settings);
//   ... until a signal ...
//   gateway.value()->Drain();

#ifndef KEELBRIDGE_DAEMON_GATEWAY_H_
#define KEELBRIDGE_DAEMON_GATEWAY_H_

#include <memory>

#include "keelbridge/base/result.h"
#include "keelbridge/daemon/settings.h"

namespace keelbridge {

class Gateway {
 public:
  // Starts serving before it returns. Does not wait for the log or a
  // configuration; `/readyz` reports whether a configuration is in force.
  static Result<std::unique_ptr<Gateway>> Start(const Settings& settings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int port() const;
  // Stops the gateway as planned: notifies peers and the balancer, finishes the
  // requests in flight, then returns.
  void Drain();

 private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_GATEWAY_H_
