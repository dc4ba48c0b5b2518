/// Chooses the receivers of updates that are to reach all nodes of a zone.
#pragma once

#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/neighbours.h"

namespace cypresswall::membership {

/// In a small zone a node sends an update to all other nodes directly. In a large zone the node
/// sends it to a few nodes; each node that receives the update for the first time forwards it to a
/// few nodes in turn. Anti-entropy repairs losses: each node periodically sends what it knows to
/// two others. Nodes whose build does not support the set of messages given to the constructor are
/// left out.
class DisseminationPeers {
 public:
  /// \pre all references outlive this object
  DisseminationPeers(const NeighbourSettings& neighbours, const api::ProcessContext& context,
                     const MembershipView& membership, api::MessageSet messages)
      : neighbours_(neighbours), context_(context), membership_(membership), messages_(messages) {}

  /// \return the nodes that a new update is sent to
  std::vector<common::NodeId> updateReceivers() const;
  /// \return the nodes to send known state to for anti-entropy; empty if there is no other node
  std::vector<common::NodeId> antiEntropyReceivers() const;
  bool handles(const common::NodeId& node) const { return membership_.handles(node, messages_); }

 private:
  /// \return the other nodes, ordered. Includes suspect and leaving nodes, as they still take
  ///   requests.
  std::vector<common::NodeId> peers() const;

  const NeighbourSettings neighbours_;
  const api::ProcessContext& context_;
  const MembershipView& membership_;
  const api::MessageSet messages_;
};

}  // namespace cypresswall::membership
