/// The nodes whose grants make a lease, and the rule for a quorum of them.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <set>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

/// Orders voter sets: by generation, then by the term of the holder that proposed the set, then by
/// the holder's own count.
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
  /// Sorted. A node is one life of a process; a restarted voter is another node.
  NodeList members;
  /// Each list may be what the platform's store holds for this generation. A lease needs a grant
  /// from at least one node of each, so that nobody can hold the lease once every node that the
  /// store names has ended or was sealed.
  std::vector<NodeList> anchors;

  bool operator==(const VoterSet&) const = default;
  bool known() const { return version.generation != 0; }
  bool contains(const common::NodeId& node) const;
  /// \return true if more than half of the members are in `nodes`.
  bool hasMajority(const NodeSet& nodes) const;
  /// \return true if grants of `nodes` make a lease: a majority, and one node of each anchor.
  bool hasQuorum(const NodeSet& nodes) const;
  MSGPACK_DEFINE(version, members, anchors)
};

/// \return the sorted union without doubles.
NodeList unionOf(const NodeList& a, const NodeList& b);

}  // namespace cypresswall::lease
