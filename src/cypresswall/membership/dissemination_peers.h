/// To whom a node tells what all nodes of its zone should know, beside their membership.
#pragma once

#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/neighbours.h"

namespace cypresswall::membership {

/// News goes to all nodes of a small zone at once, and in a large one to a few, each of which
/// passes it on once. What is lost on the way is made up by repeating all that is known to two
/// nodes now and then. Nodes whose build doesn't handle the messages are left out.
class DisseminationPeers {
 public:
  /// \pre all references outlive this object
  DisseminationPeers(const NeighbourSettings& neighbours, const api::ProcessContext& context,
                     const MembershipView& membership, api::MessageSet messages)
      : neighbours_(neighbours), context_(context), membership_(membership), messages_(messages) {}

  /// \return the nodes that are told at once
  std::vector<common::NodeId> updateReceivers() const;
  /// \return the nodes to which what is known is repeated; empty if there is no other
  std::vector<common::NodeId> antiEntropyReceivers() const;
  bool handles(const common::NodeId& node) const { return membership_.handles(node, messages_); }

 private:
  /// \return the other nodes, ordered. Those that are late or leaving take requests still.
  std::vector<common::NodeId> peers() const;

  const NeighbourSettings neighbours_;
  const api::ProcessContext& context_;
  const MembershipView& membership_;
  const api::MessageSet messages_;
};

}  // namespace cypresswall::membership
