/// Rendezvous hashing over the nodes of a zone: which nodes do something for the others, the same
/// on every node without a word exchanged. A node that comes or goes moves only its own share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// \param name of what is to be done
/// \return the rank of `node` for it; the nodes with the highest ranks do it
std::uint64_t rendezvousRank(std::string_view name, const common::NodeId& node);
/// \return the one member of `members` that does it: the alive one of the highest rank; empty if no
///   member is alive. Members that are suspected or leaving do nothing.
common::NodeId rendezvousNode(std::string_view name, const std::vector<Member>& members);
/// \return the `count` nodes of the highest ranks, the highest first; fewer if there aren't so many
std::vector<common::NodeId> rendezvousNodes(std::string_view name,
                                            std::vector<common::NodeId> nodes, std::size_t count);
/// \return the one of `nodes` with the highest rank; empty if there is none.
common::NodeId rendezvousNode(std::string_view name, const std::vector<common::NodeId>& nodes);
/// \return the doublings of the node's link, zero if its bandwidth isn't known: what takes much
/// room
///   goes to the nodes with the widest links, and nodes of like links share it
std::uint64_t linkBandwidthClass(const MembershipView& membership, const common::NodeId& node);

}  // namespace cypresswall::membership
