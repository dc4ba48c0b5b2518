/// Whether this node can reach servers (engines and plain back ends) at all.
#pragma once

#include <functional>

namespace cypresswall::api {

class ServerPath {
 public:
  virtual ~ServerPath() = default;
  /// \return true if this node can't open connections to servers of several hosts, and reached none
  ///   since. What it then finds out about a single server is about its own links, not about the
  ///   server.
  virtual bool lost() const = 0;
  /// Probes a few servers.
  /// \param callback called once, possibly before this function returns: true if this node reaches
  ///   at least one of them
  virtual void check(std::function<void(bool works)> callback) = 0;
};

}  // namespace cypresswall::api
