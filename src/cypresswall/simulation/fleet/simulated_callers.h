/// Callers of a simulated fleet: they send requests to nodes, as clients of the HTTP front do, and
/// keep what they were told.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/common/time.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/execution/service_executor.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::simulation {

/// How a request ended, as its caller saw it.
enum class CallerResult : std::uint8_t {
  kOpen,  ///< no end yet
  kDone,
  kError,         ///< a final answer that is an error; see `error`
  kBroken,        ///< the connection ended first: the caller knows nothing
  kNotConnected,  ///< no process listened at the node's address
};

/// One request of a caller and all that became of it.
struct CallerRecord {
  std::string request_id;
  std::string key;
  CallerResult result = CallerResult::kOpen;
  execution::ExecutionError error;
  /// Answer so far: tokens of a model, or body of a service.
  std::string answer;
  std::uint32_t tokens = 0;
  /// Tokens that did not come in order, each once.
  std::uint32_t misplaced_tokens = 0;
  /// Calls after the last one.
  std::uint32_t late_calls = 0;
  /// Also serves as the request's fingerprint.
  std::uint64_t content_hash = 0;
  std::uint32_t maximum_tokens = 0;
  common::MonotonicTime asked_at;
  common::MonotonicTime ended_at;
  /// The process that took the request.
  common::NodeId node;
};

/// The front of one process: holds its open requests, which break when it dies.
class CallerConnection {
 public:
  CallerConnection(Simulation& simulation, SimulatedProcess& process);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Notes a request that was sent to this process, from the moment its connection exists.
  void expect(CallerRecord& record);
  void startModelCall(execution::ModelExecutor& executor, CallerRecord& record,
                      std::uint32_t prompt_tokens);
  void startServiceCall(execution::ServiceExecutor& executor, CallerRecord& record,
                        execution::ServiceCallRequest request);
  /// \return number of requests without an end.
  std::size_t open() const { return open_.size(); }

 private:
  class ModelSession;

  void ended(CallerRecord& record, CallerResult result);
  void endModel(std::uint64_t session);

  Simulation& simulation_;
  SimulatedProcess& process_;
  std::uint64_t next_session_ = 1;
  std::map<std::uint64_t, std::unique_ptr<ModelSession>> models_;
  std::map<std::uint64_t, std::unique_ptr<execution::ServiceExecution>> services_;
  /// By request identifier.
  std::map<std::string, CallerRecord*> open_;
};

}  // namespace cypresswall::simulation
