#include "apps/cypresswalld/daemon.h"

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

#include "apps/cypresswalld/health.h"
#include "cypresswall/operators/command_api.h"

namespace cypresswall::daemon {
namespace {

using common::LogEvent;
using common::LogLevel;

constexpr int kExitForced = 1;
/// After the drain, the last answers and messages get this long to leave.
constexpr auto kLastAnswersLimit = std::chrono::seconds(2);
constexpr auto kLastAnswersCheck = std::chrono::milliseconds(10);

std::uint64_t randomSeed() {
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
}

/// Grows with each life of a process on one address: microseconds since 1970.
std::uint64_t newIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

std::int64_t unixTime() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

}  // namespace

Daemon::Daemon(settings::DaemonSettings settings, Reload reload)
    : settings_(std::move(settings)),
      reload_(std::move(reload)),
      random_(randomSeed()),
      log_(settings_.log_level),
      transport_(context_, settings_.transport, random_, log_, counters_),
      self_{transport_.listen(), newIncarnation()},
      object_store_(curl_, counters_, settings_.object_store),
      machine_list_(curl_, settings_.machine_list),
      engines_(curl_, counters_, settings_.engines),
      services_(curl_, settings_.services),
      node_(settings_.node, processContext(),
            node::NodeClients{object_store_, machine_list_, engines_, services_}),
      gateway_(gatewayContext(), settings_.gateway),
      server_(http::makeServer(
          context_, serverSettings(),
          [this](http::Request request, const std::shared_ptr<http::Responder>& responder) {
            routes_.handle(std::move(request), responder);
          })),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {
  log_.setProcess(self_.address, settings_.zone);
  applyReloadable(settings_);
  gateway_.mount(routes_);
  mountHealth(routes_, node_, counters_);
  routes_.add("/operators", operators::makeCommandHandler(node_.commands()));
  server_->start();
}

Daemon::~Daemon() = default;

api::ProcessContext Daemon::processContext() {
  return api::ProcessContext{self_, settings_.zone, clock_,     scheduler_, random_,
                             log_,  counters_,      transport_, dispatcher_};
}

gateway::GatewayContext Daemon::gatewayContext() {
  return gateway::GatewayContext{node_.modelExecutor(),
                                 node_.serviceExecutor(),
                                 node_.configurationView(),
                                 scheduler_,
                                 log_,
                                 counters_,
                                 random_,
                                 unixTime};
}

http::ServerSettings Daemon::serverSettings() {
  http::ServerSettings settings = settings_.server;
  settings.rejection_headers = {{"X-Cypresswall-Outcome", "not-run"}};
  settings.on_rejected = [this](const http::Rejection& rejection) {
    gateway_.reportRejection(rejection);
  };
  return settings;
}

int Daemon::run() {
  LogEvent(log_, LogLevel::kInfo, "daemon_started")
      .field("version", CYPRESSWALL_VERSION)
      .field("incarnation", self_.incarnation)
      .field("gateway", settings_.server.address)
      .field("machine", settings_.node.membership.machine)
      .field("region", settings_.node.membership.region);
  transport_.start(self_, dispatcher_);
  node_.start();
  waitForSignal();
  context_.run();
  LogEvent(log_, LogLevel::kInfo, "daemon_stopped").field("exit_code", exit_code_);
  return exit_code_;
}

void Daemon::waitForSignal() {
  signals_.async_wait([this](const std::error_code& error, int signal) {
    if (!error) {
      takeSignal(signal);
      waitForSignal();
    }
  });
}

void Daemon::takeSignal(int signal) {
  if (signal == SIGHUP) {
    reload();
  } else if (!stopping_) {
    beginStop();
  } else {
    LogEvent(log_, LogLevel::kWarning, "stop_forced").field("in_flight", gateway_.openRequests());
    exit_code_ = kExitForced;
    context_.stop();
  }
}

void Daemon::reload() {
  try {
    applyReloadable(reload_());
    LogEvent(log_, LogLevel::kInfo, "settings_reloaded");
  } catch (const common::Error& error) {
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
  LogEvent(log_, LogLevel::kInfo, "stop_began").field("in_flight", gateway_.openRequests());
  node_.beginStop([this] {
    server_->stopListening();
    finishStop(clock_.now() + kLastAnswersLimit);
  });
}

void Daemon::finishStop(common::MonotonicTime limit) {
  const bool busy = server_->openRequests() > 0 || transport_.queuedMessages() > 0;
  if (busy && clock_.now() < limit) {
    scheduler_.schedule(kLastAnswersCheck, [this, limit] { finishStop(limit); });
    return;
  }
  server_->close();
  context_.stop();
}

}  // namespace cypresswall::daemon
