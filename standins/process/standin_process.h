/// Common part of the stand-in programs: one event loop with its clock and timers, HTTP servers,
/// and a clean shutdown on SIGTERM or SIGINT.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/http/server.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "cypresswall/runtime/log_sink.h"

namespace cypresswall::standins {

/// Exit codes of the stand-in programs.
inline constexpr int kExitBadUsage = 2;
inline constexpr int kExitCannotListen = 3;

class StandinProcess {
 public:
  /// \param name included in every log line
  explicit StandinProcess(const std::string& name);

  asio::io_context& context() { return context_; }
  const common::Clock& clock() const { return clock_; }
  common::Scheduler& scheduler() { return scheduler_; }
  common::LogSink& log() { return log_; }

  /// Adds a server, to be started by run().
  void addServer(const std::string& address, http::Handler handler);
  /// Serves until SIGTERM or SIGINT. \return the program's exit code
  int run();

 private:
  void logListening(const std::string& address, std::uint16_t port);

  asio::io_context context_{1};
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_{context_};
  runtime::Log4cplusSink log_{common::LogLevel::kInfo};
  struct Listener {
    std::string address;
    std::unique_ptr<http::Server> server;
  };
  std::vector<Listener> listeners_;
};

/// \return the non-empty parts of a comma-separated list.
std::vector<std::string> splitList(const std::string& text);

}  // namespace cypresswall::standins
