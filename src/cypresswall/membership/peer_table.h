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
  /// This node monitors the peer's heartbeats and declares it dead if they stop.
  bool watched = false;
  common::MonotonicTime last_contact;
};

/// Holds at most one peer per address: the one with the highest incarnation.
class PeerTable {
 public:
  explicit PeerTable(const MembershipSettings& settings) : settings_(settings) {}

  /// What the table knows of the sender of a message.
  enum class Contact { kKnown, kUnknown, kOutdated };
  /// Records a message from `node`. kUnknown: its details are needed before it becomes a peer.
  Contact recordContact(const common::NodeId& node, common::MonotonicTime now);

  /// Result of applying a node's details.
  enum class DetailsResult {
    kUnchanged,       ///< already known
    kOutdated,        ///< they belong to an older incarnation
    kDeparted,        ///< the node was recently declared dead with this version of its details
    kDigestsChanged,  ///< only its digests changed
    kDetailsChanged,  ///< other details changed
    kAdded,           ///< the node became a peer
  };
  /// Applies a node's details and adds it as a peer if it is new.
  DetailsResult applyDetails(const common::NodeId& node, const NodeDetails& details,
                             common::MonotonicTime now);
  /// Sets the nodes whose heartbeats are monitored.
  void watch(const std::vector<common::NodeId>& nodes, common::MonotonicTime now);
  /// Marks monitored peers without heartbeats as suspect, then removes them as dead.
  /// \return the peers that were removed; sets `changed` if anything changed
  std::vector<Departure> expire(common::MonotonicTime now, bool& changed);
  /// Extends the deadline of every peer by `pause`, after this process itself was paused.
  void extend(common::Duration pause);
  /// Removes a peer unless its details are newer, and records the departure, also of unknown nodes.
  /// \return true if the departure was not known yet
  bool remove(const Departure& departure, common::MonotonicTime now);

  const std::map<common::Address, Peer>& peers() const { return peers_; }
  /// \return a counter that is incremented whenever a peer is added or removed
  std::uint64_t changes() const { return changes_; }
  /// \return an order-independent hash over the peers and the versions of their details
  std::uint64_t hash() const { return hash_; }
  /// \return the contribution of one member to such a hash
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

 private:
  /// The last node seen at an address, and when it departed.
  struct DepartedPeer {
    Departure departure;
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
  /// Highest incarnation seen per address; bounded since expired departures are removed.
  std::map<common::Address, std::uint64_t> newest_incarnation_;
};

}  // namespace cypresswall::membership
