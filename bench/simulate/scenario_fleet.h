/// A scenario's fleet in virtual time: nodes with the daemon's own decision modules, emulated
/// engines and platform, and callers that record when tokens arrived.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "bench/simulate/scenario.h"
#include "bench/simulate/scheduled_planner.h"
#include "cypresswall/common/errors.h"
#include "cypresswall/common/random.h"
#include "cypresswall/execution/model_executor.h"
#include "cypresswall/node/node.h"
#include "cypresswall/simulation/simulated_engines.h"
#include "cypresswall/simulation/simulated_platform.h"
#include "cypresswall/simulation/simulated_services.h"
#include "cypresswall/simulation/simulation.h"

namespace cypresswall::bench {

/// The fleet did not start within its time limit.
class FleetStartError : public common::Error {
 public:
  using common::Error::Error;
};

/// Planner that assigns roles during a run.
enum class PlannerKind : std::uint8_t {
  kFixed,      ///< none: roles keep their initial assignment
  kCost,       ///< the daemon's own planner
  kThreshold,  ///< planning::ThresholdPlanner
  kScheduled,  ///< ScheduledPlanner, the offline bound
};

/// Router that chooses the engine of a request.
enum class RouterKind : std::uint8_t {
  kCost,         ///< the daemon's own router
  kRoundRobin,   ///< RoundRobinRouter
  kLeastLoaded,  ///< LeastLoadedRouter
};

/// How roles are assigned in a run.
struct RolePolicy {
  /// For reports.
  std::string name = "planned";
  PlannerKind planner = PlannerKind::kCost;
  /// Initial number of engines per zone, in name order, in the role "prefill" and in "decode"; the
  /// others are mixed.
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  RouterKind router = RouterKind::kCost;
  /// For PlannerKind::kScheduled.
  std::vector<ScheduleEntry> schedule = {};
};

enum class RequestStatus : std::uint8_t { kOpen, kDone, kRefused, kFailed };

/// One request as seen by its caller.
struct SimulatedRequest {
  std::size_t kind = 0;
  common::MonotonicTime asked_at;
  common::MonotonicTime first_token_at;
  common::MonotonicTime last_token_at;
  common::MonotonicTime ended_at;
  std::uint32_t tokens = 0;
  std::uint32_t expected_tokens = 0;
  RequestStatus end = RequestStatus::kOpen;
  common::Duration retry_after{0};
  std::string error;
};

class ScenarioFleet {
 public:
  ScenarioFleet(const Scenario& scenario, const RolePolicy& policy, std::uint64_t seed);
  ~ScenarioFleet();
  ScenarioFleet(const ScenarioFleet&) = delete;
  ScenarioFleet& operator=(const ScenarioFleet&) = delete;

  /// Starts all nodes and applies the declarations. \throws FleetStartError
  void bringUp();
  /// Sets the start of the load for the scheduled planner to now.
  void beginLoad() { load_start_ = time().now(); }
  /// Sends one request of a kind to a random node.
  void sendRequest(std::size_t kind);
  void beginFault(const ScenarioFault& fault);

  simulation::VirtualTime& time() { return simulation_.time(); }
  common::RandomSource& random() { return random_; }
  const std::deque<SimulatedRequest>& records() const { return records_; }
  /// \return the sum of the counters in all engines' ledgers, without their lists.
  emulation::EngineLedger engineTotals() const;
  std::uint64_t eventsRun() { return simulation_.time().executedEvents(); }

 private:
  class Session;
  struct FleetNode {
    simulation::SimulatedProcess* process = nullptr;
    node::Node* node = nullptr;
  };

  void addEngines();
  void startNode(std::uint32_t zone, std::uint32_t number);
  std::unique_ptr<planning::Planner> makePlanner();
  std::unique_ptr<routing::Router> makeRouter(const api::ProcessContext& context,
                                              routing::EngineDirectory& directory) const;
  node::NodeSettings nodeSettings(std::uint32_t zone, std::uint32_t number);
  std::vector<common::Address> zoneAddresses(std::uint32_t zone) const;
  std::vector<configuration::ObjectChange> declarations() const;
  engines::EngineRole initialRole(std::uint32_t number) const;
  common::PromptShape drawPrompt(const ScenarioKind& kind);
  /// Makes the first `count` engines, in address order, announce this rate limit.
  void limitEngines(std::size_t count, double requests_per_second);
  void changeAllEngines(const std::function<void(emulation::EngineFaults&)>& change);
  void sessionEnded(std::uint64_t session);

  const Scenario& scenario_;
  RolePolicy policy_;
  /// Zero until beginLoad().
  common::MonotonicTime load_start_{};
  simulation::Simulation simulation_;
  common::SeededRandom random_;
  simulation::SimulatedPlatform platform_;
  simulation::SimulatedEngines engines_;
  simulation::SimulatedServices services_;
  std::vector<configuration::ObjectChange> declared_;
  std::deque<SimulatedRequest> records_;
  std::uint64_t next_session_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
  std::vector<FleetNode> nodes_;
};

}  // namespace cypresswall::bench
