#include "cypresswall/orders/drain_table.h"

#include <algorithm>

namespace cypresswall::orders {

DrainTable::DrainTable(const DrainSettings& settings, const api::ProcessContext& context,
                       const membership::MembershipView& membership,
                       const routing::EngineGroups& groups, DrainFollower& own_follower)
    : settings_(settings),
      context_(context),
      membership_(membership),
      groups_(groups),
      own_follower_(own_follower),
      announcements_(context.counters.counter("cypresswall_drain_announcements_total",
                                              "Drain tables announced to the zone")) {
  context_.dispatcher.handle<DrainAck>([this](const common::NodeId& sender, const DrainAck& ack) {
    if (epoch_ == ack.epoch) {
      std::uint64_t& version = acknowledged_[sender];
      version = std::max(version, ack.version);
    }
  });
}

void DrainTable::begin(const common::Epoch& epoch) {
  epoch_ = epoch;
  version_ = 1;
  added_at_.clear();
  acknowledged_.clear();
  announce();
}

void DrainTable::add(const common::EngineName& engine) {
  ++version_;
  added_at_.emplace(engine, version_);
  announce();
}

void DrainTable::remove(const common::EngineName& engine) {
  if (added_at_.erase(engine) != 0) {
    ++version_;
    announce();
  }
}

bool DrainTable::acknowledged(const common::EngineName& engine) const {
  const auto added = added_at_.find(engine);
  if (added == added_at_.end()) {
    return false;
  }
  const auto members = dispatchingMembers();
  return std::all_of(members.begin(), members.end(), [&](const membership::Member& member) {
    const bool live = member.state == membership::MemberState::kAlive ||
                      member.state == membership::MemberState::kLeaving;
    if (!live || member.node == context_.self) {
      return true;
    }
    const auto seen = acknowledged_.find(member.node);
    return seen != acknowledged_.end() && seen->second >= added->second;
  });
}

void DrainTable::renewIfDue() {
  if (epoch_ && context_.clock.now() - announced_at_ >= settings_.renewal_period) {
    announce();
  }
}

bool DrainTable::holdsEmptyTable(const common::NodeId& node) const {
  const auto seen = acknowledged_.find(node);
  return added_at_.empty() && seen != acknowledged_.end() && seen->second == version_;
}

std::vector<membership::Member> DrainTable::dispatchingMembers() const {
  std::vector<membership::Member> dispatching = membership_.members();
  if (!groups_.everyNodeRoutes()) {
    const auto& routing_nodes = groups_.allRoutingNodes();
    std::erase_if(dispatching, [&routing_nodes](const membership::Member& member) {
      return std::find(routing_nodes.begin(), routing_nodes.end(), member.node) ==
             routing_nodes.end();
    });
  }
  return dispatching;
}

void DrainTable::announce() {
  announced_at_ = context_.clock.now();
  DrainAnnouncement announcement;
  announcement.epoch = *epoch_;
  announcement.version = version_;
  for (const auto& [engine, version] : added_at_) {
    announcement.engines.push_back(engine);
  }
  own_follower_.apply(announcement);
  for (const membership::Member& member : dispatchingMembers()) {
    if (member.node != context_.self && member.state != membership::MemberState::kDead &&
        !holdsEmptyTable(member.node)) {
      context_.sendTo(member.node, announcement);
      announcements_.add();
    }
  }
}

}  // namespace cypresswall::orders
