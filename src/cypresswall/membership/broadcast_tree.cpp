#include "cypresswall/membership/broadcast_tree.h"

#include <algorithm>
#include <optional>

namespace cypresswall::membership {
namespace {

std::optional<std::size_t> indexOf(const common::NodeId& node, const std::vector<Member>& members) {
  const auto found = std::lower_bound(
      members.begin(), members.end(), node,
      [](const Member& member, const common::NodeId& wanted) { return member.node < wanted; });
  if (found == members.end() || found->node != node) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - members.begin());
}

}  // namespace

std::vector<common::NodeId> treeChildren(const common::NodeId& root, const common::NodeId& self,
                                         const std::vector<Member>& members, std::size_t fan_out) {
  const auto root_index = indexOf(root, members);
  const auto own_index = indexOf(self, members);
  std::vector<common::NodeId> children;
  if (!root_index || !own_index) {
    return children;
  }
  const std::size_t count = members.size();
  // Positions are relative to the root; the children of position p start at p * fan_out + 1.
  const std::size_t position = (*own_index + count - *root_index) % count;
  const std::size_t first = position * fan_out + 1;
  const std::size_t end = std::min(first + fan_out, count);
  for (std::size_t child = first; child < end; ++child) {
    children.push_back(members[(*root_index + child) % count].node);
  }
  return children;
}

}  // namespace cypresswall::membership
