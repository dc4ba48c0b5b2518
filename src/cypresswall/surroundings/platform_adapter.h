/// What a daemon has around it: the clients of the platform, of engines and of services on one
/// side, and what answers callers on the other. One implementation for each protocol that a
/// platform may speak; the daemon is the same with all of them.
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

/// What surroundings are built from; everything referred to outlives them.
struct PlatformAdapterContext {
  const settings::DaemonSettings& settings;
  api::ProcessContext process;
  runtime::CurlMulti& curl;
};

/// Answers callers. Outlives the HTTP server that calls it; the node outlives it.
class Frontend {
 public:
  virtual ~Frontend() = default;

  /// Takes all paths of `routes` that nobody else takes.
  virtual void mount(gateway::HttpRoutes& routes) = 0;
  /// \return the header of answers by which the HTTP server refuses requests by itself.
  virtual std::vector<http::Header> rejectionHeaders() const = 0;
  /// Takes note of a request that the HTTP server refused by itself.
  virtual void reportRejection(const http::Rejection& rejection) = 0;
  /// \return number of requests under way.
  virtual std::size_t openRequests() const = 0;
};

/// Outlives the node.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  /// \return the clients for the node, valid as long as this.
  virtual node::NodeClients clients() = 0;
  /// Makes what answers callers with the node that was built from clients().
  virtual std::unique_ptr<Frontend> makeFrontend(node::Node& node) = 0;
  /// Begins to follow the platform. Called once, after makeFrontend().
  virtual void start() = 0;
};

using PlatformAdapterFactory =
    std::function<std::unique_ptr<PlatformAdapter>(const PlatformAdapterContext& context)>;

}  // namespace cypresswall::surroundings
