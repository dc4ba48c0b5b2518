/// Plans the next change of a zone's voter set, which adds or removes one node at a time, so that
/// the quorums of successive sets intersect. The only exception is the step from one voter to
/// three: two voters would both be needed for a quorum, and the loss of either would cost it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "cypresswall/lease/voter_set.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::lease {

struct VoterSetChange {
  NodeList nodes;
  /// True to add the nodes, false to remove them.
  bool add = false;
};

/// \return how many voters a zone with `nodes` usable nodes should have. Odd, or zero if `nodes` is
///   zero: one voter more would enlarge the quorum without tolerating another failure.
std::size_t targetVoterCount(std::size_t nodes, std::size_t maximum);

/// \return the set with the nodes added or removed, under the same version
VoterSet applied(const VoterSetChange& change, VoterSet set);

/// \param members members of the zone, ordered by node
/// \param self the holder, which is never removed
/// \return nothing if no change is needed, or if the change would cost the set its quorum
std::optional<VoterSetChange> planVoterSetChange(const VoterSet& current,
                                                 const std::vector<membership::Member>& members,
                                                 const common::NodeId& self,
                                                 std::size_t maximum_voters);

/// \return the first voters of a new generation: the first alive members in node order.
NodeList chooseVoters(const std::vector<membership::Member>& members, std::size_t maximum_voters);

}  // namespace cypresswall::lease
