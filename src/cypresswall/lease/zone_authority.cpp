#include "cypresswall/lease/zone_authority.h"

#include <algorithm>
#include <utility>

#include "cypresswall/lease/voter_set_planner.h"

namespace cypresswall::lease {
namespace {

/// Rounds whose late answers still count.
constexpr std::size_t kRememberedRounds = 8;
/// A leaving voter campaigns only if nobody else does.
constexpr common::Duration kLeavingBackoff = std::chrono::milliseconds(500);

std::uint64_t epochDigest(const common::Epoch& epoch) {
  return (static_cast<std::uint64_t>(epoch.generation) << 32U) | epoch.term;
}

bool ownNodeLeaving(const membership::MembershipView& membership) {
  for (const auto& member : membership.members()) {
    if (member.node == membership.self()) {
      return member.state == membership::MemberState::kLeaving;
    }
  }
  return false;
}

}  // namespace

ZoneAuthority::ZoneAuthority(LeaseSettings settings, const api::ProcessContext& context,
                             membership::MembershipView& membership, platform::ObjectStore& store)
    : settings_(settings),
      context_(context),
      membership_(membership),
      voter_(settings, context.self, context.clock),
      replicator_(settings, context.clock,
                  {[this](const auto& node, const auto& request) { deliver(node, request); },
                   [this](const auto& node, const auto& request) { deliver(node, request); },
                   [this](const NodeSet& nodes) { return survives(nodes); },
                   [this] { stepDown("superseded", true); }}),
      generations_(settings, context, membership, store,
                   {[this]() -> const VoterSet& { return voter_.newestSet(); },
                    [this](const VoterSet& set) { voter_.learn(set); },
                    [this](const VoterSet& set) {
                      voter_.learn(set);
                      for (const auto& member : membership_.members()) {
                        deliver(member.node, VoterSetNotice{set, false, 0});
                      }
                    },
                    [this](const auto& node, const auto& request) { deliver(node, request); },
                    [this](const auto& node, const auto& request) { deliver(node, request); }}),
      campaign_at_(context.clock.now()),
      lease_until_(context.clock.now()),
      acquired_count_(context.counters.counter("cypresswall_lease_acquired_total",
                                               "Times that this node got the zone's lease")),
      lost_count_(context.counters.counter("cypresswall_lease_lost_total",
                                           "Times that this node lost or gave up the lease")),
      campaign_count_(
          context.counters.counter("cypresswall_lease_campaigns_total", "Campaigns begun")),
      change_count_(context.counters.counter("cypresswall_lease_voter_changes_total",
                                             "Voter sets committed by this node")) {
  auto& dispatcher = context_.dispatcher;
  const auto route = [this, &dispatcher]<typename Message>(const Message*) {
    dispatcher.template handle<Message>(
        [this](const common::NodeId& sender, const Message& message) { handle(sender, message); });
  };
  route(static_cast<const LeaseRequest*>(nullptr));
  route(static_cast<const LeaseReply*>(nullptr));
  route(static_cast<const ReleaseNotice*>(nullptr));
  route(static_cast<const HandoverNotice*>(nullptr));
  route(static_cast<const FetchRequest*>(nullptr));
  route(static_cast<const FetchReply*>(nullptr));
  route(static_cast<const ReplicateRequest*>(nullptr));
  route(static_cast<const ReplicateReply*>(nullptr));
  route(static_cast<const VoterSetRequest*>(nullptr));
  route(static_cast<const VoterSetNotice*>(nullptr));
  route(static_cast<const SealRequest*>(nullptr));
  route(static_cast<const SealReply*>(nullptr));
}

template <typename Message>
void ZoneAuthority::deliver(const common::NodeId& node, const Message& message) {
  if (node != context_.self) {
    context_.sendTo(node, message);
    return;
  }
  context_.scheduler.schedule(common::Duration(0),
                              [this, message] { handle(context_.self, message); });
}

void ZoneAuthority::start() { tick(); }

std::optional<common::Epoch> ZoneAuthority::heldEpoch() const {
  if (role_ == Role::kHolder && leaseRunning()) {
    return epoch_;
  }
  return std::nullopt;
}

bool ZoneAuthority::leaseRunning() const { return context_.clock.now() < lease_until_; }

common::NodeId ZoneAuthority::believedHolder() const {
  if (heldEpoch()) {
    return context_.self;
  }
  common::NodeId holder;
  std::uint64_t highest = 0;
  for (const auto& member : membership_.members()) {
    const auto digest = membership_.digest(member.node, membership::DigestTopic::kHeldEpoch);
    if (member.node != context_.self && digest && *digest > highest) {
      highest = *digest;
      holder = member.node;
    }
  }
  return holder;
}

void ZoneAuthority::onChange(std::function<void(std::optional<common::Epoch>)> listener) {
  listeners_.push_back(std::move(listener));
}

const VoterSet& ZoneAuthority::voterSet() const {
  return holding() ? current_ : voter_.newestSet();
}

void ZoneAuthority::tick() {
  context_.scheduler.schedule(settings_.tick_interval, [this] { tick(); });
  if (holding()) {
    generations_.withHolder();
    holderTick();
    return;
  }
  followerTick();
  if (believedHolder().empty() && !voter_.grantedTo()) {
    generations_.withoutHolder();
  } else {
    generations_.withHolder();
  }
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
  if (ownNodeLeaving(membership_)) {
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

NodeList ZoneAuthority::askedNodes() const {
  return unite(unite(current_.members, proposed_members_), newestProposed().members);
}

void ZoneAuthority::sendRound(common::Duration duration) {
  const auto now = context_.clock.now();
  const std::uint64_t request = ++next_request_;
  Round& round = rounds_[request];
  round = Round{now, duration, newestProposed().version, {}};
  last_round_ = now;
  if (rounds_.size() > kRememberedRounds) {
    rounds_.erase(rounds_.begin());
  }
  for (const auto& voter : askedNodes()) {
    const auto known = known_versions_.find(voter);
    askVoter(voter, request, round,
             known == known_versions_.end() || known->second != round.version);
  }
}

void ZoneAuthority::askVoter(const common::NodeId& voter, std::uint64_t request, const Round& round,
                             bool with_set) {
  LeaseRequest message;
  message.request = request;
  message.epoch = epoch_;
  message.set_version = round.version;
  if (with_set) {
    message.set.push_back(newestProposed());
  }
  if (pending_) {
    message.previous_members = unite(current_.members, proposed_members_);
  }
  message.duration_us = static_cast<std::uint64_t>(round.duration.count());
  message.probe = role_ == Role::kProbing;
  deliver(voter, message);
}

void ZoneAuthority::handle(const common::NodeId& sender, const LeaseRequest& request) {
  const LeaseReply reply = voter_.handle(sender, request);
  deliver(sender, reply);
}

void ZoneAuthority::handle(const common::NodeId& sender, const LeaseReply& reply) {
  highest_seen_ = std::max(highest_seen_, reply.promised);
  for (const auto& set : reply.newer_set) {
    voter_.learn(set);
  }
  const auto round = rounds_.find(reply.request);
  if (round == rounds_.end()) {
    return;
  }
  switch (reply.verdict) {
    case GrantVerdict::kGranted:
      known_versions_[sender] = round->second.version;
      roundGranted(sender, reply, round->second);
      break;
    case GrantVerdict::kUnknownSet:
      known_versions_.erase(sender);
      if (round->second.version == newestProposed().version) {
        askVoter(sender, reply.request, round->second, true);
      }
      break;
    case GrantVerdict::kOlderSet:
      if (holding() && round->second.version == newestProposed().version) {
        stepDown("newer_voter_set", true);
      } else if (!holding()) {
        endCampaign(common::Duration(0));
      }
      break;
    case GrantVerdict::kPromised:
      if (holding() && reply.promised > epoch_) {
        stepDown("higher_epoch", true);
      }
      break;
    default:
      break;
  }
}

void ZoneAuthority::roundGranted(const common::NodeId& sender, const LeaseReply& reply,
                                 Round& round) {
  if (holding() && replicator_.checkLife(sender, reply.records_life)) {
    return;
  }
  round.granted.insert(sender);
  const bool quorum = current_.hasQuorum(round.granted);
  if (!holding()) {
    if (quorum) {
      campaignGranted();
    }
    return;
  }
  if (quorum) {
    const auto until = round.sent + round.duration - settings_.drift_margin;
    lease_until_ = std::max(lease_until_, until);
  }
  const bool proposed = pending_ && round.version == pending_->version;
  if (proposed && quorum && pending_->hasQuorum(round.granted)) {
    commitPending();
  }
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
  generations_.resetNoting();
  replicator_.begin(epoch_);
  // Commits the newest set anew under this epoch, so that no set proposed by an earlier holder can
  // win later; only then is it changed.
  propose(current_.members, current_.anchors);
  for (const auto& member : current_.members) {
    replicator_.track(member);
  }
}

void ZoneAuthority::propose(NodeList members, std::vector<NodeList> anchors) {
  VoterSet set{
      {epoch_.generation, epoch_.term, next_index_++}, std::move(members), std::move(anchors)};
  proposed_members_ = unite(proposed_members_, set.members);
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
  for (const auto& node : before) {
    if (!current_.contains(node)) {
      deliver(node, VoterSetNotice{current_, true, 0});
      known_versions_.erase(node);
    }
  }
  replicator_.retain(NodeSet(current_.members.begin(), current_.members.end()));
  replicator_.checkCommitted();
}

bool ZoneAuthority::survives(const NodeSet& nodes) const {
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
    takeBackPending();
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

void ZoneAuthority::takeBackPending() {
  propose(current_.members, current_.anchors);
  last_change_ = context_.clock.now();
}

void ZoneAuthority::planChange() {
  const auto now = context_.clock.now();
  const auto members = membership_.members();
  if (ownNodeLeaving(membership_) || resigned_) {
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
  const auto note = generations_.noteVoters(current_);
  if (note.anchors) {
    propose(current_.members, *note.anchors);
    return;
  }
  const auto change =
      planVoterSetChange(current_, members, context_.self, settings_.maximum_voters);
  if (!change) {
    return;
  }
  VoterSet next = current_;
  if (change->add) {
    next.members = unite(current_.members, {change->node});
    replicator_.track(change->node);
  } else {
    std::erase(next.members, change->node);
  }
  NodeSet synced;
  for (const auto& node : next.members) {
    if (replicator_.synced(node)) {
      synced.insert(node);
    }
  }
  const bool ready = !change->add || synced.contains(change->node);
  if (ready && next.hasMajority(synced)) {
    propose(next.members, next.anchors);
  }
}

void ZoneAuthority::stepDown(const char* reason, bool campaign_again) {
  if (!holding()) {
    return;
  }
  const bool was_holder = role_ == Role::kHolder;
  role_ = Role::kFollower;
  lease_until_ = context_.clock.now();
  release(false);
  rounds_.clear();
  pending_.reset();
  generations_.resetNoting();
  backOff();
  if (!campaign_again) {
    campaign_at_ += settings_.duration;
  }
  if (was_holder) {
    lost_count_.add();
    common::LogEvent(context_.log, common::LogLevel::kInfo, "lease_lost")
        .field("zone", context_.zone)
        .field("epoch", epoch_.toString())
        .field("reason", reason);
    membership_.setDigest(membership::DigestTopic::kHeldEpoch, 0);
    announce(std::nullopt);
  }
  replicator_.end();
}

void ZoneAuthority::release(bool never_held) {
  for (const auto& voter : askedNodes()) {
    deliver(voter, ReleaseNotice{epoch_, never_held});
  }
}

void ZoneAuthority::resign() { resigned_ = true; }

bool ZoneAuthority::mayStop() const {
  const auto members = membership_.members();
  const bool others = std::any_of(members.begin(), members.end(), [this](const auto& member) {
    return member.node != context_.self && member.state == membership::MemberState::kAlive;
  });
  return !others || (!holding() && !voter_.newestSet().contains(context_.self));
}

void ZoneAuthority::announce(std::optional<common::Epoch> epoch) {
  for (const auto& listener : listeners_) {
    listener(epoch);
  }
}

void ZoneAuthority::replicate(RecordModule module, const std::string& key, std::string payload,
                              Committed committed) {
  if (!heldEpoch()) {
    context_.scheduler.schedule(common::Duration(0),
                                [committed = std::move(committed)] { committed(false); });
    return;
  }
  replicator_.replicate(RecordKey{module, key}, std::move(payload), std::move(committed));
}

void ZoneAuthority::erase(RecordModule module, const std::string& key) {
  if (heldEpoch()) {
    replicator_.erase(RecordKey{module, key});
  }
}

std::map<std::string, std::string> ZoneAuthority::records(RecordModule module) const {
  std::map<std::string, std::string> records;
  for (const auto& [key, record] : replicator_.records()) {
    if (key.module == module) {
      records[key.key] = record.payload;
    }
  }
  return records;
}

void ZoneAuthority::handle(const common::NodeId& sender, const ReleaseNotice& notice) {
  voter_.handle(sender, notice);
}

void ZoneAuthority::handle(const common::NodeId& sender, const HandoverNotice& notice) {
  const bool next = notice.epoch >= voter_.promised() && !holding() && !resigned_ &&
                    voter_.newestSet().contains(context_.self);
  if (next) {
    voter_.handle(sender, ReleaseNotice{notice.epoch, false});
    startCampaign(Role::kCandidate);
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const FetchRequest& request) {
  deliver(sender, voter_.handle(request));
}

void ZoneAuthority::handle(const common::NodeId& sender, const FetchReply& reply) {
  if (holding()) {
    replicator_.handle(sender, reply);
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const ReplicateRequest& request) {
  deliver(sender, voter_.handle(request));
}

void ZoneAuthority::handle(const common::NodeId& sender, const ReplicateReply& reply) {
  if (holding()) {
    replicator_.handle(sender, reply);
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const VoterSetRequest& request) {
  if (voter_.newestSet().version > request.known || voter_.sealedBefore() != 0) {
    deliver(sender, VoterSetNotice{voter_.newestSet(), false, voter_.sealedBefore()});
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const VoterSetNotice& notice) {
  if (notice.sealed_before != 0) {
    generations_.noteSealed(sender, notice.sealed_before);
  }
  if (notice.committed) {
    voter_.learnCommitted(notice.set);
  } else {
    voter_.learn(notice.set);
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const SealRequest& request) {
  deliver(sender, voter_.handle(request));
}

void ZoneAuthority::handle(const common::NodeId& sender, const SealReply& reply) {
  generations_.handle(sender, reply);
}

}  // namespace cypresswall::lease
