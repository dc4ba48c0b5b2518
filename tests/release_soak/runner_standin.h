/// Stand-in of a streaming engine on the platform of platform/wire.h. Each event of its answers
/// names the engine's software build.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cypresswall/http/server.h"
#include "tests/release_soak/objects_store_standin.h"

namespace cypresswall::testing {

struct RunnerSettings {
  std::string id;
  /// "IP:port"
  std::string address;
  std::string zone;
  std::string service;
  std::string model;
  std::string build;
  /// Time between two events of an answer.
  std::chrono::milliseconds gap{60};
};

/// All calls must be made on the thread of the event loop.
class RunnerStandin {
 public:
  RunnerStandin(asio::io_context& context, ObjectsStoreStandin& store, RunnerSettings settings);
  ~RunnerStandin();
  RunnerStandin(const RunnerStandin&) = delete;
  RunnerStandin& operator=(const RunnerStandin&) = delete;

  /// Takes the engine out of the store; it serves on.
  void withdraw();
  /// Breaks the connections of all answers in progress.
  void breakAnswers();

 private:
  using ResponderPointer = std::shared_ptr<http::Responder>;

  struct Run {
    Run(asio::io_context& context, ResponderPointer caller)
        : responder(std::move(caller)), timer(context) {}

    ResponderPointer responder;
    asio::steady_timer timer;
    std::uint64_t next_event = 1;
    std::uint64_t last_event = 1;
  };

  void handle(const http::Request& request, const ResponderPointer& responder);
  void startAnswer(const http::Request& request, const ResponderPointer& responder);
  void sendLater(std::uint64_t number);
  void sendEvent(std::uint64_t number);
  std::string report() const;
  nlohmann::json modelEntry() const;

  asio::io_context& context_;
  ObjectsStoreStandin& store_;
  const RunnerSettings settings_;
  std::uint64_t started_ = 0;
  std::map<std::uint64_t, Run> runs_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace cypresswall::testing
