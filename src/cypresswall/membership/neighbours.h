/// Heartbeat and gossip topology of a zone. A small zone is a full mesh. In a large zone the nodes
/// form a ring ordered by their hashes: each node sends heartbeats to a few successors, monitors
/// its predecessors, and forwards updates to its successor and to a few shortcut nodes chosen by
/// hashing. The messages per node then do not grow with the zone.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::membership {

struct NeighbourSettings {
  /// Maximum number of nodes, including this one, for a full mesh. With 24 nodes and two heartbeats
  /// a second, a node sends and receives 92 messages a second in a mesh, and 16 in a ring.
  std::size_t mesh_limit = 24;
  /// Number of successors that receive a node's heartbeats in a ring. If all of them die together
  /// with the node, the node's death is detected later. If 40% of the nodes die at once, this
  /// happens for one in forty of the dead nodes.
  std::size_t heartbeat_receivers = 4;
  /// Number of nodes besides the successor that a node forwards updates to in a ring. With three,
  /// an update reaches 1,000 nodes in at most ten hops.
  std::size_t shortcut_receivers = 3;
};

struct Neighbours {
  /// True for a full mesh.
  bool mesh = true;
  /// Nodes that this node sends heartbeats to.
  std::vector<common::NodeId> successors;
  /// Nodes whose heartbeats this node monitors.
  std::vector<common::NodeId> predecessors;
  /// Nodes that this node forwards updates to.
  std::vector<common::NodeId> update_receivers;
};

/// \param peers the zone's other nodes, in any order
Neighbours findNeighbours(const NeighbourSettings& settings, const common::NodeId& self,
                          const std::vector<common::NodeId>& peers);

}  // namespace cypresswall::membership
