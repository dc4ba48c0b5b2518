/// Passes changes between nodes: pushes new ones within the zone and to other zones, pulls what is
/// missing, publishes the zone's version, and gives a new node its first snapshot.
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
  /// Asks a node for what this node lacks.
  void pull(const common::Address& address);
  /// Sends an accepted change at once to the zone's nodes and to the contacts of all other zones.
  void announce(const LoggedChange& entry);
  /// Sends the changes from `version` on, if they are retained.
  void sendChanges(const common::Address& address, std::uint64_t version);
  /// \return versions that zones have published, and the own zone's as seen from this node.
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
  void advanced(std::uint64_t old_version, ChangeSource source);
  void showVersion();
  void schedulePublication();
  void publish();
  Changes changesFrom(std::uint64_t version, bool spread) const;
  ZoneVersions ownZoneVersions() const;
  bool zonePeer(const common::NodeId& node) const;
  ChangeSource sourceOf(const common::NodeId& sender) const;

  const ConfigurationSettings& settings_;
  const api::ProcessContext& context_;
  ReplicaState& state_;
  membership::MembershipView& membership_;
  membership::ZoneGossip& gossip_;
  /// Newest version that each other zone has published.
  std::map<common::ZoneName, ZoneVersions> zones_;
  common::MonotonicTime started_;
  bool pull_open_ = false;
  common::MonotonicTime last_pull_;
  /// Since when another zone is known to be ahead; meaningful if behind_zones_.
  common::MonotonicTime behind_since_;
  bool behind_zones_ = false;
  bool publication_scheduled_ = false;
  common::MonotonicTime last_publication_;
  std::uint64_t pull_round_ = 0;
  common::Counter& pulls_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::configuration
