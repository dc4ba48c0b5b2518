#include "cypresswall/answer_builds/silent_nodes.h"

#include <cstddef>
#include <utility>

namespace cypresswall::answer_builds {

void SilentNodes::update() {
  const auto silent = membership_.silentNodes();
  std::set<common::Address> member_addresses;
  std::size_t reached = 0;
  for (const membership::Member& member : membership_.members()) {
    member_addresses.insert(member.node.address);
    reached += member.state == membership::MemberState::kSuspect ? 0 : 1;
  }
  std::set<common::NodeId> all_silent(silent.begin(), silent.end());
  for (const common::NodeId& node : nodes_) {
    if (!member_addresses.contains(node.address) && !membership_.confirmedDead(node)) {
      all_silent.insert(node);
    }
  }
  if (all_silent.size() < reached) {
    nodes_ = {silent.begin(), silent.end()};
  } else {
    nodes_ = std::move(all_silent);
  }
}

}  // namespace cypresswall::answer_builds
