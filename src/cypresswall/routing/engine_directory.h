/// This node's view of the engines that it routes to: their load, kept up to date by polling some
/// of them and by the publications of the other routing nodes; the KV cache pieces that they
/// probably hold; and their availability for new work. Of the zone's other engines, the directory
/// knows only the addresses and which ones are leaving.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/availability/announced_availability.h"
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
#include "cypresswall/routing/reachability_claims.h"
#include "cypresswall/routing/settings.h"
#include "cypresswall/routing/work_exchange.h"

namespace cypresswall::routing {

class EngineDirectory {
 public:
  EngineDirectory(const DirectorySettings& settings, const api::ProcessContext& context,
                  engines::EngineClient& client, configuration::ConfigurationView& configuration,
                  membership::MembershipView& membership);

  /// Starts polling and publishing; called once.
  void start();

  /// \return all engines of the zone, ordered by name.
  std::vector<EngineRecord> records() const;
  /// \return the record of a declared engine, or nullptr; valid until the table next changes.
  const EngineRecord* find(const common::EngineName& name) const;
  /// Replaces the set of engines that receive no new work because a planned change requires them to
  /// be idle.
  void setDraining(const std::set<common::EngineName>& engines);

  /// \return true for DirectorySettings::catch_up_time after a pause of the process. During that
  ///   time, this node's view of engines and machines may be stale, and messages queued during the
  ///   pause appear newer than they are.
  bool catchingUp();

  const EngineGroups& groups() const { return groups_; }
  /// Sets the function that returns the node that plans roles (empty if unknown). This node is sent
  /// the state of every engine that the local node watches.
  void setPlanningNode(std::function<common::NodeId()> find) {
    exchange_.setPlanningNode(std::move(find));
  }
  /// Sets the provider of the request rate limits that engines declare; without it, no engine has
  /// a rate limit.
  void setRateLimiter(fleet_limits::RateLimiter& limiter) { rate_limiter_ = &limiter; }
  fleet_limits::RateLimiter* rateLimiter() const { return rate_limiter_; }
  /// Sets what engines have said about themselves in answers to this node; without it, nothing.
  void setAnnounced(availability::AnnouncedAvailability& announced);
  /// Sets how this node finds out for itself whether it reaches an engine, or any server. Without
  /// it, what other nodes say about the reachability of engines is believed.
  void setServerPath(const api::ServerPath& path, api::ServerConnections& connections) {
    ejection_.setServerPath(path);
    claims_.setConnections(connections);
  }
  /// To be called when this node has lost its links to all servers: without waiting for its polls
  /// to fail, it says so of the engines that it watches, so that other nodes watch them.
  void onServerPathLost() { poller_.markUnreachable(); }
  /// \return the servers that may get nothing from this node, by what they have announced to it
  std::vector<std::string> unavailableByAnnouncement() const;
  /// Demand for each model at this node.
  planning::DemandCounter& demand() { return demand_; }
  EngineTable& table() { return table_; }
  PrefixIndex& prefixes() { return prefixes_; }
  WorkExchange& work() { return work_; }
  EngineEjection& ejection() { return ejection_; }

 private:
  void onConfiguration(const configuration::FleetConfiguration& fleet);
  void onMembership();
  void assignWatches();
  /// \return true if this node is to poll the engine: as its watcher, or in place of watchers that
  ///   can't reach it or have said nothing of a new engine
  bool watches(EngineSlot slot) const;
  /// Records when an engine was declared that this node has no report of.
  void noteNew(EngineSlot slot);
  /// \return true if nothing was heard of a new engine for as long as no working watcher needs
  bool firstReportLate(EngineSlot slot) const;
  /// Forgets the new engines that have reported, that other nodes route to, or that took too long.
  void forgetReported();
  void dropClaimsOfFormerMembers();
  /// \return true if this node is joining and knows no other member that could watch engines yet.
  bool awaitsPeers() const;
  void forgetUnroutedEngines();
  void sweep();
  void detectPause();

  DirectorySettings settings_;
  const api::ProcessContext& context_;
  membership::MembershipView& membership_;
  configuration::ConfigurationView& configuration_;
  common::MonotonicTime swept_at_;
  common::MonotonicTime catch_up_until_;
  common::MonotonicTime started_at_{};
  planning::DemandCounter demand_;
  /// Members at the last assignment of watched engines.
  std::vector<membership::Member> assigned_members_;
  bool roster_changed_ = true;
  bool members_changed_ = false;
  bool claims_changed_ = false;
  EngineTable table_;
  EngineGroups groups_;
  PrefixIndex prefixes_;
  ReachabilityClaims claims_;
  DeltaExchange exchange_;
  WorkExchange work_;
  EngineEjection ejection_;
  EnginePoller poller_;
  fleet_limits::RateLimiter* rate_limiter_ = nullptr;
  const availability::AnnouncedAvailability* announced_ = nullptr;
  /// Engines that another node has taken over, with the time until which this node keeps watching
  /// them.
  std::map<EngineSlot, common::MonotonicTime> handed_over_;
  /// Engines without a report that were declared lately, with the times of their declaration.
  std::map<EngineSlot, common::MonotonicTime> unreported_;
  common::Counter& pauses_;
};

}  // namespace cypresswall::routing
