#include "standins/process/standin_process.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <sstream>
#include <utility>

#include "cypresswall/common/event_log.h"

namespace cypresswall::standins {
namespace {

constexpr std::size_t kMaximumConnections = 20000;

}  // namespace

StandinProcess::StandinProcess(const std::string& name) { log_.setProcess(name, ""); }

void StandinProcess::addServer(const std::string& address, http::Handler handler) {
  http::ServerSettings settings;
  settings.address = address;
  settings.maximum_connections = kMaximumConnections;
  listeners_.push_back(
      {address, http::makeServer(context_, std::move(settings), std::move(handler))});
}

int StandinProcess::run() {
  asio::signal_set signals(context_, SIGTERM, SIGINT);
  signals.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      context_.stop();
    }
  });
  try {
    for (const Listener& listener : listeners_) {
      listener.server->start();
      logListening(listener.address, listener.server->port());
    }
  } catch (const http::ListenError& error) {
    common::LogEvent(log_, common::LogLevel::kError, "cannot_listen").field("error", error.what());
    return kExitCannotListen;
  }
  context_.run();
  const common::LogEvent stopped(log_, common::LogLevel::kInfo, "stopped");
  return 0;
}

void StandinProcess::logListening(const std::string& address, std::uint16_t port) {
  const std::string host = address.substr(0, address.rfind(':'));
  common::LogEvent(log_, common::LogLevel::kInfo, "listening")
      .field("address", host + ":" + std::to_string(port));
}

std::vector<std::string> splitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

}  // namespace cypresswall::standins
