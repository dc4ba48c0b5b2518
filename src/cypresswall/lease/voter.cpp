#include "cypresswall/lease/voter.h"

#include <algorithm>

namespace cypresswall::lease {

LeaseReply Voter::handle(const common::NodeId& sender, const LeaseRequest& request) {
  LeaseReply reply;
  reply.request = request.request;
  reply.verdict = evaluate(sender, request);
  if (reply.verdict == GrantVerdict::kGranted && !request.probe) {
    const auto expires = clock_.now() + common::Duration(request.duration_us);
    const bool same_epoch = grant_ && grant_->epoch == request.epoch;
    const auto latest = same_epoch ? std::max(grant_->expires, expires) : expires;
    grant_ = Grant{sender, request.epoch, latest};
    promised_ = request.epoch;
    promised_holder_ = {};
    promise_released_ = false;
  }
  if (reply.verdict == GrantVerdict::kOlderSet) {
    reply.newer_set.push_back(newest_set_);
  }
  reply.promised = promised_;
  reply.records_incarnation = records_incarnation_;
  return reply;
}

GrantVerdict Voter::evaluate(const common::NodeId& sender, const LeaseRequest& request) {
  const GrantVerdict set_verdict = evaluateSet(request);
  if (set_verdict != GrantVerdict::kGranted) {
    return set_verdict;
  }
  const bool renewal = grant_ && grant_->holder == sender && grant_->epoch == request.epoch;
  if (renewal && request.epoch == promised_) {
    return GrantVerdict::kGranted;
  }
  // The holder's requests about records may arrive before its first request for a grant.
  const bool from_holder = request.epoch == promised_ && sender == promised_holder_;
  const bool released = request.epoch == promised_ && promise_released_;
  if (request.epoch <= promised_ && !released && !from_holder) {
    return GrantVerdict::kPromised;
  }
  const auto holder = grantedTo();
  if (!mayGrant() || (holder && *holder != sender)) {
    return GrantVerdict::kHeld;
  }
  return GrantVerdict::kGranted;
}

GrantVerdict Voter::evaluateSet(const LeaseRequest& request) {
  if (request.epoch.generation != request.set_version.generation) {
    return GrantVerdict::kNotMember;
  }
  if (request.set_version < newest_set_.version) {
    return GrantVerdict::kOlderSet;
  }
  if (request.set_version.generation < lowest_generation_) {
    return GrantVerdict::kSealed;
  }
  if (!request.set.empty()) {
    learn(request.set.front());
  }
  if (request.set_version != newest_set_.version) {
    return GrantVerdict::kUnknownSet;
  }
  const auto& previous = request.previous_members;
  const bool was_member = std::find(previous.begin(), previous.end(), self_) != previous.end();
  return newest_set_.contains(self_) || was_member ? GrantVerdict::kGranted
                                                   : GrantVerdict::kNotMember;
}

void Voter::handle(const common::NodeId& sender, const ReleaseNotice& notice) {
  if (grant_ && grant_->holder == sender && grant_->epoch == notice.epoch) {
    grant_.reset();
    promised_holder_ = {};
    promise_released_ = notice.never_held;
  }
}

bool Voter::acceptEpoch(const common::NodeId& sender, const common::Epoch& epoch) {
  if (epoch < promised_ || epoch.generation < lowest_generation_ ||
      epoch.generation < newest_set_.version.generation) {
    return false;
  }
  if (epoch > promised_) {
    promised_ = epoch;
    promised_holder_ = sender;
    promise_released_ = false;
  }
  return true;
}

FetchReply Voter::handle(const common::NodeId& sender, const FetchRequest& request) {
  FetchReply reply;
  reply.request = request.request;
  reply.records_incarnation = records_incarnation_;
  reply.accepted = acceptEpoch(sender, request.epoch);
  if (reply.accepted) {
    reply.records = records_.page(request.after, settings_.maximum_batch_bytes);
    const auto& all = records_.records();
    reply.finished = reply.records.empty() || reply.records.back().key == all.rbegin()->first;
  }
  return reply;
}

ReplicateReply Voter::handle(const common::NodeId& sender, const ReplicateRequest& request) {
  ReplicateReply reply{request.request, acceptEpoch(sender, request.epoch), records_incarnation_};
  if (reply.accepted) {
    for (const auto& record : request.records) {
      records_.apply(record);
    }
  }
  return reply;
}

SealReply Voter::handle(const SealRequest& request) {
  const bool agreed = request.lost_set >= newest_set_.version;
  if (agreed) {
    lowest_generation_ = std::max(lowest_generation_, request.generation);
  }
  return SealReply{request.generation, agreed, newest_set_};
}

void Voter::learn(const VoterSet& set) {
  if (set.version <= newest_set_.version) {
    return;
  }
  const bool later_generation = set.version.generation > newest_set_.version.generation;
  if (later_generation && set.version.generation > 1) {
    no_grant_before_ = clock_.now() + settings_.duration + settings_.drift_margin;
  }
  newest_set_ = set;
}

void Voter::learnCommitted(const VoterSet& set) {
  learn(set);
  if (newest_set_.version == set.version && !set.contains(self_) && !records_.records().empty()) {
    records_.clear();
    ++records_incarnation_;
  }
}

std::optional<common::NodeId> Voter::grantedTo() const {
  if (grant_ && clock_.now() < grant_->expires) {
    return grant_->holder;
  }
  return std::nullopt;
}

}  // namespace cypresswall::lease
