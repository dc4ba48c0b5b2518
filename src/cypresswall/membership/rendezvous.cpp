#include "cypresswall/membership/rendezvous.h"

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {

std::uint64_t rendezvousRank(std::string_view name, const common::NodeId& node) {
  return common::hash64(name, common::hash64(node.address, node.incarnation));
}

common::NodeId rendezvousNode(std::string_view name, const std::vector<Member>& members) {
  const Member* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const Member& member : members) {
    if (member.state != MemberState::kAlive) {
      continue;
    }
    const std::uint64_t rank = rendezvousRank(name, member.node);
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? common::NodeId{} : best->node;
}

}  // namespace cypresswall::membership
