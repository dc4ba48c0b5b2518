#include "cypresswall/fleet_limits/account_keepers.h"

#include <algorithm>
#include <utility>

#include "cypresswall/membership/alive_nodes.h"
#include "cypresswall/membership/rendezvous.h"

namespace cypresswall::fleet_limits {
namespace {

/// Fraction of a limit that a keeper may grant while another node may act as keeper too.
constexpr double kUnsettledShare = 0.5;
/// Maximum number of cached rendezvous hashing results; a full cache is cleared.
constexpr std::size_t kMaximumCachedServers = 4096;

}  // namespace

AccountKeepers::AccountKeepers(const AccountKeeperSettings& settings,
                               const api::ProcessContext& context,
                               membership::MembershipView& membership, api::MessageSet messages)
    : settings_(settings),
      context_(context),
      membership_(membership),
      messages_(messages),
      changed_at_(context.clock.now()) {
  membership.onChange([this] { membersChanged(); });
  membersChanged();
}

void AccountKeepers::membersChanged() {
  stale_ = true;
  const auto now = context_.clock.now();
  const std::size_t count = membership_.members().size();
  size_history_.add(count, now);
  if (count != std::exchange(member_count_, count)) {
    changed_at_ = now;
  }
}

const std::vector<common::NodeId>& AccountKeepers::candidates() {
  if (!std::exchange(stale_, false)) {
    return candidates_;
  }
  auto nodes = membership::aliveNodes(membership_, messages_);
  if (nodes != candidates_) {
    changed_at_ = candidates_.empty() ? changed_at_ : context_.clock.now();
    candidates_ = std::move(nodes);
    rendezvous_cache_.clear();
  }
  return candidates_;
}

common::NodeId AccountKeepers::keeperOf(const std::string& server) {
  const auto& nodes = candidates();
  common::NodeId owner = owner_lookup_ ? owner_lookup_(server) : common::NodeId{};
  if (!owner.empty() && std::binary_search(nodes.begin(), nodes.end(), owner)) {
    return owner;
  }
  const auto known = rendezvous_cache_.find(server);
  if (known != rendezvous_cache_.end()) {
    return known->second;
  }
  if (rendezvous_cache_.size() >= kMaximumCachedServers) {
    rendezvous_cache_.clear();
  }
  const common::NodeId keeper = membership::rendezvousNode(server, nodes);
  return rendezvous_cache_[server] = keeper.empty() ? context_.self : keeper;
}

double AccountKeepers::share() const {
  const bool settled = context_.clock.now() - changed_at_ >= settings_.settling_time;
  return settled && !size_history_.seesMinority() ? 1.0 : kUnsettledShare;
}

double AccountKeepers::visibleShare() const {
  return size_history_.seesMinority() ? size_history_.seenFraction() : 1.0;
}

}  // namespace cypresswall::fleet_limits
