/// Fixture with a model request executor on fake engines, and an observer that records its calls.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/execution/engine_model_executor.h"
#include "tests/execution/fake_engines.h"
#include "tests/execution/process_fixture.h"

namespace cypresswall::testing {

struct RecordingObserver final : execution::ModelCallObserver {
  void onHead(const engines::AnswerHead& head) override {
    in_order = in_order && tokens.empty() && ends == 0;
    heads.push_back(head);
  }
  void onToken(std::uint32_t index, const std::string& text) override {
    in_order = in_order && index == tokens.size() && ends == 0;
    tokens.push_back(text);
    if (on_token) {
      on_token();
    }
  }
  void onFinished(const engines::StreamUsage&) override {
    ++ends;
    done = true;
  }
  void onError(const execution::ExecutionError& given) override {
    ++ends;
    error = given;
  }

  std::vector<engines::AnswerHead> heads;
  std::vector<std::string> tokens;
  std::function<void()> on_token;
  bool in_order = true;
  bool done = false;
  int ends = 0;
  std::optional<execution::ExecutionError> error;
};

/// \return retry limits that allow `burst` repeats in addition to the share of requests
inline fleet_limits::RetryLimitSettings withRetryBurst(double burst) {
  fleet_limits::RetryLimitSettings limits;
  limits.fleet_burst = burst;
  return limits;
}

/// One node with a model request executor on fake engines.
struct ModelExecutorFixture {
  explicit ModelExecutorFixture(const execution::ExecutionSettings& settings = {})
      : ModelExecutorFixture(settings, {}) {}
  /// \param retry_limits retry limits of this node, which is the only one of the fleet
  ModelExecutorFixture(const execution::ExecutionSettings& settings,
                       const fleet_limits::RetryLimitSettings& retry_limits)
      : retries(retry_limits, process.context, [] { return 1.0; }),
        executor(process.context, configuration, admission, router, engines, retries, rate_limiter,
                 quarantine, usage, settings) {
    configuration.fleet.models["dispatch"] = {"dispatch", "v1", "", {}};
    configuration.fleet.model_services["summary"].name = "summary";
    configuration.fleet.model_services["summary"].model = "dispatch";
    configuration.fleet.model_services["summary"].urgency = configuration::Urgency::kHigh;
  }
  std::unique_ptr<execution::ModelExecution> start(RecordingObserver& observer,
                                                   const std::string& prompt = "events") {
    return executor.start(call(prompt), observer);
  }
  static execution::ModelCall call(const std::string& prompt = "events") {
    execution::ModelCall call;
    call.request_id = prompt;
    call.service = "summary";
    call.prompt = prompt;
    return call;
  }
  configuration::ModelServiceDeclaration& service() {
    return configuration.fleet.model_services["summary"];
  }
  bool wholeAnswer(const RecordingObserver& observer, const std::string& prompt = "events") const {
    return observer.done && observer.tokens.size() == engines.answer_tokens &&
           isPrefix(observer, prompt);
  }
  static bool isPrefix(const RecordingObserver& observer, const std::string& prompt) {
    for (std::uint32_t index = 0; index < observer.tokens.size(); ++index) {
      if (observer.tokens[index] != expectedToken(prompt, index)) {
        return false;
      }
    }
    return observer.in_order;
  }
  double count(const std::string& name) const { return process.counters.total(name); }

  ProcessFixture process;
  FixedConfiguration configuration;
  FakeAdmission admission;
  FakeRouter router;
  FakeEngines engines{process.time};
  fleet_limits::RetryBudgets retries;
  FakeRateLimiter rate_limiter;
  FakeQuarantine quarantine;
  FakeUsage usage;
  execution::EngineModelExecutor executor;
};

}  // namespace cypresswall::testing
