/// One soak round: a fleet of real processes under load with the faults of one seed, checked from
/// the view of callers, engines, the HTTP service and operators.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/tcp_proxy.h"
#include "tests/process/test_fleet.h"
#include "tests/process/workload.h"
#include "tests/soak/fault_plan.h"

namespace cypresswall::testing {

struct SoakResult {
  WorkloadReport load;
  std::array<std::uint64_t, kFaultKinds> faults{};
  std::uint64_t changes_accepted = 0;
  std::uint64_t changes_checked = 0;
  std::uint64_t damaged_responses = 0;
  /// Violated invariants, including those found by the workload.
  std::vector<std::string> violations;
};

class SoakRound {
 public:
  static constexpr std::size_t kNodes = 3;
  static constexpr std::size_t kEngines = 4;
  static constexpr std::size_t kBackEnds = 2;

  explicit SoakRound(std::vector<PlannedFault> plan) : plan_(std::move(plan)) {}

  /// Starts the fleet, injects and clears the planned faults, and checks the invariants.
  SoakResult run();

 private:
  std::string throughProxy(const std::string& target);
  void injectFault(const PlannedFault& fault);
  void clearFault(const PlannedFault& fault);
  /// Has callers send prompts with a part that crashes engines, until all nodes must refuse them.
  /// \param position of the part in the prompts
  void sendCrashingPrompts(std::size_t position);
  /// Starts all nodes after a loss of power, and the store after them; all must serve in time.
  void returnAfterPowerLoss(std::chrono::milliseconds store_away);
  /// Stops nodes one after the other, while callers keep their connections to them.
  /// \param first the node that is stopped first
  void replaceNodes(std::size_t first, std::chrono::milliseconds apart);
  void stopAndRestart(std::size_t node);
  /// Submits a configuration change; checkAcceptedChanges() requires that an accepted one persists.
  void submitChange(std::size_t number);
  void checkAcceptedChanges();
  TcpProxy& proxyOf(const PlannedFault& fault);

  std::vector<PlannedFault> plan_;
  /// Proxy of the store, then one for each engine, then one for each back end.
  std::vector<std::unique_ptr<TcpProxy>> proxies_;
  std::unique_ptr<TestFleet> fleet_;
  std::vector<std::string> accepted_;
  std::size_t crashing_prompts_ = 0;
  std::size_t replacements_ = 0;
  SoakResult result_;
};

}  // namespace cypresswall::testing
