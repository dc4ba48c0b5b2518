/// Thread on which the stand-ins of a test answer, with their timers and HTTP servers.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "cypresswall/http/server.h"
#include "cypresswall/runtime/asio_scheduler.h"

namespace cypresswall::objects_platform::testing {

class StandinLoop {
 public:
  StandinLoop();
  ~StandinLoop();
  StandinLoop(const StandinLoop&) = delete;
  StandinLoop& operator=(const StandinLoop&) = delete;

  /// Used by handlers and inside run() only.
  common::Scheduler& scheduler() { return scheduler_; }
  /// Runs `action` on the thread, and waits until it is done. What it throws, run() throws.
  void run(const std::function<void()>& action);
  /// \throws http::ListenError
  void listen(const std::string& address, http::Handler handler);
  /// Closes the connections of `address`, and refuses new ones.
  void close(const std::string& address);
  /// Closes all servers and ends the thread; run() must not be called any more.
  void stop();

 private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
  runtime::AsioScheduler scheduler_{context_};
  std::map<std::string, std::unique_ptr<http::Server>> servers_;
  std::thread thread_;
};

}  // namespace cypresswall::objects_platform::testing
