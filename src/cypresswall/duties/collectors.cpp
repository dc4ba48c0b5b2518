#include "cypresswall/duties/collectors.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::duties {
namespace {

constexpr const char* kDutyName = "usage";

}  // namespace

std::vector<common::NodeId> collectorsOf(const membership::MembershipView& membership,
                                         std::size_t count) {
  std::vector<std::tuple<std::uint64_t, std::uint64_t, common::NodeId>> ranked;
  for (const membership::Member& member : membership.members()) {
    if (member.state == membership::MemberState::kAlive &&
        membership.handles(member.node, api::MessageSet::kUsage)) {
      ranked.emplace_back(membership::linkBandwidthClass(membership, member.node),
                          membership::rendezvousRank(kDutyName, member.node), member.node);
    }
  }
  const std::size_t wanted = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(wanted),
                    ranked.end(), std::greater<>());
  std::vector<common::NodeId> collectors;
  for (std::size_t rank = 0; rank < wanted; ++rank) {
    collectors.push_back(std::get<common::NodeId>(ranked[rank]));
  }
  return collectors;
}

}  // namespace cypresswall::duties
