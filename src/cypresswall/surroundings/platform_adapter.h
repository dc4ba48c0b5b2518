/// Adapter between the daemon and a platform: the clients of the platform, engines and services,
/// and the frontend that serves callers. There is one implementation for each platform protocol;
/// the rest of the daemon is independent of it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/gateway/http_routes.h"
#include "cypresswall/http/server.h"
#include "cypresswall/node/node.h"
#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/settings/daemon_settings.h"

namespace cypresswall::surroundings {

/// Inputs of a platform adapter; all referenced objects must outlive it.
struct PlatformAdapterContext {
  const settings::DaemonSettings& settings;
  api::ProcessContext process;
  runtime::CurlMulti& curl;
};

/// Serves callers. Must outlive the HTTP server that calls it, and must not outlive the node.
class Frontend {
 public:
  virtual ~Frontend() = default;

  /// Registers handlers for all paths of `routes` without another handler.
  virtual void mount(gateway::HttpRoutes& routes) = 0;
  /// \return the headers of responses with which the HTTP server itself rejects requests.
  virtual std::vector<http::Header> rejectionHeaders() const = 0;
  /// Records a request that the HTTP server itself rejected.
  virtual void reportRejection(const http::Rejection& rejection) = 0;
  /// \return the number of requests in flight.
  virtual std::size_t openRequests() const = 0;
};

/// Must outlive the node.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /// \return the node's clients, valid as long as this object.
  virtual node::NodeClients clients() = 0;
  /// Creates the frontend for the node that was built with clients().
  virtual std::unique_ptr<Frontend> makeFrontend(node::Node& node) = 0;
  /// Starts following the platform's state. Called once, after makeFrontend().
  virtual void start() = 0;
};

using PlatformAdapterFactory =
    std::function<std::unique_ptr<PlatformAdapter>(const PlatformAdapterContext& context)>;

}  // namespace cypresswall::surroundings
