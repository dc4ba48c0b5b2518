/// Callers that keep one connection each and send requests on it until it is closed, and then open
/// the next one.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cypresswall::testing {

struct KeptConnectionsReport {
  std::uint64_t answered = 0;
  /// Connections that were closed while no request was under way, or right after one was sent.
  std::uint64_t closed = 0;
  /// Requests whose connection ended without a complete answer later than that.
  std::vector<std::string> lost;
};

class KeptConnections {
 public:
  /// \param gateways "IP:port" of each node
  /// \param target path of a request that may be repeated
  KeptConnections(const std::vector<std::string>& gateways, std::size_t callers_per_node,
                  const std::string& target);
  ~KeptConnections();
  KeptConnections(const KeptConnections&) = delete;
  KeptConnections& operator=(const KeptConnections&) = delete;

  /// Ends the callers, each after the answer to its last request.
  KeptConnectionsReport finish();

 private:
  void run(const std::string& gateway, const std::string& target, std::size_t caller);
  /// Sends requests until the connection is closed.
  void useConnection(const std::string& gateway, const std::string& target, std::size_t caller);

  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  KeptConnectionsReport report_;
  std::vector<std::thread> threads_;
};

}  // namespace cypresswall::testing
