/// Rendezvous hashing over the nodes of a zone: assigns a named task to nodes, with the same result
/// on every node without communication. A node that joins or leaves moves only its own tasks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// \param name name of the task
/// \return the rank of `node` for the task; the nodes with the highest ranks are assigned to it
std::uint64_t rendezvousRank(std::string_view name, const common::NodeId& node);
/// \return the alive member with the highest rank; empty if no member is alive. Suspect and leaving
///   members are never assigned.
common::NodeId rendezvousNode(std::string_view name, const std::vector<Member>& members);
/// \return the `count` nodes with the highest ranks, highest first; fewer if there are not enough
std::vector<common::NodeId> rendezvousNodes(std::string_view name,
                                            std::vector<common::NodeId> nodes, std::size_t count);
/// \return the node with the highest rank; empty if `nodes` is empty
common::NodeId rendezvousNode(std::string_view name, const std::vector<common::NodeId>& nodes);
/// Classes of link bandwidth are powers of two. Tasks with much traffic go to the nodes of the
/// highest class, which share them.
/// \return the bit width of the node's link bandwidth in Mbit/s; zero if the bandwidth is unknown
std::uint64_t linkBandwidthClass(const MembershipView& membership, const common::NodeId& node);

}  // namespace cypresswall::membership
