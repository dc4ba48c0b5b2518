/// Chooses the next change of a zone's voter set: one node is added or removed at a time.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cypresswall/lease/voter_set.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::lease {

struct VoterSetChange {
  common::NodeId node;
  /// True to add the node, false to remove it.
  bool add = false;
};

/// \return how many voters a zone with `nodes` usable nodes should have: odd, so that no node is
///   one whose loss only makes a quorum harder to reach.
std::size_t targetVoterCount(std::size_t nodes, std::size_t maximum);

/// \param members members of the zone, ordered by node
/// \param self the holder, which never removes itself
std::optional<VoterSetChange> planVoterSetChange(const VoterSet& current,
                                                 const std::vector<membership::Member>& members,
                                                 const common::NodeId& self,
                                                 std::size_t maximum_voters);

/// \return the voters that a new generation begins with: as many as wanted, lowest nodes first.
NodeList chooseVoters(const std::vector<membership::Member>& members, std::size_t maximum_voters);

}  // namespace cypresswall::lease
