#include "cypresswall/membership/rendezvous.h"

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {

std::uint64_t rendezvousRank(std::string_view name, const common::NodeId& node) {
  return common::hash64(name, common::hash64(node.address, node.incarnation));
}

}  // namespace cypresswall::membership
