/// The other nodes of the zone as known to one node, with the failure detector for those that it
/// monitors.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/messages.h"

namespace cypresswall::membership {

/// One other node of the zone.
struct Peer {
  common::NodeId node;
  NodeDetails details;
  MemberState state = MemberState::kAlive;
  /// True if this node monitors the peer's heartbeats and declares the peer dead if they stop.
  bool watched = false;
  common::MonotonicTime last_contact;
};

/// Holds at most one peer per address: the one with the highest incarnation.
class PeerTable {
 public:
  explicit PeerTable(const MembershipSettings& settings) : settings_(settings) {}

  /// Whether the sender of a message is a peer (kKnown), not a peer (kUnknown), or an older
  /// incarnation than one already seen at its address (kOutdated).
  enum class Contact { kKnown, kUnknown, kOutdated };
  /// Records that a message from `node` arrived. If the result is kUnknown, the node becomes a peer
  /// only once its details are known.
  Contact recordContact(const common::NodeId& node, common::MonotonicTime now);

  /// Result of applying a node's details.
  enum class DetailsResult {
    kUnchanged,       ///< already known
    kOutdated,        ///< the details belong to an older incarnation
    kDeparted,        ///< the node was recently declared dead with this version of its details
    kDigestsChanged,  ///< only the node's digests changed
    kDetailsChanged,  ///< other details changed
    kAdded,           ///< the node became a peer
  };
  /// Applies a node's details and adds it as a peer if it is new.
  DetailsResult applyDetails(const common::NodeId& node, const NodeDetails& details,
                             common::MonotonicTime now);
  /// Sets the nodes whose heartbeats are monitored.
  void watch(const std::vector<common::NodeId>& nodes, common::MonotonicTime now);
  /// Marks a monitored peer as suspect if no heartbeat came for MembershipSettings::suspect_after,
  /// and removes it as dead after MembershipSettings::dead_after. Also removes peers of which a
  /// newer incarnation was seen.
  /// \param changed set to true if a peer was removed or changed its state; otherwise unchanged
  /// \return the departures of the peers that were removed
  std::vector<Departure> expire(common::MonotonicTime now, bool& changed);
  /// Extends the deadline of every peer by `pause`. To be called after this process was paused, as
  /// it received no heartbeats meanwhile.
  void extend(common::Duration pause);
  enum class DepartureCause : std::uint8_t {
    kSilent,   ///< no heartbeats came
    kStopped,  ///< the node said that it stops
  };
  /// Removes the departed node from the peers and records the departure, also if the node was not a
  /// peer. Does nothing if newer details or a newer incarnation of the node are known.
  /// \return true if the departure was recorded; false if it was known or is outdated
  bool remove(const Departure& departure, common::MonotonicTime now,
              DepartureCause cause = DepartureCause::kSilent);

  const std::map<common::Address, Peer>& peers() const { return peers_; }
  /// \return a counter that is incremented whenever a peer is added or removed
  std::uint64_t changes() const { return changes_; }
  /// \return an order-independent hash over the peers and the versions of their details
  std::uint64_t hash() const { return hash_; }
  /// \return the contribution of one member to hash()
  static std::uint64_t memberHash(const common::NodeId& node, std::uint32_t details_version);
  Peer* find(const common::NodeId& node);
  const Peer* find(const common::NodeId& node) const;
  /// \return true if a newer incarnation was seen at the node's address
  bool replaced(const common::NodeId& node) const;
  /// \return the departure that currently blocks readmission of a node, or nothing
  std::optional<Departure> blockingDeparture(const common::NodeId& node,
                                             std::uint32_t details_version,
                                             common::MonotonicTime now) const;
  /// Addresses of departed nodes, to be probed again.
  std::vector<common::Address> departed() const;
  /// \return the suspect peers, and the departed ones that did not say that they stop
  std::vector<common::NodeId> silent() const;

 private:
  /// The last node seen at an address, and when it departed.
  struct DepartedPeer {
    Departure departure;
    DepartureCause cause = DepartureCause::kSilent;
    common::MonotonicTime at;
  };

  void add(const common::NodeId& node, const NodeDetails& details, common::MonotonicTime now);
  std::map<common::Address, Peer>::iterator erase(std::map<common::Address, Peer>::iterator peer,
                                                  common::MonotonicTime now);
  void setDetails(Peer& peer, const NodeDetails& details);

  MembershipSettings settings_;
  std::map<common::Address, Peer> peers_;
  std::uint64_t changes_ = 0;
  std::uint64_t hash_ = 0;
  std::map<common::Address, DepartedPeer> departed_;
  /// Highest incarnation seen at each address. Does not grow without bound, since an entry is
  /// removed with the expired departure at its address.
  std::map<common::Address, std::uint64_t> newest_incarnation_;
};

}  // namespace cypresswall::membership
