/// What this node knows of the engines that it decides about: their load, kept fresh by watching a
/// share of them and by the publications of the others that decide; the pieces of KV cache they are
/// believed to hold; and which of them may be given work. Of the zone's other engines it knows
/// where they are and which are leaving.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/planning/demand_counter.h"
#include "cypresswall/routing/delta_exchange.h"
#include "cypresswall/routing/engine_ejection.h"
#include "cypresswall/routing/engine_groups.h"
#include "cypresswall/routing/engine_poller.h"
#include "cypresswall/routing/engine_table.h"
#include "cypresswall/routing/prefix_index.h"
#include "cypresswall/routing/settings.h"
#include "cypresswall/routing/work_exchange.h"

namespace cypresswall::routing {

class EngineDirectory {
 public:
  EngineDirectory(const DirectorySettings& settings, const api::ProcessContext& context,
                  engines::EngineClient& client, configuration::ConfigurationView& configuration,
                  membership::MembershipView& membership);

  /// Begins to watch and to publish; called once.
  void start();

  /// \return all engines of the zone, ordered by name.
  std::vector<EngineRecord> records() const;
  /// \return the record of a declared engine, or nullptr; valid until the table next changes.
  const EngineRecord* find(const common::EngineName& name) const;
  /// Replaces the set of engines that get no new work because a planned change needs them idle.
  void setDraining(const std::set<common::EngineName>& engines);

  /// \return true for a while after the process was paused: what it knows of engines and machines
  ///   is old, and messages that waited for it look newer than they are.
  bool catchingUp();

  const EngineGroups& groups() const { return groups_; }
  /// Sets how to find the node that plans roles, which is told of every engine.
  void setPlanningNode(std::function<common::NodeId()> find) {
    exchange_.setPlanningNode(std::move(find));
  }
  /// Sets who knows the limits that engines name on requests; without, no engine has one.
  void setRateLimiter(fleet_limits::RateLimiter& limiter) { rate_limiter_ = &limiter; }
  fleet_limits::RateLimiter* rateLimiter() const { return rate_limiter_; }
  /// What callers asked of each model at this node.
  planning::DemandCounter& demand() { return demand_; }
  EngineTable& table() { return table_; }
  PrefixIndex& prefixes() { return prefixes_; }
  WorkExchange& work() { return work_; }
  EngineEjection& ejection() { return ejection_; }

 private:
  void onConfiguration(const configuration::FleetConfiguration& fleet);
  void onMembership();
  void assignWatches();
  /// \return true until this node knows who else may watch engines.
  bool awaitsPeers() const;
  void forgetUndecided();
  void sweep();
  void notePause();

  DirectorySettings settings_;
  const api::ProcessContext& context_;
  membership::MembershipView& membership_;
  configuration::ConfigurationView& configuration_;
  common::MonotonicTime swept_at_;
  common::MonotonicTime catch_up_until_;
  planning::DemandCounter demand_;
  /// Members for which the watches were last assigned.
  std::vector<membership::Member> assigned_members_;
  bool roster_changed_ = true;
  bool members_changed_ = false;
  EngineTable table_;
  EngineGroups groups_;
  PrefixIndex prefixes_;
  DeltaExchange exchange_;
  WorkExchange work_;
  EngineEjection ejection_;
  EnginePoller poller_;
  fleet_limits::RateLimiter* rate_limiter_ = nullptr;
  /// Engines that another node took over, and until when this node goes on watching them.
  std::map<EngineSlot, common::MonotonicTime> handed_over_;
  common::Counter& pauses_;
};

}  // namespace cypresswall::routing
