/// What one node knows of its zone's other nodes and when it last heard of each.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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
  common::MonotonicTime last_heard;
  common::MonotonicTime last_peer_list;
};

/// Holds at most one peer per address: the life with the highest incarnation.
class PeerTable {
 public:
  explicit PeerTable(const MembershipSettings& settings) : settings_(settings) {}

  /// What a message from a node means for the table.
  enum class Contact { kKnown, kUnknown, kOutdated };
  /// Notes that `node` was heard at `now`. kUnknown: its details are needed before it is a peer.
  Contact heard(const common::NodeId& node, common::MonotonicTime now);
  /// Takes a node's details, which make it a peer. \return true if something changed.
  bool describe(const common::NodeId& node, const NodeDetails& details, common::MonotonicTime now);
  /// Moves silent peers to suspect and then out of the table. \return true if something changed.
  bool expire(common::MonotonicTime now);
  /// Grants every peer `pause` more, after this process itself stood still.
  void extend(common::Duration pause);
  bool remove(const common::NodeId& node, common::MonotonicTime now);

  const std::map<common::Address, Peer>& peers() const { return peers_; }
  /// \return a number that rises whenever a node becomes a peer or no longer is one.
  std::uint64_t changes() const { return changes_; }
  Peer* find(const common::NodeId& node);
  const Peer* find(const common::NodeId& node) const;
  /// \return true if a later life was seen at the node's address.
  bool replaced(const common::NodeId& node) const;
  /// Addresses that fell silent, to be tried again.
  std::vector<common::Address> departed() const;

 private:
  MembershipSettings settings_;
  std::map<common::Address, Peer> peers_;
  std::uint64_t changes_ = 0;
  std::map<common::Address, common::MonotonicTime> departed_;
  /// Highest incarnation seen per address; bounded by forgetting departed addresses.
  std::map<common::Address, std::uint64_t> newest_incarnation_;
};

}  // namespace cypresswall::membership
