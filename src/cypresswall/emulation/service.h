/// Emulation of a plain HTTP back end (portal, booking). It executes every call, including those
/// with a repeated key, and records every execution in a ledger.
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
  /// Number of calls to refuse with "not run".
  std::uint32_t refuse_next = 0;
  /// Number of calls to break before execution.
  std::uint32_t break_before_run = 0;
  /// Number of calls to execute whose response is then lost.
  std::uint32_t break_after_run = 0;
  /// Time from execution to response.
  common::Duration delay{0};
  /// Requests per second that the service advertises in its responses as its limit over all nodes;
  /// it does not enforce the limit.
  std::optional<double> rate_limit = {};
};

struct EmulatedServiceCall {
  std::string request_id;
  /// Value of Idempotency-Key, empty if there is none.
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
};

/// Executions of one request, identified by request identifier and key.
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
  /// \return number of executions of calls with `key`, over all request identifiers.
  std::uint32_t executionsOfKey(const std::string& key) const;
  /// \return number of executions of calls of `request_id`.
  std::uint32_t executionsOfRequest(const std::string& request_id) const;

  /// \return the response body for `call`. It identifies the call, so that a response to another
  ///   call is detected.
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
