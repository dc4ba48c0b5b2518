#include "cypresswall/routing/watch_assignment.h"

#include <cstdint>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::routing {

common::NodeId watcherOf(std::string_view engine, const std::vector<membership::Member>& members) {
  const membership::Member* best = nullptr;
  std::uint64_t best_score = 0;
  for (const membership::Member& member : members) {
    if (member.state != membership::MemberState::kAlive) {
      continue;
    }
    const std::uint64_t score = membership::rendezvousRank(engine, member.node);
    if (best == nullptr || score > best_score) {
      best = &member;
      best_score = score;
    }
  }
  return best == nullptr ? common::NodeId{} : best->node;
}

}  // namespace cypresswall::routing
