// The gateway of an entry host: callers' HTTP requests to the targets of its
// zone.
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
  // Serves when it returns. It does not wait for the log or a configuration;
  // `/readyz` tells of those.
  static Result<std::unique_ptr<Gateway>> Start(const Settings& settings);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int port() const;
  // A planned stop: tells peers and the balancer, finishes what is in flight,
  // then returns.
  void Drain();

 private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_GATEWAY_H_
