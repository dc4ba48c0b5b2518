/// Connections from this process to servers: engines and plain back ends.
#pragma once

#include <functional>
#include <utility>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::api {

/// Tells which connections could be opened, whatever client opened them, and opens some for a test.
class ServerConnections {
 public:
  /// \param address "IP:port" of the server
  /// \param established false if the connection was refused, reset or timed out
  using Observer = std::function<void(const common::Address& address, bool established)>;
  using ProbeCallback = std::function<void(bool established)>;

  virtual ~ServerConnections() = default;
  /// Opens a connection to the server and closes it. Not reported to the observer.
  /// \param callback called exactly once, never before this function returns, unless this object is
  ///   destroyed first
  virtual void probe(const common::Address& address, ProbeCallback callback) = 0;
  /// Sets the function that is told of each connection that was opened for a request, or could not
  /// be. Requests on kept connections are not reported.
  void observe(Observer observer) { observer_ = std::move(observer); }
  void report(const common::Address& address, bool established) const {
    if (observer_) {
      observer_(address, established);
    }
  }

 private:
  Observer observer_;
};

}  // namespace cypresswall::api
