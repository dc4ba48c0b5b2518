/// Adapter between the daemon and a platform: the clients of the platform, engines and services,
/// and the frontend that serves callers. There is one implementation for each platform protocol;
/// the rest of the daemon does not depend on the protocol.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_connections.h"
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
  api::ServerConnections& connections;
};

/// Serves callers by passing their requests to the node. Must outlive the HTTP server that calls
/// the frontend, and must not outlive the node.
class Frontend {
 public:
  virtual ~Frontend() = default;

  /// Adds handlers to `routes` for all paths that have no other handler.
  virtual void mount(gateway::HttpRoutes& routes) = 0;
  /// \return headers that the HTTP server adds to its responses to requests that it rejects itself,
  ///   without calling a handler.
  virtual std::vector<http::Header> rejectionHeaders() const = 0;
  /// \return limits on callers' requests besides those of the settings; they may change at any
  /// time.
  virtual http::RequestLimits requestLimits() const { return {}; }
  /// Records a request that the HTTP server itself rejected.
  virtual void reportRejection(const http::Rejection& rejection) = 0;
  /// \return the number of requests in flight.
  virtual std::size_t openRequests() const = 0;
  /// Answers all requests in flight with an error at once, at the end of a planned stop.
  virtual void cancelOpenRequests() = 0;
};

/// Provides the clients and the frontend of one platform protocol. Must outlive the node.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /// \return the node's clients, valid as long as this object.
  virtual node::NodeClients clients() = 0;
  /// Creates the frontend for `node`, which has to use the clients returned by clients().
  virtual std::unique_ptr<Frontend> makeFrontend(node::Node& node) = 0;
  /// Starts to read the platform's state and its changes, if the protocol requires this. Called
  /// once, after makeFrontend().
  virtual void start() = 0;
};

using PlatformAdapterFactory =
    std::function<std::unique_ptr<PlatformAdapter>(const PlatformAdapterContext& context)>;

}  // namespace cypresswall::surroundings
