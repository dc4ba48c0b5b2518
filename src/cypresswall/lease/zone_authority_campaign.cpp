/// ZoneAuthority as follower and candidate: starts, wins and abandons campaigns.
#include "cypresswall/lease/zone_authority.h"

#include <algorithm>

namespace cypresswall::lease {
namespace {

/// Additional back-off of a leaving voter, so that it campaigns only if no other voter does.
constexpr common::Duration kLeavingBackoff = std::chrono::milliseconds(500);

}  // namespace

bool ZoneAuthority::ownNodeLeaving() const {
  for (const auto& member : membership_.members()) {
    if (member.node == context_.self) {
      return member.state == membership::MemberState::kLeaving;
    }
  }
  return false;
}

void ZoneAuthority::followerTick() {
  const auto now = context_.clock.now();
  if (role_ != Role::kFollower) {
    if (now >= campaign_at_) {
      endCampaign(common::Duration(0));
    }
    return;
  }
  if (voter_.grantedTo() || resigned_ || !voter_.mayGrant() ||
      !voter_.newestSet().contains(context_.self)) {
    backOff();
  } else if (now >= campaign_at_) {
    startCampaign(Role::kProbing);
  }
}

void ZoneAuthority::backOff() {
  const auto spread = settings_.maximum_backoff - settings_.minimum_backoff;
  const auto random = context_.random.below(static_cast<std::uint64_t>(spread.count()));
  campaign_at_ = context_.clock.now() + settings_.minimum_backoff +
                 common::Duration(static_cast<std::int64_t>(random));
  if (ownNodeLeaving()) {
    campaign_at_ += kLeavingBackoff;
  }
}

void ZoneAuthority::startCampaign(Role role) {
  campaign_count_.add(role == Role::kCandidate ? 1 : 0);
  role_ = role;
  current_ = voter_.newestSet();
  pending_.reset();
  proposed_members_.clear();
  known_versions_.clear();
  const auto generation = current_.version.generation;
  const auto seen = std::max(highest_seen_, voter_.promised());
  epoch_ = {generation, seen.generation == generation ? seen.term + 1 : 1};
  rounds_.clear();
  campaign_at_ = context_.clock.now() + settings_.campaign_timeout;
  sendRound(settings_.campaign_duration);
}

void ZoneAuthority::endCampaign(common::Duration wait) {
  if (role_ == Role::kCandidate) {
    release(true);
  }
  role_ = Role::kFollower;
  rounds_.clear();
  backOff();
  campaign_at_ += wait;
}

void ZoneAuthority::campaignGranted() {
  if (role_ == Role::kProbing) {
    startCampaign(Role::kCandidate);
  } else {
    win();
  }
}

void ZoneAuthority::win() {
  const Round round = rounds_.begin()->second;
  lease_until_ = round.sent + round.duration - settings_.drift_margin;
  if (!leaseRunning()) {
    endCampaign(common::Duration(0));
    return;
  }
  role_ = Role::kRecovering;
  rounds_.clear();
  next_index_ = 0;
  generations_.resetRecording();
  replicator_.begin(epoch_);
  // Commits the newest voter set again under this epoch before changing it, so that no set proposed
  // by an earlier holder can be adopted later.
  propose(current_.members, current_.anchors);
  for (const auto& member : current_.members) {
    replicator_.track(member);
  }
}

}  // namespace cypresswall::lease
