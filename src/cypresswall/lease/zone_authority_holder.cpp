/// ZoneAuthority as holder: renewal, recovery after the election, and changes of the voter set.
#include "cypresswall/lease/zone_authority.h"

#include <algorithm>
#include <utility>

#include "cypresswall/lease/voter_set_planner.h"

namespace cypresswall::lease {
namespace {

std::uint64_t epochDigest(const common::Epoch& epoch) {
  return (static_cast<std::uint64_t>(epoch.generation) << 32U) | epoch.term;
}

}  // namespace

void ZoneAuthority::propose(NodeList members, std::vector<NodeList> anchors) {
  VoterSet set{
      {epoch_.generation, epoch_.term, next_index_++}, std::move(members), std::move(anchors)};
  proposed_members_ = unionOf(proposed_members_, set.members);
  pending_ = std::move(set);
  pending_since_ = context_.clock.now();
  sendRound(settings_.duration);
}

void ZoneAuthority::commitPending() {
  change_count_.add();
  const NodeList before = askedNodes();
  current_ = *pending_;
  pending_.reset();
  proposed_members_.clear();
  last_change_ = context_.clock.now();
  logVoters();
  for (const auto& node : before) {
    if (!current_.contains(node)) {
      deliver(node, VoterSetNotice{current_, true, 0});
      known_versions_.erase(node);
    }
  }
  replicator_.retain(NodeSet(current_.members.begin(), current_.members.end()));
  replicator_.checkCommitted();
}

void ZoneAuthority::logVoters() const {
  std::string addresses;
  for (const auto& voter : current_.members) {
    addresses += (addresses.empty() ? "" : ",") + voter.address;
  }
  common::LogEvent(context_.log, common::LogLevel::kInfo, "voters_committed")
      .field("zone", context_.zone)
      .field("epoch", epoch_.toString())
      .field("voters", addresses)
      .field("anchors", current_.anchors.size());
}

bool ZoneAuthority::isDurableOn(const NodeSet& nodes) const {
  return current_.hasMajority(nodes) && (!pending_ || pending_->hasMajority(nodes));
}

void ZoneAuthority::holderTick() {
  const auto now = context_.clock.now();
  if (!leaseRunning()) {
    stepDown("lease_expired", true);
    return;
  }
  if (voter_.newestSet().version.generation > epoch_.generation) {
    stepDown("newer_generation", true);
    return;
  }
  replicator_.tick();
  if (now - last_round_ >= settings_.renew_interval) {
    sendRound(settings_.duration);
  }
  const bool recommitted = current_.version.term == epoch_.term;
  if (role_ == Role::kRecovering && recommitted && replicator_.recovered()) {
    becomeHolder();
  }
  if (pending_ && recommitted && now - pending_since_ >= settings_.change_timeout) {
    revertPending();
  }
  if (role_ == Role::kHolder && !pending_) {
    planChange();
  }
}

void ZoneAuthority::becomeHolder() {
  role_ = Role::kHolder;
  acquired_count_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "lease_acquired")
      .field("zone", context_.zone)
      .field("epoch", epoch_.toString())
      .field("voters", current_.members.size());
  membership_.setDigest(membership::DigestTopic::kHeldEpoch, epochDigest(epoch_));
  announce(epoch_);
}

void ZoneAuthority::revertPending() {
  propose(current_.members, current_.anchors);
  last_change_ = context_.clock.now();
}

void ZoneAuthority::planChange() {
  const auto now = context_.clock.now();
  const auto& members = membership_.members();
  if (ownNodeLeaving() || resigned_) {
    for (const auto& member : members) {
      const bool successor = member.node != context_.self && current_.contains(member.node) &&
                             member.state == membership::MemberState::kAlive &&
                             replicator_.synced(member.node);
      if (successor) {
        stepDown("handed_over", false);
        deliver(member.node, HandoverNotice{epoch_});
        return;
      }
    }
  }
  if (now - last_change_ < settings_.change_interval) {
    return;
  }
  const auto step = generations_.recordVoters(current_);
  if (step.anchors) {
    propose(current_.members, *step.anchors);
    return;
  }
  const auto change =
      planVoterSetChange(current_, members, context_.self, settings_.maximum_voters);
  if (!change) {
    return;
  }
  const VoterSet next = applied(*change, current_);
  if (change->add) {
    for (const auto& node : change->nodes) {
      replicator_.track(node);
    }
  }
  NodeSet synced;
  for (const auto& node : next.members) {
    if (replicator_.synced(node)) {
      synced.insert(node);
    }
  }
  const bool ready =
      !change->add || std::all_of(change->nodes.begin(), change->nodes.end(),
                                  [&](const auto& node) { return synced.contains(node); });
  if (ready && next.hasMajority(synced)) {
    propose(next.members, next.anchors);
  }
}

}  // namespace cypresswall::lease
