/// What this node knows of its zone's engines: their load, kept fresh by watching a share of them
/// and by the publications of the zone's other nodes; the pieces of KV cache they are believed to
/// hold; and which of them may be given work.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/planning/demand_ledger.h"
#include "cypresswall/routing/delta_exchange.h"
#include "cypresswall/routing/engine_ejection.h"
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

  /// \return the zone's nodes that are alive, at least 1.
  std::size_t aliveNodes() const { return alive_nodes_; }
  /// What callers asked of each model at this node.
  planning::DemandLedger& demand() { return demand_; }
  EngineTable& table() { return table_; }
  PrefixIndex& prefixes() { return prefixes_; }
  WorkExchange& work() { return work_; }
  EngineEjection& ejection() { return ejection_; }

 private:
  void onConfiguration(const configuration::FleetConfiguration& fleet);
  void onMembership();
  void assignWatches();
  void sweep();
  void notePause();

  DirectorySettings settings_;
  const api::ProcessContext& context_;
  membership::MembershipView& membership_;
  configuration::ConfigurationView& configuration_;
  std::size_t alive_nodes_ = 1;
  common::MonotonicTime swept_at_;
  common::MonotonicTime catch_up_until_;
  planning::DemandLedger demand_;
  /// Members for which the watches were last assigned.
  std::vector<membership::Member> assigned_members_;
  bool roster_changed_ = true;
  EngineTable table_;
  PrefixIndex prefixes_;
  DeltaExchange exchange_;
  WorkExchange work_;
  EngineEjection ejection_;
  EnginePoller poller_;
  /// Engines that another node took over, and until when this node goes on watching them.
  std::map<EngineSlot, common::MonotonicTime> handed_over_;
  common::Counter& pauses_;
};

}  // namespace cypresswall::routing
