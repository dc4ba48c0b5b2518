/// A node's replica of the configuration: read access, readiness, and submission of changes.
/// docs/design/configuration.md describes the components.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/committer.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/configuration/peer_exchange.h"
#include "cypresswall/configuration/replica_state.h"
#include "cypresswall/configuration/store_reader.h"
#include "cypresswall/configuration/zone_approval.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/zone_gossip.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::configuration {

/// Status of one replica, for operators.
struct ReplicaStatus {
  std::uint64_t version = 0;
  ChainDigest digest = 0;
  bool ready = false;
  bool reader = false;
  bool store_reachable = false;
  bool store_behind = false;
  bool forked = false;
};

class ConfigurationReplica final : public ConfigurationView {
 public:
  /// All references must outlive the replica.
  ConfigurationReplica(ConfigurationSettings settings, const api::ProcessContext& context,
                       membership::MembershipView& membership, membership::ZoneGossip& gossip,
                       object_store::ObjectStore& store);

  /// Starts loading the configuration from peers or the store and keeping it up to date.
  void start();
  /// \return true once a configuration was obtained from a peer or the store, or the store was
  ///   found to hold none.
  bool ready() const { return state_.ready(); }
  /// Calls `listener` once when ready() becomes true.
  void onReady(std::function<void()> listener) { state_.onReady(std::move(listener)); }

  std::shared_ptr<const FleetConfiguration> current() const override;
  void onChange(std::function<void(const FleetConfiguration&)> listener) override;

  /// Validates a change, obtains the approval of every zone and commits it.
  /// \param callback called exactly once, never before the call returns
  void submit(ConfigurationChangeRequest request, CommitCallback callback);

  ReplicaStatus status() const;
  /// \return the versions published by each zone, including the local zone.
  std::map<common::ZoneName, ZoneVersions> zoneVersions() const;
  const ChangeLog& log() const { return state_.log(); }

 private:
  ConfigurationSettings settings_;
  api::ProcessContext context_;
  membership::ZoneGossip& gossip_;
  ReplicaState state_;
  PeerExchange exchange_;
  StoreReader reader_;
  ZoneApproval approval_;
  Committer committer_;
};

}  // namespace cypresswall::configuration
