/// Which of a zone's other nodes a node exchanges heartbeats and news with. In a small zone that is
/// everybody. In a large one the nodes form a ring, in the order of their hashes: each node sends
/// heartbeats to the few that follow it, hears those before it, and passes news on to its successor
/// and to a few nodes drawn by hashing. What a node sends and receives then does not grow with
/// the zone.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::membership {

struct NeighbourSettings {
  /// Up to so many nodes, this one included, all hear all. At 24 nodes and two heartbeats a second
  /// a node sends and receives 92 messages a second for it; in a ring 16.
  std::size_t mesh_limit = 24;
  /// Nodes that hear one node's heartbeats in a ring. The death of a node goes unnoticed for longer
  /// if all of them die with it: at a loss of 40% of the nodes for one in forty.
  std::size_t heartbeat_receivers = 4;
  /// Nodes, beside the successor, that a node passes news on to in a ring. With three, news reaches
  /// 1,000 nodes in ten hops or less.
  std::size_t shortcut_receivers = 3;
};

struct Neighbours {
  /// All hear all.
  bool mesh = true;
  /// Heartbeats go to these.
  std::vector<common::NodeId> successors;
  /// Heartbeats are expected from these.
  std::vector<common::NodeId> predecessors;
  /// News is passed on to these.
  std::vector<common::NodeId> update_receivers;
};

/// \param peers the zone's other nodes, in any order
Neighbours findNeighbours(const NeighbourSettings& settings, const common::NodeId& self,
                          const std::vector<common::NodeId>& peers);

}  // namespace cypresswall::membership
