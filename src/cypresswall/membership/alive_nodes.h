/// The members that may be given work that needs certain messages.
#pragma once

#include <vector>

#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// \return the alive members, this node included, whose builds handle the messages; ordered
inline std::vector<common::NodeId> aliveNodes(const MembershipView& membership,
                                              api::MessageSet messages) {
  std::vector<common::NodeId> nodes;
  for (const Member& member : membership.members()) {
    if (member.state == MemberState::kAlive && membership.handles(member.node, messages)) {
      nodes.push_back(member.node);
    }
  }
  return nodes;
}

}  // namespace cypresswall::membership
