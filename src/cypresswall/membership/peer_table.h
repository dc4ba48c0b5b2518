/// What one node knows of its zone's other nodes, and when it last heard of those that it watches.
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
  /// Heartbeats of the node are expected here: if they stay away, it is taken for dead.
  bool watched = false;
  common::MonotonicTime last_heard;
};

/// Holds at most one peer per address: the life with the highest incarnation.
class PeerTable {
 public:
  explicit PeerTable(const MembershipSettings& settings) : settings_(settings) {}

  /// What a message from a node means for the table.
  enum class Contact { kKnown, kUnknown, kOutdated };
  /// Notes that `node` was heard at `now`. kUnknown: its details are needed before it is a peer.
  Contact heard(const common::NodeId& node, common::MonotonicTime now);

  /// What a node's details brought.
  enum class DetailsResult {
    kUnchanged,       ///< they were known
    kOutdated,        ///< they are of an earlier life
    kDeparted,        ///< the node was lately taken for dead with these details
    kDigestsChanged,  ///< its digests changed
    kDetailsChanged,  ///< something else changed
    kAdded,           ///< it became a peer
  };
  /// Takes a node's details, which make it a peer.
  DetailsResult applyDetails(const common::NodeId& node, const NodeDetails& details,
                             common::MonotonicTime now);
  /// Sets whose silence counts.
  void watch(const std::vector<common::NodeId>& nodes, common::MonotonicTime now);
  /// Moves silent peers to suspect and then out of the table.
  /// \return those that were taken for dead; `changed` is set if anything changed
  std::vector<Departure> expire(common::MonotonicTime now, bool& changed);
  /// Grants every peer `pause` more, after this process itself stood still.
  void extend(common::Duration pause);
  /// Takes out a peer, unless its details are newer, and remembers the departure of any node.
  /// \return true if the departure was news
  bool remove(const Departure& departure, common::MonotonicTime now);

  const std::map<common::Address, Peer>& peers() const { return peers_; }
  /// \return a number that rises whenever a node becomes a peer or no longer is one.
  std::uint64_t changes() const { return changes_; }
  /// \return a hash over the peers and the versions of their details, whatever their order.
  std::uint64_t hash() const { return hash_; }
  /// \return what one member adds to such a hash
  static std::uint64_t memberHash(const common::NodeId& node, std::uint32_t details_version);
  Peer* find(const common::NodeId& node);
  const Peer* find(const common::NodeId& node) const;
  /// \return true if a later life was seen at the node's address.
  bool replaced(const common::NodeId& node) const;
  /// \return the departure that keeps a node out for now, or nothing.
  std::optional<Departure> blockingDeparture(const common::NodeId& node,
                                             std::uint32_t details_version,
                                             common::MonotonicTime now) const;
  /// Addresses that fell silent, to be tried again.
  std::vector<common::Address> departed() const;

 private:
  /// The last life seen at an address that fell silent.
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
  /// Highest incarnation seen per address; bounded by forgetting departed addresses.
  std::map<common::Address, std::uint64_t> newest_incarnation_;
};

}  // namespace cypresswall::membership
