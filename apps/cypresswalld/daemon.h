/// Composes the components of a cypresswalld process on one thread and one event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <functional>
#include <memory>

#include "apps/cypresswalld/health.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/common/handler_guard.h"
#include "cypresswall/gateway/http_routes.h"
#include "cypresswall/http/server.h"
#include "cypresswall/node/node.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/runtime/log_sink.h"
#include "cypresswall/runtime/tcp_peer_transport.h"
#include "cypresswall/runtime/tcp_server_connections.h"
#include "cypresswall/settings/daemon_settings.h"
#include "cypresswall/surroundings/platform_adapter.h"

namespace cypresswall::daemon {

class Daemon {
 public:
  /// Called on SIGHUP to read the settings again. Throws settings::SettingsError if they are
  /// invalid.
  using Reload = std::function<settings::DaemonSettings()>;

  /// Opens the listening sockets of all configured addresses.
  /// \throws runtime::TransportError, http::ListenError if that fails
  Daemon(settings::DaemonSettings settings, Reload reload,
         const surroundings::PlatformAdapterFactory& make_platform_adapter);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs the event loop until the shutdown is complete. \return the exit code of the program
  int run();

 private:
  api::ProcessContext processContext();
  http::ServerSettings serverSettings();
  http::ServerSettings managementServerSettings();
  /// Keeps descriptors free for connections to engines, peers and the store.
  void limitToDescriptors(http::ServerSettings& settings);
  void reportAcceptRestarts(http::ServerSettings& settings);
  /// Adds the health, metrics and operator paths to the routes of the management server, or to
  /// those of the gateway server if the settings configure no management server.
  void mountManagementPaths();
  void startServers();
  Readiness readiness() const;
  void waitForSignal();
  void handleSignal(int signal);
  void reload();
  void applyReloadable(const settings::DaemonSettings& settings);
  /// Begins a planned stop: reports the node as not ready, but still accepts requests for
  /// DaemonSettings::stop_lame_duck, so that load balancers can notice before stopNode() is called.
  void beginStop();
  void stopNode();
  /// Ends the event loop once all responses and messages are sent, but at `limit` at the latest.
  void finishStop(common::MonotonicTime limit);

  settings::DaemonSettings settings_;
  Reload reload_;
  // Members are ordered by dependency: each uses only those above it.
  asio::io_context context_{1};
  runtime::AsioClock clock_;
  common::SeededRandom random_;
  common::CounterRegistry counters_;
  runtime::Log4cplusSink log_;
  common::HandlerGuard guard_{log_, counters_};
  runtime::AsioScheduler scheduler_{context_, &guard_};
  api::MessageDispatcher dispatcher_;
  runtime::TcpPeerTransport transport_;
  common::NodeId self_;
  runtime::ConnectionPool connections_;
  runtime::CurlMulti curl_;
  runtime::TcpServerConnections server_connections_;
  std::unique_ptr<surroundings::PlatformAdapter> platform_adapter_;
  node::Node node_;
  std::unique_ptr<surroundings::Frontend> frontend_;
  gateway::HttpRoutes routes_;
  gateway::HttpRoutes management_routes_;
  std::shared_ptr<http::CallerMemory> caller_memory_;
  std::unique_ptr<http::Server> server_;
  /// Null if the management paths are served by the gateway server.
  std::unique_ptr<http::Server> management_server_;
  asio::signal_set signals_;
  bool stopping_ = false;
  int exit_code_ = 0;
};

}  // namespace cypresswall::daemon
