/// Broadcast tree over a zone's nodes: the root's message reaches every node, and each node
/// forwards it to a few children.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// Nodes with the same member list compute the same tree without communicating. If member lists
/// differ, a node may receive a message twice or not at all.
/// \param members ordered by node
/// \param fan_out maximum number of children of a node; if it is at least the number of members,
///   the root sends to all other nodes directly
/// \return the nodes that `self` forwards a broadcast of `root` to; empty if `root` or `self` is
///   not a member
std::vector<common::NodeId> treeChildren(const common::NodeId& root, const common::NodeId& self,
                                         const std::vector<Member>& members, std::size_t fan_out);

}  // namespace cypresswall::membership
