/// Emulation of a plain HTTP back end, such as a portal or a booking service. The back end executes
/// every call, even one whose idempotency key it has seen before, and counts the executions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/time.h"

namespace cypresswall::emulation {

struct ServiceFaults {
  /// Number of the next calls that the service refuses, stating that it did not run them.
  std::uint32_t refuse_next = 0;
  /// Number of the next calls whose connection breaks before the service executes them.
  std::uint32_t break_before_run = 0;
  /// Number of the next calls that the service executes, but whose response is lost.
  std::uint32_t break_after_run = 0;
  /// Additional time from execution to response.
  common::Duration delay{0};
  /// Limit on the requests per second of all nodes together that the service advertises in its
  /// responses but does not enforce; none if not set.
  std::optional<double> rate_limit = {};
  /// If true, the service announces in all answers that it leaves. It goes on serving.
  bool leaving = false;
  /// If set, the service refuses all calls and asks for this time without requests.
  std::optional<common::Duration> pause = {};
};

struct EmulatedServiceCall {
  std::string request_id;
  /// Value of the header Idempotency-Key; empty if the call has none.
  std::string key;
  std::string method;
  std::string path;
  std::string body;
};

enum class EmulatedServiceOutcome : std::uint8_t { kAnswered, kRefused, kBroken };

struct EmulatedServiceAnswer {
  EmulatedServiceOutcome end = EmulatedServiceOutcome::kAnswered;
  int status = 200;
  std::string body;
  /// ServiceFaults::rate_limit at the time of the call.
  std::optional<double> rate_limit = {};
  bool leaving = false;
  /// Time without requests that a refusal asks for.
  std::optional<common::Duration> pause = {};
};

/// Executions of all calls with the same request identifier and idempotency key.
struct ServiceExecutionEntry {
  std::string request_id;
  std::string key;
  std::string method;
  std::string path;
  std::uint32_t count = 0;
};

class EmulatedService {
 public:
  /// \param answer_time time from execution to response without faults
  EmulatedService(std::string name, common::Duration answer_time, common::Scheduler& scheduler)
      : name_(std::move(name)), answer_time_(answer_time), scheduler_(scheduler) {}

  /// Executes one call. The callback is called exactly once, never before the call returns.
  void handle(const EmulatedServiceCall& call, std::function<void(EmulatedServiceAnswer)> callback);

  void setFaults(const ServiceFaults& faults) { faults_ = faults; }
  const ServiceFaults& faults() const { return faults_; }
  /// \return the executions, ordered by request identifier and key.
  std::vector<ServiceExecutionEntry> executions() const;
  /// \return how often calls with the idempotency key `key` were executed, whatever their request
  ///   identifiers.
  std::uint32_t executionsOfKey(const std::string& key) const;
  /// \return how often calls of the request `request_id` were executed.
  std::uint32_t executionsOfRequest(const std::string& request_id) const;

  /// \return the body of the response to `call`. The body identifies the call, so that tests detect
  ///   a response that belongs to another call.
  std::string expectedBody(const EmulatedServiceCall& call) const;

 private:
  void execute(const EmulatedServiceCall& call);

  std::string name_;
  common::Duration answer_time_;
  common::Scheduler& scheduler_;
  ServiceFaults faults_;
  std::map<std::pair<std::string, std::string>, ServiceExecutionEntry> executions_;
};

}  // namespace cypresswall::emulation
