/// Autoscaling controller. Every node runs one; the one on the first duty collector (see
/// duties::Collectors) orders engines from the platform for the whole fleet.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/autoscaling/messages.h"
#include "cypresswall/autoscaling/planner.h"
#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/planning/planner.h"

namespace cypresswall::autoscaling {

/// Returns the demand for each model on the node that plans the zone's roles, and nothing on other
/// nodes or while not enough demand has been collected.
using DemandSource =
    std::function<std::optional<std::map<common::ModelName, planning::ModelDemand>>()>;

/// Status of a pool of engines, shown to operators.
struct PoolState {
  std::string pool;
  PoolCounts present;
  PoolCounts wanted;
  std::string reason;
  std::uint32_t token = 0;
};

/// Plans and sends orders if this node is the first duty collector (the leader). On every other
/// node it only sends the leader the demand from its DemandSource. A new leader needs no record of
/// earlier leaders' orders: it plans from the engines present, and each order contains the total
/// number of engines.
class Controller {
 public:
  /// \pre all references outlive this object
  Controller(const AutoscalingSettings& settings, const api::ProcessContext& context,
             const membership::MembershipView& membership,
             configuration::ConfigurationView& configuration, duties::FleetDuties& duties,
             DemandSource demand);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void start();
  /// \return the status of the pools that this node plans; empty if it is not the leader
  std::vector<PoolState> pools() const;

 private:
  struct Ordered {
    std::uint32_t engines = 0;
    common::MonotonicTime at{};
  };
  struct Pool {
    std::deque<std::pair<common::MonotonicTime, PoolLoad>> loads;
    PoolPlan plan;
    /// Time at which this node first looked for the pool's running engines as the leader. It sends
    /// no orders before `initial` is set.
    std::optional<common::MonotonicTime> leader_since;
    PoolCounts last_present;
    common::MonotonicTime unchanged_since{};
    /// Engines present when this node started to plan; empty until the running engines have been
    /// discovered.
    std::optional<PoolCounts> initial;
    /// Last order for each location and kind; the key is (location, preemptible).
    std::map<std::pair<std::string, bool>, Ordered> ordered;
    /// By location, the time until which it counts as having no preemptible engines available.
    std::map<std::string, common::MonotonicTime> unavailable_until;
    std::optional<common::MonotonicTime> demand_since;
    bool unusable_logged = false;
  };

  void tick();
  void forwardDemand();
  void onDemand(const DemandUpdate& update);
  void planAll();
  /// Logs why nothing is ordered for the pool; only the first call for a pool writes a log event.
  void logUnusable(const std::string& name, Pool& pool, const char* reason);
  /// \return false while some running engines may not have been discovered yet
  bool initialEnginesKnown(const configuration::AutoscalingDeclaration& declaration,
                           Pool& pool) const;
  PoolInput makeInput(const configuration::AutoscalingDeclaration& declaration, Pool& pool) const;
  PoolCounts presentEngines(const configuration::AutoscalingDeclaration& declaration) const;
  void collectOrders(const configuration::AutoscalingDeclaration& declaration, Pool& pool,
                     const PoolCounts& present);
  void orderIfNeeded(Pool& pool, duties::CapacityOrder order, std::uint32_t present);
  void sendNext();
  void onSent(const duties::CapacityOrder& order, const common::Epoch& epoch,
              std::optional<duties::DutyFailure> failure);
  bool isLeader() const;

  const AutoscalingSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  configuration::ConfigurationView& configuration_;
  duties::FleetDuties& duties_;
  DemandSource demand_;
  std::unique_ptr<Planner> planner_;
  std::map<std::string, Pool> pools_;
  std::deque<duties::CapacityOrder> orders_;
  bool call_in_flight_ = false;
  common::MonotonicTime next_plan_at_{};
  common::Counter& ordered_;
  common::Counter& failed_;
};

}  // namespace cypresswall::autoscaling
