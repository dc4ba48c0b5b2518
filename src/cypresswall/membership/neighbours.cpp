#include "cypresswall/membership/neighbours.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {
namespace {

std::uint64_t ringPosition(const common::NodeId& node) {
  return common::hash64(node.address, node.incarnation);
}

/// A node and its distance from the own node along the ring.
struct RingNode {
  std::uint64_t distance = 0;
  const common::NodeId* node = nullptr;
};

/// \return the nodes in ring order, starting with the successor of `self`
std::vector<RingNode> ringFrom(const common::NodeId& self,
                               const std::vector<common::NodeId>& peers) {
  std::vector<RingNode> ring;
  ring.reserve(peers.size());
  const std::uint64_t own = ringPosition(self);
  for (const common::NodeId& peer : peers) {
    // Unsigned arithmetic wraps around the end of the ring.
    ring.push_back({ringPosition(peer) - own, &peer});
  }
  std::sort(ring.begin(), ring.end(), [](const RingNode& left, const RingNode& right) {
    return std::tie(left.distance, *left.node) < std::tie(right.distance, *right.node);
  });
  return ring;
}

/// \return the first node at or after a ring position chosen by hashing. Such links form a random
///   graph with few hops between any two nodes, and a node that joins or leaves moves few links.
const common::NodeId& shortcutNode(const common::NodeId& self, std::size_t number,
                                   const std::vector<RingNode>& ring) {
  const std::uint64_t position = common::hash64(self.address, number + 1);
  const auto found = std::lower_bound(
      ring.begin(), ring.end(), position,
      [](const RingNode& node, std::uint64_t distance) { return node.distance < distance; });
  return found == ring.end() ? *ring.front().node : *found->node;
}

}  // namespace

Neighbours findNeighbours(const NeighbourSettings& settings, const common::NodeId& self,
                          const std::vector<common::NodeId>& peers) {
  Neighbours neighbours;
  neighbours.mesh = peers.size() < settings.mesh_limit;
  if (neighbours.mesh) {
    neighbours.successors = peers;
    neighbours.predecessors = peers;
    neighbours.update_receivers = peers;
    return neighbours;
  }
  const std::vector<RingNode> ring = ringFrom(self, peers);
  const std::size_t heartbeat_receivers = std::min(settings.heartbeat_receivers, ring.size());
  for (std::size_t i = 0; i < heartbeat_receivers; ++i) {
    neighbours.successors.push_back(*ring[i].node);
    neighbours.predecessors.push_back(*ring[ring.size() - 1 - i].node);
  }
  auto& receivers = neighbours.update_receivers;
  receivers.push_back(*ring.front().node);
  for (std::size_t i = 0; i < settings.shortcut_receivers; ++i) {
    const common::NodeId& shortcut = shortcutNode(self, i, ring);
    if (std::find(receivers.begin(), receivers.end(), shortcut) == receivers.end()) {
      receivers.push_back(shortcut);
    }
  }
  return neighbours;
}

}  // namespace cypresswall::membership
