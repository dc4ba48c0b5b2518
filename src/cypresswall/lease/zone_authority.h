/// One node's participation in the zone's lease as voter, candidate and holder.
/// docs/design/authority.md states the rules and why two nodes never hold the lease at the same
/// time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/lease/generation_manager.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/messages.h"
#include "cypresswall/lease/quorum_log.h"
#include "cypresswall/lease/replicator.h"
#include "cypresswall/lease/voter.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::lease {

class ZoneAuthority final : public AuthorityView, public QuorumLog {
 public:
  ZoneAuthority(LeaseSettings settings, const api::ProcessContext& context,
                membership::MembershipView& membership, object_store::ObjectStore& store);
  ZoneAuthority(const ZoneAuthority&) = delete;
  ZoneAuthority& operator=(const ZoneAuthority&) = delete;

  void start();
  /// For a planned stop: hands the lease, if held, over to another voter and stops campaigning.
  void resign();
  /// \return true if a planned stop need not wait any longer: this node neither holds the lease nor
  ///   is a voter, or no other node is alive that could replace it.
  bool mayStop() const;

  std::optional<common::Epoch> heldEpoch() const override;
  common::NodeId believedHolder() const override;
  common::Epoch highestEpoch() const override { return voter_.promised(); }
  void onChange(std::function<void(std::optional<common::Epoch>)> listener) override;

  void replicate(RecordModule module, const std::string& key, std::string payload,
                 Committed committed) override;
  void erase(RecordModule module, const std::string& key) override;
  std::map<std::string, std::string> records(RecordModule module) const override;

  const Voter& voter() const { return voter_; }
  /// \return the newest committed voter set if this node is the holder, else the newest known one.
  const VoterSet& voterSet() const;

 private:
  enum class Role : std::uint8_t { kFollower, kProbing, kCandidate, kRecovering, kHolder };
  /// One request to all voters and the grants received for it.
  struct Round {
    common::MonotonicTime sent;
    common::Duration duration{0};
    VoterSetVersion version;
    NodeSet granted;
  };

  template <typename Message>
  void deliver(const common::NodeId& node, const Message& message);

  void handle(const common::NodeId& sender, const LeaseRequest& request);
  void handle(const common::NodeId& sender, const LeaseReply& reply);
  void handle(const common::NodeId& sender, const ReleaseNotice& notice);
  void handle(const common::NodeId& sender, const HandoverNotice& notice);
  void handle(const common::NodeId& sender, const FetchRequest& request);
  void handle(const common::NodeId& sender, const FetchReply& reply);
  void handle(const common::NodeId& sender, const ReplicateRequest& request);
  void handle(const common::NodeId& sender, const ReplicateReply& reply);
  void handle(const common::NodeId& sender, const VoterSetRequest& request);
  void handle(const common::NodeId& sender, const VoterSetNotice& notice);
  void handle(const common::NodeId& sender, const SealRequest& request);
  void handle(const common::NodeId& sender, const SealReply& reply);

  void tick();
  void followerTick();
  void holderTick();
  void startCampaign(Role role);
  void campaignGranted();
  void endCampaign(common::Duration wait);
  void backOff();
  bool ownNodeLeaving() const;
  void win();
  void sendRound(common::Duration duration);
  void askVoter(const common::NodeId& voter, std::uint64_t request, const Round& round,
                bool with_set);
  void roundGranted(const common::NodeId& sender, const LeaseReply& reply, Round& round);
  void commitPending();
  void logVoters() const;
  void becomeHolder();
  void planChange();
  void propose(NodeList members, std::vector<NodeList> anchors);
  void revertPending();
  void stepDown(const char* reason, bool campaign_again);
  void release(bool never_held);
  void announce(std::optional<common::Epoch> epoch);
  bool leaseRunning() const;
  bool holding() const { return role_ == Role::kRecovering || role_ == Role::kHolder; }
  const VoterSet& newestProposed() const { return pending_ ? *pending_ : current_; }
  NodeList askedNodes() const;
  bool isDurableOn(const NodeSet& nodes) const;

  LeaseSettings settings_;
  api::ProcessContext context_;
  membership::MembershipView& membership_;
  Voter voter_;
  Replicator replicator_;
  GenerationManager generations_;

  Role role_ = Role::kFollower;
  common::Epoch epoch_;
  common::Epoch highest_seen_;
  std::uint64_t next_request_ = 0;
  std::map<std::uint64_t, Round> rounds_;
  common::MonotonicTime campaign_at_;
  common::MonotonicTime last_round_;
  common::MonotonicTime lease_until_;
  bool resigned_ = false;

  VoterSet current_;
  std::optional<VoterSet> pending_;
  /// Members of every set proposed since the last commit.
  NodeList proposed_members_;
  common::MonotonicTime pending_since_;
  common::MonotonicTime last_change_;
  std::uint32_t next_index_ = 0;
  /// Version of the set under which each voter last gave a grant. Requests to voters that have not
  /// granted under the current version include the set.
  std::map<common::NodeId, VoterSetVersion> known_versions_;
  std::vector<std::function<void(std::optional<common::Epoch>)>> listeners_;
  common::Counter& acquired_count_;
  common::Counter& lost_count_;
  common::Counter& campaign_count_;
  common::Counter& change_count_;
};

template <typename Message>
void ZoneAuthority::deliver(const common::NodeId& node, const Message& message) {
  if (node != context_.self) {
    context_.sendTo(node, message);
    return;
  }
  context_.scheduler.schedule(common::Duration(0),
                              [this, message] { handle(context_.self, message); });
}

}  // namespace cypresswall::lease
