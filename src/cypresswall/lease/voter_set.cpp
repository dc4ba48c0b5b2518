#include "cypresswall/lease/voter_set.h"

#include <algorithm>

namespace cypresswall::lease {

bool VoterSet::contains(const common::NodeId& node) const {
  return std::binary_search(members.begin(), members.end(), node);
}

bool VoterSet::hasMajority(const NodeSet& nodes) const {
  const auto granted = std::count_if(members.begin(), members.end(),
                                     [&](const auto& member) { return nodes.contains(member); });
  return 2 * static_cast<std::size_t>(granted) > members.size();
}

bool VoterSet::hasQuorum(const NodeSet& nodes) const {
  const auto granted_in = [&](const NodeList& anchor) {
    return std::any_of(anchor.begin(), anchor.end(),
                       [&](const auto& node) { return contains(node) && nodes.contains(node); });
  };
  return hasMajority(nodes) && std::all_of(anchors.begin(), anchors.end(), granted_in);
}

NodeList unionOf(const NodeList& a, const NodeList& b) {
  NodeSet nodes(a.begin(), a.end());
  nodes.insert(b.begin(), b.end());
  return {nodes.begin(), nodes.end()};
}

}  // namespace cypresswall::lease
