/// A plain HTTP back end (portal, booking), emulated: it runs whatever it is asked, repeated keys
/// included, and keeps a ledger of every execution.
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
  /// Calls that are refused with "not run".
  std::uint32_t refuse_next = 0;
  /// Calls that are broken off and not run.
  std::uint32_t break_before_run = 0;
  /// Calls that are run, but whose answer is lost.
  std::uint32_t break_after_run = 0;
  /// From the execution to the answer.
  common::Duration delay{0};
  /// Requests a second that the service says in its answers it takes from all nodes; it runs
  /// whatever comes.
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
  /// ServiceFaults::rate_limit as it was when the call came.
  std::optional<double> rate_limit = {};
};

/// Executions of one request, told apart by request identifier and key.
struct ServiceExecutionEntry {
  std::string request_id;
  std::string key;
  std::string method;
  std::string path;
  std::uint32_t count = 0;
};

class EmulatedService {
 public:
  /// \param answer_time from the execution to the answer without faults
  EmulatedService(std::string name, common::Duration answer_time, common::Scheduler& scheduler)
      : name_(std::move(name)), answer_time_(answer_time), scheduler_(scheduler) {}

  /// Runs one call. The callback is called exactly once, never before the call returns.
  void handle(const EmulatedServiceCall& call, std::function<void(EmulatedServiceAnswer)> callback);

  void setFaults(const ServiceFaults& faults) { faults_ = faults; }
  const ServiceFaults& faults() const { return faults_; }
  /// \return the executions, ordered by request identifier and key.
  std::vector<ServiceExecutionEntry> executions() const;
  /// \return how often calls with `key` were run, over all request identifiers.
  std::uint32_t executionsOfKey(const std::string& key) const;
  /// \return how often calls of `request_id` were run.
  std::uint32_t executionsOfRequest(const std::string& request_id) const;

  /// \return the body that answers `call`; it names the call, so that a crossed answer shows.
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
