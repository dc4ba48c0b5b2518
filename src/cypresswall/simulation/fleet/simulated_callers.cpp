#include "cypresswall/simulation/fleet/simulated_callers.h"

#include <utility>

#include "cypresswall/simulation/fleet/fleet_topology.h"

namespace cypresswall::simulation {

class CallerConnections::ModelSession final : public execution::ModelCallObserver {
 public:
  ModelSession(CallerConnections& connections, CallerRecord& record, std::uint64_t number)
      : connections_(connections), record_(record), number_(number) {}

  void start(execution::ModelExecutor& executor, execution::ModelCall call) {
    execution_ = executor.start(std::move(call), *this);
  }

  void onToken(std::uint32_t index, const std::string& text) override {
    noteLateCall();
    record_.misplaced_tokens += index == record_.tokens ? 0 : 1;
    ++record_.tokens;
    record_.answer += text;
  }
  void onFinished(const engines::StreamUsage&) override {
    noteLateCall();
    connections_.finishRequest(record_, CallerResult::kDone);
    connections_.endModel(number_);
  }
  void onError(const execution::ExecutionError& error) override {
    noteLateCall();
    record_.error = error;
    connections_.finishRequest(record_, CallerResult::kError);
    connections_.endModel(number_);
  }

 private:
  void noteLateCall() { record_.late_calls += record_.result == CallerResult::kOpen ? 0 : 1; }

  CallerConnections& connections_;
  CallerRecord& record_;
  std::uint64_t number_;
  std::unique_ptr<execution::ModelExecution> execution_;
};

CallerConnections::CallerConnections(Simulation& simulation, SimulatedProcess& process)
    : simulation_(simulation), process_(process) {}

CallerConnections::~CallerConnections() {
  while (!open_.empty()) {
    finishRequest(*open_.begin()->second, CallerResult::kBroken);
  }
}

void CallerConnections::registerRequest(CallerRecord& record) {
  record.node = process_.id();
  open_[record.request_id] = &record;
}

void CallerConnections::finishRequest(CallerRecord& record, CallerResult result) {
  open_.erase(record.request_id);
  record.result = result;
  record.ended_at = simulation_.time().now();
  simulation_.digest().add(record.ended_at, "answer", static_cast<std::uint64_t>(result),
                           record.request_id);
}

void CallerConnections::endModel(std::uint64_t session) {
  // The session is destroyed in a later event, since the executor is still inside a call to it.
  process_.deliverAfter(common::Duration{0}, [this, session] { models_.erase(session); });
}

void CallerConnections::startModelCall(execution::ModelExecutor& executor, CallerRecord& record) {
  execution::ModelCall call;
  call.request_id = record.request_id;
  call.fingerprint = record.content_hash;
  call.service = kModelServiceName;
  call.maximum_tokens = record.maximum_tokens;
  call.shape.tokens = record.prompt_tokens;
  call.shape.content_hash = record.content_hash;
  call.shape.pieces = record.parts;
  for (std::uint32_t part = 1; part <= record.parts.size(); ++part) {
    const auto parts = static_cast<std::uint32_t>(record.parts.size());
    call.shape.piece_ends.push_back(record.prompt_tokens * part / parts);
  }
  if (!record.began_as.empty()) {
    call.continues = execution::AnswerContinuation{record.began_as, {}};
  }
  const std::uint64_t number = next_session_++;
  auto& session = models_[number];
  session = std::make_unique<ModelSession>(*this, record, number);
  session->start(executor, std::move(call));
}

void CallerConnections::startServiceCall(execution::ServiceExecutor& executor, CallerRecord& record,
                                         execution::ServiceCallRequest request) {
  const std::uint64_t number = next_session_++;
  services_[number] = executor.start(
      std::move(request), [this, number, &record](execution::ServiceCallAnswer answer) {
        const bool done = answer.status != 0 && answer.outcome == execution::Outcome::kDone;
        record.answer = std::move(answer.body);
        record.error = std::move(answer.error);
        record.error.outcome = answer.outcome;
        finishRequest(record, done ? CallerResult::kDone : CallerResult::kError);
        process_.deliverAfter(common::Duration{0}, [this, number] { services_.erase(number); });
      });
}

}  // namespace cypresswall::simulation
