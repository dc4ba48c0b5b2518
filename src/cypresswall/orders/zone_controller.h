/// The zone's controller. Every node has one; it gives orders only while its node holds the zone's
/// lease, and asks the lease directly before each order. On every node it obeys the holder's drain
/// table and reports demand.
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
#include "cypresswall/planning/planner.h"
#include "cypresswall/routing/engine_directory.h"

namespace cypresswall::orders {

class ZoneController {
 public:
  /// \param planner null takes the cost-based planner
  ZoneController(const ControllerSettings& settings, const api::ProcessContext& context,
                 lease::AuthorityView& authority, routing::EngineDirectory& directory,
                 engines::EngineClient& client, configuration::ConfigurationView& configuration,
                 membership::MembershipView& membership,
                 std::unique_ptr<planning::Planner> planner = nullptr);

  /// Begins to work; called once.
  void start();

  /// \return the epoch under which this node acts; nothing if it does not.
  std::optional<common::Epoch> activeEpoch() const { return active_ ? epoch_ : std::nullopt; }
  /// \return the control of one engine; null if this node does not act or knows no such engine.
  const EngineControl* control(const common::EngineName& engine) const;
  /// \return changes under way, then the last ended ones, newest first. Only on the holder.
  std::vector<ChangeRecord> changes() const;
  /// \return why the planner changed or left each model's roles in its last round.
  const std::vector<planning::ModelExplanation>& explanations() const { return explanations_; }
  /// \return what callers ask of each model; nothing unless this node plans the zone's roles and
  ///   has seen demand for the short window.
  std::optional<std::map<common::ModelName, planning::ModelDemand>> demand() const;
  /// \return the drain table that this node obeys.
  const DrainFollower& drains() const { return follower_; }

 private:
  using Controls = std::map<common::EngineName, std::unique_ptr<EngineControl>>;

  void tick();
  void updateAuthority();
  void begin(const common::Epoch& epoch);
  /// \return true if this node is the one that plans the zone's roles.
  bool plans() const;
  void controlRound();
  /// Plans without the lease, and asks for it once there is something to order.
  void standbyRound();
  bool planningDue() const;
  bool changesUnderWay() const;
  /// Notes whether there is something to order, so that the lease is kept or given back.
  void noteNeed(bool needed);
  void updateControls(const std::vector<routing::EngineRecord>& records);
  void tickControls();
  bool fencesTried() const;
  void startDeclaredChanges(const std::vector<routing::EngineRecord>& records);
  /// \return the planner's changes, none if roles are left to the operators.
  planning::Plan makePlan(const std::vector<routing::EngineRecord>& records,
                          const Controls& controls, bool without_lease);
  void logPlan() const;
  void planRoles(const std::vector<routing::EngineRecord>& records);
  bool mayBeChanged(const routing::EngineRecord& record) const;
  bool roomForChange(const common::ModelName& model,
                     const std::vector<routing::EngineRecord>& records) const;
  void cancelUnwanted(const routing::EngineRecord& record);
  void onChangeEnded(const ChangeRecord& record);
  void reportDemand();

  ControllerSettings settings_;
  planning::CapacitySettings capacity_;
  const api::ProcessContext& context_;
  lease::AuthorityView& authority_;
  routing::EngineDirectory& directory_;
  engines::EngineClient& client_;
  configuration::ConfigurationView& configuration_;
  std::unique_ptr<planning::Planner> planner_;
  DrainFollower follower_;
  DrainTable drains_;
  /// The last epoch acted under; kept while the lease lapses, since the numbers of its orders
  /// must never be used again.
  std::optional<common::Epoch> epoch_;
  bool active_ = false;
  Controls controls_;
  /// Set while this node plans.
  std::optional<planning::DemandEstimator> demand_;
  common::MonotonicTime planned_at_{};
  common::MonotonicTime needed_at_{};
  std::vector<planning::ModelExplanation> explanations_;
  std::deque<ChangeRecord> ended_;
  /// Moving average of drain and change together.
  common::Duration time_away_{0};
  common::Counter& epochs_;
  common::Counter& demand_dropped_;
};

}  // namespace cypresswall::orders
