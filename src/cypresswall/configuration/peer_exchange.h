/// Replication between nodes: pushes new changes within the zone and to other zones, pulls missing
/// changes, publishes the zone's version, and on a new node obtains a first snapshot from peers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/configuration/messages.h"
#include "cypresswall/configuration/replica_state.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/zone_gossip.h"

namespace cypresswall::configuration {

class PeerExchange {
 public:
  PeerExchange(const ConfigurationSettings& settings, const api::ProcessContext& context,
               ReplicaState& state, membership::MembershipView& membership,
               membership::ZoneGossip& gossip);
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  void start();
  /// Requests the changes that this node lacks from another node.
  void pull(const common::Address& address);
  /// Pushes an accepted change to the zone's nodes and to the contact nodes of all other zones.
  void announce(const LoggedChange& entry);
  /// Sends the changes from `version` on, if they are retained.
  void sendChanges(const common::Address& address, std::uint64_t version);
  /// \return the versions published by other zones, and the local zone's as seen from this node.
  std::map<common::ZoneName, ZoneVersions> zoneVersions() const;

 private:
  void registerHandlers();
  void requestInitialConfiguration();
  void repair();
  void pullFromPeers();
  void pullFromZones();
  void pullFromZone(const common::ZoneName& zone);
  void answerPull(const common::NodeId& sender, const PullRequest& request);
  void receiveChanges(const common::NodeId& sender, const Changes& message);
  void receiveSnapshot(const common::NodeId& sender, const Snapshot& message);
  void becomeReady();
  void onVersionAdvanced(std::uint64_t old_version, ChangeSource source);
  void advertiseVersion();
  void schedulePublication();
  void publish();
  Changes changesFrom(std::uint64_t version, bool relay) const;
  ZoneVersions ownZoneVersions() const;
  bool isZonePeer(const common::NodeId& node) const;
  ChangeSource sourceOf(const common::NodeId& sender) const;

  const ConfigurationSettings& settings_;
  const api::ProcessContext& context_;
  ReplicaState& state_;
  membership::MembershipView& membership_;
  membership::ZoneGossip& gossip_;
  /// Versions that each other zone published last.
  std::map<common::ZoneName, ZoneVersions> zones_;
  common::MonotonicTime started_;
  bool pull_pending_ = false;
  common::MonotonicTime last_pull_;
  /// Since when this node knows that another zone has a newer version; valid if behind_zones_.
  common::MonotonicTime behind_since_;
  bool behind_zones_ = false;
  bool publication_scheduled_ = false;
  common::MonotonicTime last_publication_;
  std::uint64_t pull_round_ = 0;
  common::Counter& pulls_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::configuration
