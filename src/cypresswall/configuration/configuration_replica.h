/// The configuration as replicated to every node: read access, readiness, and submission of
/// changes. docs/design/configuration.md explains the parts.
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

/// What operators see of one replica.
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

  /// Begins to look for a configuration and to keep it up to date.
  void start();
  /// \return true once a snapshot is held, or the store has said that there is none.
  bool ready() const { return state_.ready(); }
  /// Calls `listener` once when ready() turns true.
  void onReady(std::function<void()> listener) { state_.onReady(std::move(listener)); }

  std::shared_ptr<const FleetConfiguration> current() const override;
  void onChange(std::function<void(const FleetConfiguration&)> listener) override;

  /// Validates a change as a whole, asks every zone and commits it.
  /// \param callback called exactly once, never before the call returns
  void submit(ConfigurationChangeRequest request, CommitCallback callback);

  ReplicaStatus status() const;
  /// \return for each zone the versions that it published, the own zone included.
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
