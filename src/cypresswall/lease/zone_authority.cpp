#include "cypresswall/lease/zone_authority.h"

#include <algorithm>
#include <utility>

namespace cypresswall::lease {
namespace {

/// Number of the latest rounds of requests to the voters whose replies are still accepted.
constexpr std::size_t kRememberedRounds = 8;

}  // namespace

ZoneAuthority::ZoneAuthority(LeaseSettings settings, const api::ProcessContext& context,
                             membership::MembershipView& membership,
                             object_store::ObjectStore& store)
    : settings_(settings),
      context_(context),
      membership_(membership),
      voter_(settings, context.self, context.clock),
      replicator_(settings, context.clock,
                  {[this](const auto& node, const auto& request) { deliver(node, request); },
                   [this](const auto& node, const auto& request) { deliver(node, request); },
                   [this](const NodeSet& nodes) { return isDurableOn(nodes); },
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
    generations_.onHolderKnown();
    holderTick();
    return;
  }
  followerTick();
  if (believedHolder().empty() && !voter_.grantedTo()) {
    generations_.onHolderMissing();
  } else {
    generations_.onHolderKnown();
  }
}

NodeList ZoneAuthority::askedNodes() const {
  return unionOf(unionOf(current_.members, proposed_members_), newestProposed().members);
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
    message.previous_members = unionOf(current_.members, proposed_members_);
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
  if (holding() && replicator_.checkRecordsIncarnation(sender, reply.records_incarnation)) {
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
  generations_.resetRecording();
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
  const auto& members = membership_.members();
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
  deliver(sender, voter_.handle(sender, request));
}

void ZoneAuthority::handle(const common::NodeId& sender, const FetchReply& reply) {
  if (holding()) {
    replicator_.handle(sender, reply);
  }
}

void ZoneAuthority::handle(const common::NodeId& sender, const ReplicateRequest& request) {
  deliver(sender, voter_.handle(sender, request));
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
    generations_.recordSealed(sender, notice.sealed_before);
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
