/// Plans the next change of a zone's voter set, which adds or removes one node at a time.
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

/// \return how many voters a zone with `nodes` usable nodes should have. Odd, or zero if `nodes` is
///   zero: one voter more would enlarge the quorum without tolerating another failure.
std::size_t targetVoterCount(std::size_t nodes, std::size_t maximum);

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
