/// A tree over a zone's nodes by which one node tells all others, each passing on to a few.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// Nodes that see the same members work out the same tree, without a word exchanged. Where they see
/// others, a node may be told twice or not at all.
/// \param members ordered by node
/// \param fan_out children of one node; with as many as members the root tells all others itself
/// \return the nodes that `self` passes on to what `root` tells; none if either is no member
std::vector<common::NodeId> treeChildren(const common::NodeId& root, const common::NodeId& self,
                                         const std::vector<Member>& members, std::size_t fan_out);

}  // namespace cypresswall::membership
