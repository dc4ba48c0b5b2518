#include "apps/cypresswalld/daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>

#include "cypresswall/operators/command_api.h"
#include "cypresswall/runtime/descriptor_limit.h"
#include "cypresswall/runtime/event_loop.h"

namespace cypresswall::daemon {
namespace {

using common::LogEvent;
using common::LogLevel;

constexpr int kExitForced = 1;
/// Callers may have all but this part of the descriptors.
constexpr std::size_t kReservedDescriptorsDivisor = 4;
/// Maximum time for sending the remaining responses and messages after the node has stopped.
constexpr auto kFlushTimeout = std::chrono::seconds(2);
constexpr auto kFlushCheckInterval = std::chrono::milliseconds(10);

std::uint64_t randomSeed() {
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

/// \return the incarnation number of this process: microseconds since 1970, so that the number
///   increases with each restart on the same address.
std::uint64_t newIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

runtime::CurlMultiSettings curlSettings(const settings::DaemonSettings& settings) {
  runtime::CurlMultiSettings curl;
  curl.maximum_idle_connections =
      std::max(curl.maximum_idle_connections, settings.connections.maximum_idle);
  curl.maximum_collected_bytes = settings.collected_response_bytes;
  return curl;
}

}  // namespace

Daemon::Daemon(settings::DaemonSettings settings, Reload reload,
               const surroundings::PlatformAdapterFactory& make_platform_adapter)
    : settings_(std::move(settings)),
      reload_(std::move(reload)),
      random_(randomSeed()),
      log_(settings_.log_level),
      transport_(context_, settings_.transport, random_, log_, counters_),
      self_{transport_.listen(), newIncarnation()},
      connections_(settings_.connections, counters_),
      curl_(context_, curlSettings(settings_), &connections_, &counters_, &guard_),
      server_connections_(context_, log_, settings_.engines.connect_time_limit),
      platform_adapter_(
          make_platform_adapter({settings_, processContext(), curl_, server_connections_})),
      node_(settings_.node, processContext(), platform_adapter_->clients()),
      frontend_(platform_adapter_->makeFrontend(node_)),
      caller_memory_(std::make_shared<http::CallerMemory>(settings_.caller_memory_bytes)),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {
  log_.setProcess(self_.address, settings_.zone);
  connections_.setShare([this] { return node_.connectionShares().perServer(); });
  applyReloadable(settings_);
  frontend_->mount(routes_);
  mountManagementPaths();
  startServers();
}

Daemon::~Daemon() = default;

api::ProcessContext Daemon::processContext() {
  return api::ProcessContext{self_, settings_.zone, clock_,     scheduler_, random_,
                             log_,  counters_,      transport_, dispatcher_};
}

http::ServerSettings Daemon::serverSettings() {
  http::ServerSettings settings = settings_.server;
  settings.guard = &guard_;
  settings.caller_memory = caller_memory_;
  settings.request_limits = [this] { return frontend_->requestLimits(); };
  settings.rejection_headers = frontend_->rejectionHeaders();
  settings.on_rejected = [this](const http::Rejection& rejection) {
    frontend_->reportRejection(rejection);
  };
  limitToDescriptors(settings);
  reportAcceptRestarts(settings);
  return settings;
}

http::ServerSettings Daemon::managementServerSettings() {
  http::ServerSettings settings;
  settings.address = settings_.readiness_address;
  settings.guard = &guard_;
  settings.caller_memory = caller_memory_;
  settings.maximum_connections = settings_.management_connections;
  settings.on_rejected = [this](const http::Rejection& rejection) {
    frontend_->reportRejection(rejection);
  };
  reportAcceptRestarts(settings);
  return settings;
}

void Daemon::limitToDescriptors(http::ServerSettings& settings) {
  const std::size_t descriptors = runtime::maximumDescriptors();
  const std::size_t available = descriptors - descriptors / kReservedDescriptorsDivisor;
  if (settings.maximum_connections <= available) {
    return;
  }
  LogEvent(log_, LogLevel::kWarning, "connections_limited_by_descriptors")
      .field("connections", settings.maximum_connections)
      .field("descriptors", descriptors)
      .field("limited_to", available);
  settings.maximum_connections = available;
}

void Daemon::reportAcceptRestarts(http::ServerSettings& settings) {
  auto& restarts = counters_.counter("cypresswall_http_accept_restarts_total",
                                     "Times that callers waited since accepts had failed.");
  settings.on_accepts_restarted = [this, &restarts, address = settings.address] {
    restarts.add();
    LogEvent(log_, LogLevel::kWarning, "accepts_restarted")
        .field("address", address)
        .field("descriptors", runtime::maximumDescriptors());
  };
}

void Daemon::mountManagementPaths() {
  gateway::HttpRoutes& routes = settings_.readiness_address.empty() ? routes_ : management_routes_;
  mountHealth(
      routes, [this] { return readiness(); }, counters_);
  routes.add("/operators", operators::makeCommandHandler(node_.commands()));
}

void Daemon::startServers() {
  const auto handlerOf = [](const gateway::HttpRoutes& routes) {
    return [&routes](http::Request request, const std::shared_ptr<http::Responder>& responder) {
      routes.handle(std::move(request), responder);
    };
  };
  server_ = http::makeServer(context_, serverSettings(), handlerOf(routes_));
  server_->start();
  if (!settings_.readiness_address.empty()) {
    management_server_ =
        http::makeServer(context_, managementServerSettings(), handlerOf(management_routes_));
    management_server_->start();
  }
}

Readiness Daemon::readiness() const {
  if (stopping_ || node_.draining()) {
    return Readiness::kDraining;
  }
  return node_.ready() ? Readiness::kReady : Readiness::kNoConfiguration;
}

int Daemon::run() {
  LogEvent(log_, LogLevel::kInfo, "daemon_started")
      .field("version", CYPRESSWALL_VERSION)
      .field("messages", static_cast<std::uint32_t>(api::kHandledMessages))
      .field("incarnation", self_.incarnation)
      .field("gateway", settings_.server.address)
      .field("machine", settings_.node.membership.machine)
      .field("caller_memory", settings_.caller_memory_bytes)
      .field("region", settings_.node.membership.region);
  transport_.start(self_, dispatcher_);
  platform_adapter_->start();
  node_.start();
  waitForSignal();
  runtime::runEventLoop(context_, guard_);
  LogEvent(log_, LogLevel::kInfo, "daemon_stopped").field("exit_code", exit_code_);
  return exit_code_;
}

void Daemon::waitForSignal() {
  signals_.async_wait([this](const std::error_code& error, int signal) {
    if (!error) {
      waitForSignal();
      handleSignal(signal);
    }
  });
}

void Daemon::handleSignal(int signal) {
  if (signal == SIGHUP) {
    reload();
  } else if (!stopping_) {
    beginStop();
  } else {
    LogEvent(log_, LogLevel::kWarning, "stop_forced").field("in_flight", frontend_->openRequests());
    exit_code_ = kExitForced;
    context_.stop();
  }
}

void Daemon::reload() {
  try {
    applyReloadable(reload_());
    LogEvent(log_, LogLevel::kInfo, "settings_reloaded");
  } catch (const std::exception& error) {
    LogEvent(log_, LogLevel::kError, "settings_not_reloaded").field("error", error.what());
  }
}

void Daemon::applyReloadable(const settings::DaemonSettings& settings) {
  log_.setLevel(settings.log_level);
  transport_.faultSwitch().set(settings.blocked_peers);
  curl_.faultSwitch().set(settings.blocked_peers);
}

void Daemon::beginStop() {
  stopping_ = true;
  LogEvent(log_, LogLevel::kInfo, "stop_began").field("in_flight", frontend_->openRequests());
  if (settings_.stop_lame_duck.count() > 0) {
    scheduler_.schedule(settings_.stop_lame_duck, [this] { stopNode(); });
  } else {
    stopNode();
  }
}

void Daemon::stopNode() {
  node_.beginStop([this] {
    server_->stopListening();
    frontend_->cancelOpenRequests();
    finishStop(clock_.now() + kFlushTimeout);
  });
}

void Daemon::finishStop(common::MonotonicTime limit) {
  const bool busy = !server_->isIdle() || transport_.queuedMessages() > 0;
  if (busy && clock_.now() < limit) {
    scheduler_.schedule(kFlushCheckInterval, [this, limit] { finishStop(limit); });
    return;
  }
  server_->close();
  context_.stop();
}

}  // namespace cypresswall::daemon
