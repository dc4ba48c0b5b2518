/// Callers of a simulated fleet. They send requests to nodes as clients of the HTTP interface do,
/// and record the responses.
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

/// Result of a request as seen by its caller.
enum class CallerResult : std::uint8_t {
  kOpen,  ///< still in progress
  kDone,
  kError,   ///< a final error response; see `error`
  kBroken,  ///< the connection was lost before a final response: the outcome is unknown to the
            ///< caller
  kNotConnected,  ///< no process was listening at the node's address
};

/// One request of a caller, and what the caller has received for it.
struct CallerRecord {
  std::string request_id;
  std::string key;
  /// For a request that takes an answer up: the one that began it; empty otherwise.
  std::string began_as;
  CallerResult result = CallerResult::kOpen;
  execution::ExecutionError error;
  /// Answer received so far: tokens of a model, or body of a service response.
  std::string answer;
  std::uint32_t tokens = 0;
  /// Number of tokens received whose index was not the number of tokens received before.
  std::uint32_t misplaced_tokens = 0;
  /// Number of callbacks from the node that followed the final one; always zero if the node is
  /// correct.
  std::uint32_t late_calls = 0;
  /// Hash of the prompt's content, which is also the request's fingerprint.
  std::uint64_t content_hash = 0;
  /// Parts into which the caller divides the prompt; empty if it does not.
  std::vector<common::PieceHash> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t maximum_tokens = 0;
  common::MonotonicTime asked_at;
  common::MonotonicTime ended_at;
  /// The process that accepted the request.
  common::NodeId node;
};

/// Client connections of one process. Owns the requests in progress there; they break when the
/// process dies.
class CallerConnections {
 public:
  CallerConnections(Simulation& simulation, SimulatedProcess& process);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  /// Registers a request to this process. Called when the client's connection is established, so
  /// that the request breaks if the process dies from then on.
  void registerRequest(CallerRecord& record);
  void startModelCall(execution::ModelExecutor& executor, CallerRecord& record);
  void startServiceCall(execution::ServiceExecutor& executor, CallerRecord& record,
                        execution::ServiceCallRequest request);
  /// \return number of requests in progress.
  std::size_t open() const { return open_.size(); }

 private:
  class ModelSession;

  void finishRequest(CallerRecord& record, CallerResult result);
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
