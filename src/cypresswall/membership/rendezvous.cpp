#include "cypresswall/membership/rendezvous.h"

#include <algorithm>
#include <bit>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {
namespace {

/// Selects the node with the highest rank among those offered.
class HighestRank {
 public:
  explicit HighestRank(std::string_view name) : name_(name) {}

  void offer(const common::NodeId& node) {
    const std::uint64_t rank = rendezvousRank(name_, node);
    if (best_ == nullptr || rank > rank_) {
      best_ = &node;
      rank_ = rank;
    }
  }
  common::NodeId node() const { return best_ == nullptr ? common::NodeId{} : *best_; }

 private:
  std::string_view name_;
  const common::NodeId* best_ = nullptr;
  std::uint64_t rank_ = 0;
};

}  // namespace

std::uint64_t rendezvousRank(std::string_view name, const common::NodeId& node) {
  return common::hash64(name, common::hash64(node.address, node.incarnation));
}

common::NodeId rendezvousNode(std::string_view name, const std::vector<Member>& members) {
  HighestRank highest(name);
  for (const Member& member : members) {
    if (member.state == MemberState::kAlive) {
      highest.offer(member.node);
    }
  }
  return highest.node();
}

std::vector<common::NodeId> rendezvousNodes(std::string_view name,
                                            std::vector<common::NodeId> nodes, std::size_t count) {
  const auto wanted = std::min(count, nodes.size());
  const auto higher = [name](const common::NodeId& left, const common::NodeId& right) {
    return rendezvousRank(name, left) > rendezvousRank(name, right);
  };
  std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(wanted), nodes.end(),
                    higher);
  nodes.resize(wanted);
  return nodes;
}

common::NodeId rendezvousNode(std::string_view name, const std::vector<common::NodeId>& nodes) {
  HighestRank highest(name);
  for (const common::NodeId& node : nodes) {
    highest.offer(node);
  }
  return highest.node();
}

std::uint64_t linkBandwidthClass(const MembershipView& membership, const common::NodeId& node) {
  const auto megabits = membership.digest(node, DigestTopic::kLinkMegabits);
  return static_cast<std::uint64_t>(std::bit_width(megabits.value_or(0)));
}

}  // namespace cypresswall::membership
