#include "cypresswall/membership/dissemination_peers.h"

#include <algorithm>

namespace cypresswall::membership {

std::vector<common::NodeId> DisseminationPeers::updateReceivers() const {
  return findNeighbours(neighbours_, context_.self, peers()).update_receivers;
}

/// Chooses the successor in node order, so that every node is the receiver of one other node, and a
/// random node, since nodes may temporarily disagree on the order.
std::vector<common::NodeId> DisseminationPeers::antiEntropyReceivers() const {
  const auto nodes = peers();
  if (nodes.empty()) {
    return {};
  }
  const auto next = std::upper_bound(nodes.begin(), nodes.end(), context_.self);
  return {next == nodes.end() ? nodes.front() : *next, nodes[context_.random.below(nodes.size())]};
}

std::vector<common::NodeId> DisseminationPeers::peers() const {
  std::vector<common::NodeId> nodes;
  for (const Member& member : membership_.members()) {
    if (member.node != context_.self && handles(member.node)) {
      nodes.push_back(member.node);
    }
  }
  return nodes;
}

}  // namespace cypresswall::membership
