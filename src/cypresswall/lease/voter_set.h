/// The nodes that vote on a lease, and the rule for a quorum of them.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <set>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

/// Orders voter sets: by generation, then by the term of the holder that proposed the set, then by
/// that holder's counter.
struct VoterSetVersion {
  std::uint32_t generation = 0;
  std::uint32_t term = 0;
  std::uint32_t index = 0;

  auto operator<=>(const VoterSetVersion&) const = default;  // NOLINT(modernize-use-nullptr)
  MSGPACK_DEFINE(generation, term, index)
};

using NodeList = std::vector<common::NodeId>;
using NodeSet = std::set<common::NodeId>;

struct VoterSet {
  VoterSetVersion version;
  /// Sorted. A node is one incarnation of a process; a restarted voter is a different node.
  NodeList members;
  /// Lists of voters that the platform's store may hold for this generation. A lease needs a grant
  /// from at least one node of each list, so that no node can hold the lease once every node that
  /// the store names has ended or is sealed (see SealRequest).
  std::vector<NodeList> anchors;

  bool operator==(const VoterSet&) const = default;
  bool known() const { return version.generation != 0; }
  bool contains(const common::NodeId& node) const;
  /// \return true if more than half of the members are in `nodes`.
  bool hasMajority(const NodeSet& nodes) const;
  /// \return true if `nodes` form a quorum: a majority, and at least one node of each anchor.
  bool hasQuorum(const NodeSet& nodes) const;
  MSGPACK_DEFINE(version, members, anchors)
};

/// \return the sorted union without duplicates.
NodeList unionOf(const NodeList& a, const NodeList& b);

}  // namespace cypresswall::lease
