/// Zone controller. Every node runs one. It sends orders to engines only while its node holds the
/// zone's lease, which is checked immediately before each order is sent. On every node, it applies
/// the lease holder's drain table and reports the node's demand to the lease holder.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/orders/drain_follower.h"
#include "cypresswall/orders/drain_table.h"
#include "cypresswall/orders/engine_control.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/planning/capacity_model.h"
#include "cypresswall/planning/demand_estimator.h"
#include "cypresswall/planning/engine_need.h"
#include "cypresswall/planning/planner.h"
#include "cypresswall/routing/engine_directory.h"

namespace cypresswall::orders {

class ZoneController {
 public:
  /// \param planner the planner of roles; null selects planning::RolePlanner with default settings
  ZoneController(const ControllerSettings& settings, const api::ProcessContext& context,
                 lease::AuthorityView& authority, routing::EngineDirectory& directory,
                 engines::EngineClient& client, configuration::ConfigurationView& configuration,
                 membership::MembershipView& membership,
                 std::unique_ptr<planning::Planner> planner = nullptr);

  /// Starts the control loop; called once.
  void start();

  /// \return the epoch under which this node holds the lease; nothing if it does not hold the lease
  std::optional<common::Epoch> activeEpoch() const { return active_ ? epoch_ : std::nullopt; }
  /// \return the control of one engine; null if this node does not hold the lease or does not know
  ///   the engine.
  const EngineControl* control(const common::EngineName& engine) const;
  /// \return the changes in progress, which only the lease holder has, then the latest changes that
  ///   ended under this node's control, newest first
  std::vector<ChangeRecord> changes() const;
  /// \return for each model, why the planner changed or kept roles when it last ran on this node
  const std::vector<planning::ModelExplanation>& explanations() const { return explanations_; }
  /// \return the demand for each model; nothing unless this node plans the zone's roles and has
  ///   collected demand for at least DemandSettings::short_window
  std::optional<std::map<common::ModelName, planning::ModelDemand>> demand() const;
  /// \return the observed demand for restoreDemand(); empty where demand() returns nothing
  std::string encodedDemand() const;
  /// Takes over the demand that the zone had before its nodes started.
  /// \return false if this node does not plan the zone's roles or the bytes can't be used
  bool restoreDemand(const std::string& bytes);
  /// \return the drain table in force on this node.
  const DrainFollower& drains() const { return follower_; }

 private:
  using Controls = std::map<common::EngineName, std::unique_ptr<EngineControl>>;

  void tick();
  void updateAuthority();
  void begin(const common::Epoch& epoch);
  /// \return true if this node plans the zone's roles.
  bool isPlanner() const;
  void controlRound();
  /// Plans while this node does not hold the lease, and requests the lease if the plan contains
  /// changes.
  void planWithoutLease();
  bool planningDue() const;
  bool changesInProgress() const;
  /// Requests or keeps the lease if it is needed, and releases it once it has not been needed for
  /// ControllerSettings::lease_idle_time.
  void updateLeaseNeed(bool needed);
  void updateControls(const std::vector<routing::EngineRecord>& records);
  void tickControls();
  bool allFencesAttempted() const;
  void startDeclaredChanges(const std::vector<routing::EngineRecord>& records);
  /// \return the planner's changes; none if the configuration disables automatic roles
  planning::Plan makePlan(const std::vector<routing::EngineRecord>& records,
                          const Controls& controls, bool without_lease);
  void logPlan() const;
  /// Tells the zone how many engines its load needs.
  void announceNeed(std::size_t engines);
  void planRoles(const std::vector<routing::EngineRecord>& records);
  bool isChangeable(const routing::EngineRecord& record) const;
  bool withinUnavailableLimit(const common::ModelName& model,
                              const std::vector<routing::EngineRecord>& records) const;
  void cancelObsoleteDrain(const routing::EngineRecord& record);
  void onChangeEnded(const ChangeRecord& record);
  void reportDemand();

  ControllerSettings settings_;
  planning::CapacitySettings capacity_;
  const api::ProcessContext& context_;
  lease::AuthorityView& authority_;
  routing::EngineDirectory& directory_;
  engines::EngineClient& client_;
  configuration::ConfigurationView& configuration_;
  membership::MembershipView& membership_;
  std::unique_ptr<planning::Planner> planner_;
  DrainFollower follower_;
  DrainTable drains_;
  /// Epoch under which this node last held the lease. Kept with the engine controls while the lease
  /// is lost, so that a node that regains the lease under the same epoch does not reuse sequence
  /// numbers of orders.
  std::optional<common::Epoch> epoch_;
  bool active_ = false;
  Controls controls_;
  /// Demand reported by the zone's nodes; set while this node plans the zone's roles.
  std::optional<planning::DemandEstimator> demand_;
  common::MonotonicTime planned_at_{};
  common::MonotonicTime needed_at_{};
  std::vector<planning::ModelExplanation> explanations_;
  planning::EngineNeed need_;
  /// The number of engines announced last; zero if none.
  std::size_t announced_need_ = 0;
  std::deque<ChangeRecord> ended_;
  /// Moving average of the duration of a completed change of role, from the start of the drain to
  /// its end; zero before the first such change.
  common::Duration unavailable_time_{0};
  common::Counter& epochs_;
  common::Counter& demand_dropped_;
};

}  // namespace cypresswall::orders
