#include "cypresswall/simulation/fleet/simulated_callers.h"

#include <utility>

#include "cypresswall/simulation/fleet/fleet_topology.h"

namespace cypresswall::simulation {

class CallerConnection::ModelSession final : public execution::ModelCallObserver {
 public:
  ModelSession(CallerConnection& front, CallerRecord& record, std::uint64_t number)
      : front_(front), record_(record), number_(number) {}

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
    front_.ended(record_, CallerResult::kDone);
    front_.endModel(number_);
  }
  void onError(const execution::ExecutionError& error) override {
    noteLateCall();
    record_.error = error;
    front_.ended(record_, CallerResult::kError);
    front_.endModel(number_);
  }

 private:
  void noteLateCall() { record_.late_calls += record_.result == CallerResult::kOpen ? 0 : 1; }

  CallerConnection& front_;
  CallerRecord& record_;
  std::uint64_t number_;
  std::unique_ptr<execution::ModelExecution> execution_;
};

CallerConnection::CallerConnection(Simulation& simulation, SimulatedProcess& process)
    : simulation_(simulation), process_(process) {}

CallerConnection::~CallerConnection() {
  while (!open_.empty()) {
    ended(*open_.begin()->second, CallerResult::kBroken);
  }
}

void CallerConnection::expect(CallerRecord& record) {
  record.node = process_.id();
  open_[record.request_id] = &record;
}

void CallerConnection::ended(CallerRecord& record, CallerResult result) {
  open_.erase(record.request_id);
  record.result = result;
  record.ended_at = simulation_.time().now();
  simulation_.digest().add(record.ended_at, "answer", static_cast<std::uint64_t>(result),
                           record.request_id);
}

void CallerConnection::endModel(std::uint64_t session) {
  // Deferred, since the executor is still inside a call to the session.
  process_.deliverAfter(common::Duration{0}, [this, session] { models_.erase(session); });
}

void CallerConnection::startModelCall(execution::ModelExecutor& executor, CallerRecord& record,
                                      std::uint32_t prompt_tokens) {
  execution::ModelCall call;
  call.request_id = record.request_id;
  call.fingerprint = record.content_hash;
  call.service = kModelServiceName;
  call.maximum_tokens = record.maximum_tokens;
  call.shape.tokens = prompt_tokens;
  call.shape.content_hash = record.content_hash;
  const std::uint64_t number = next_session_++;
  auto& session = models_[number];
  session = std::make_unique<ModelSession>(*this, record, number);
  session->start(executor, std::move(call));
}

void CallerConnection::startServiceCall(execution::ServiceExecutor& executor, CallerRecord& record,
                                        execution::ServiceCallRequest request) {
  const std::uint64_t number = next_session_++;
  services_[number] = executor.start(
      std::move(request), [this, number, &record](execution::ServiceCallAnswer answer) {
        const bool done = answer.status != 0 && answer.outcome == execution::Outcome::kDone;
        record.answer = std::move(answer.body);
        record.error = std::move(answer.error);
        record.error.outcome = answer.outcome;
        ended(record, done ? CallerResult::kDone : CallerResult::kError);
        process_.deliverAfter(common::Duration{0}, [this, number] { services_.erase(number); });
      });
}

}  // namespace cypresswall::simulation
