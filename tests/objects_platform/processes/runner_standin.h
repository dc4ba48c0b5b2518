/// Stand-in for a runner of the users' platform: a back end of a plain service, or a runner of
/// language models that streams its answers.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/http/server.h"

namespace cypresswall::objects_platform::testing {

struct RunnerSettings {
  std::string id;
  std::string service;
  /// "IP:port"
  std::string address;
  /// Version of the runner's software.
  std::string build = "v1";
  bool runs_models = false;
  /// Time between two events of a stream.
  common::Duration event_gap = std::chrono::milliseconds(5);
};

/// \return the spec of the runner's entry in the store
std::string runnerEntry(const RunnerSettings& settings, const std::string& state = "ready");

/// Apart from the counter, belongs to the thread of its StandinLoop.
class RunnerStandin {
 public:
  RunnerStandin(RunnerSettings settings, common::Scheduler& scheduler);

  void handle(const http::Request& request, const std::shared_ptr<http::Responder>& responder);
  const RunnerSettings& settings() const { return settings_; }
  /// \return the number of requests that were run; may be called on any thread
  std::size_t runs() const { return runs_; }

 private:
  struct Stream;
  using Responder = std::shared_ptr<http::Responder>;

  /// \return true if the call is one of a runner's own, which it has answered
  bool answerOwnCall(const http::Request& request, const Responder& responder) const;
  /// The query may ask for an answer of so many `bytes`, for the request's body (`echo`), and for
  /// an answer only after `hold_ms`.
  void answerPlain(const http::Request& request, const Responder& responder) const;
  void startStream(const http::Request& request, const Responder& responder) const;
  void sendEvent(const std::shared_ptr<Stream>& stream) const;
  std::string report() const;

  RunnerSettings settings_;
  common::Scheduler& scheduler_;
  std::atomic<std::size_t> runs_{0};
};

}  // namespace cypresswall::objects_platform::testing
