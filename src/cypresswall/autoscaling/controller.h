/// Orders engines from the platform, as a duty of one node of the whole fleet.
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

/// What callers ask of each model, as the node sees it that plans the zone's roles.
using DemandSource =
    std::function<std::optional<std::map<common::ModelName, planning::ModelDemand>>()>;

/// A pool as operators see it.
struct PoolState {
  std::string pool;
  PoolNumbers present;
  PoolNumbers wanted;
  std::string reason;
  std::uint32_t token = 0;
};

/// Plans on the first of the nodes that hold the fleet's duties; every other node only passes on
/// the demand that it sees. Knows nothing of earlier holders' orders: what is there counts, and an
/// order says the whole number.
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
  /// \return the pools that this node plans; empty on other nodes
  std::vector<PoolState> pools() const;

 private:
  struct Ordered {
    std::uint32_t engines = 0;
    common::MonotonicTime at{};
  };
  /// Of one pool.
  struct Pool {
    std::deque<std::pair<common::MonotonicTime, PoolLoad>> loads;
    PoolPlan plan;
    /// Since when this node leads; it orders only once the engines that run have appeared.
    std::optional<common::MonotonicTime> led_since;
    PoolNumbers appeared;
    common::MonotonicTime unchanged_since{};
    /// What was there when this node began to plan.
    std::optional<PoolNumbers> begun_with;
    /// The last order for each location and kind, by (location, preemptible).
    std::map<std::pair<std::string, bool>, Ordered> ordered;
    /// Until when a location is taken to have no preemptible engines.
    std::map<std::string, common::MonotonicTime> none_until;
    std::optional<common::MonotonicTime> demand_since;
    bool unusable_told = false;
  };

  void tick();
  void passDemandOn();
  void onDemand(const DemandNews& news);
  void planAll();
  /// Says once that nothing is ordered for a pool.
  void tellUnusable(const std::string& name, Pool& pool, const char* reason);
  /// \return false while engines that run already may not have appeared yet
  bool settled(const configuration::AutoscalingDeclaration& declaration, Pool& pool) const;
  PoolInput inputOf(const configuration::AutoscalingDeclaration& declaration, Pool& pool) const;
  PoolNumbers presentOf(const configuration::AutoscalingDeclaration& declaration) const;
  void collectOrders(const configuration::AutoscalingDeclaration& declaration, Pool& pool,
                     const PoolNumbers& present);
  void want(Pool& pool, duties::CapacityOrder order, std::uint32_t present);
  void sendNext();
  void onSent(const duties::CapacityOrder& order, const common::Epoch& epoch,
              std::optional<duties::DutyFailure> failure);
  bool leads() const;

  const AutoscalingSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  configuration::ConfigurationView& configuration_;
  duties::FleetDuties& duties_;
  DemandSource demand_;
  std::unique_ptr<Planner> planner_;
  std::map<std::string, Pool> pools_;
  std::deque<duties::CapacityOrder> orders_;
  bool call_under_way_ = false;
  common::MonotonicTime next_plan_at_{};
  common::Counter& ordered_;
  common::Counter& failed_;
};

}  // namespace cypresswall::autoscaling
