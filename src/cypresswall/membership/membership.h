/// Membership of one zone as seen by one of its nodes: heartbeats, joining, leaving, and the zone's
/// copy of the machine list. In a large zone each node exchanges heartbeats with a few neighbours
/// only; changes spread by gossip, and neighbours whose member lists differ compare the lists and
/// send each other what is missing.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/machine_registry.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/membership/neighbours.h"
#include "cypresswall/membership/peer_table.h"
#include "cypresswall/object_store/machine_list.h"

namespace cypresswall::membership {

class Membership final : public MembershipView {
 public:
  Membership(MembershipSettings settings, const api::ProcessContext& context,
             object_store::MachineList& machine_list);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Starts heartbeats, the join procedure and polling of the machine list.
  void start();

  const common::NodeId& self() const override { return context_.self; }
  const common::ZoneName& zone() const override { return context_.zone; }
  const std::vector<Member>& members() const override;
  bool machineLeaving(const common::MachineName& machine) const override;
  bool addressLeaving(const common::Address& address) const override;
  bool confirmedDead(const common::NodeId& node) const override;
  std::vector<common::NodeId> silentNodes() const override;
  void onChange(std::function<void()> listener) override;

  /// Announces a planned stop. The node keeps sending heartbeats and answering until it stops.
  void announceLeaving();
  /// Tells peers that this process stops now, so that they need not wait for the failure detector.
  void announceStopped();
  /// \return true once announceLeaving() was called or the machine list shows this node's machine
  ///   as leaving or gone
  bool leaving() const;

  void setDigest(DigestTopic topic, std::uint64_t value) override;
  std::optional<std::uint64_t> digest(const common::NodeId& node, DigestTopic topic) const override;
  bool joining() const override;

 private:
  void registerHandlers();
  void tick();
  void join();
  void probe();
  void probeMachines();
  void introduceTo(const common::Address& address);
  void detailsChanged(bool digests_only);
  void sendHeartbeats();
  void expirePeers();
  /// \return true if the zone is small enough for a full mesh of heartbeats
  bool mesh() const;
  /// \return this node's neighbours, recomputed if the set of peers has changed
  const Neighbours& neighbours();

  void receiveHeartbeat(const common::NodeId& sender, const Heartbeat& heartbeat);
  void receiveIntroduction(const common::NodeId& sender, const Introduction& introduction);
  void receiveUpdate(const common::NodeId& sender, const MembershipUpdate& update);
  void receiveVersions(const common::NodeId& sender, const MemberVersions& versions);
  /// Applies the details that a node sent about itself.
  void applySelfReport(const common::NodeId& node, const NodeDetails& details);
  /// Applies the departure of a node. \return true if it was a member
  bool applyDeparture(const Departure& departure, PeerTable::DepartureCause cause);
  /// Undoes a departure of this node that was announced wrongly and carries `details_version`:
  /// raises the version of this node's own details above it and announces the details.
  void refute(std::uint32_t details_version);

  /// \return true if this node monitors the other and received a message from it within two
  ///   heartbeat intervals
  bool hadRecentContact(const common::NodeId& node) const;

  /// Queues a change. It is forwarded after a short delay, together with the changes queued
  /// meanwhile.
  void enqueueUpdate(const common::NodeId& node);
  void enqueueUpdate(const Departure& departure);
  void scheduleUpdate(common::Duration delay);
  void sendUpdate();
  void answerJoiners();
  void compareWith(const common::NodeId& peer, std::uint32_t members_hash);
  MemberVersions ownVersions(bool answer_wanted) const;
  MembershipUpdate updateFor(const MemberVersions& versions) const;
  std::vector<MemberRecord> allRecords() const;
  bool recordOf(const common::NodeId& node, MemberRecord& record) const;

  std::vector<common::NodeId> peerNodes() const;
  std::size_t rank() const;
  /// \return hash over this node and its peers with the versions of their details
  std::uint32_t membersHash() const;
  void notify();

  MembershipSettings settings_;
  api::ProcessContext context_;
  PeerTable peers_;
  MachineRegistry machines_;
  NodeDetails own_details_;
  Neighbours neighbours_;
  /// Value of PeerTable::changes() for which `neighbours_` was computed.
  std::optional<std::uint64_t> neighbours_version_;
  /// Cache of members(), rebuilt after each change.
  mutable std::vector<Member> members_;
  mutable bool members_valid_ = false;
  /// Nodes whose details are to be forwarded.
  std::set<common::NodeId> pending_records_;
  /// Departures that are to be forwarded.
  std::vector<Departure> pending_departures_;
  /// Timer that sends the pending changes and answers `joiners_`; zero if it is not set.
  common::TimerId update_timer_ = 0;
  /// Nodes that asked for the member list and have not got it yet.
  std::set<common::NodeId> joiners_;
  /// By neighbour whose member hash differs from this node's: time since which it has differed.
  std::map<common::NodeId, common::MonotonicTime> diverging_since_;
  std::optional<common::MonotonicTime> compared_at_;
  /// True until a peer has sent its complete member list.
  bool joining_ = true;
  std::size_t next_seed_ = 0;
  common::MonotonicTime started_at_;
  common::MonotonicTime last_tick_;
  /// IP address from the machine list that was probed last.
  std::string probe_position_;
  std::vector<std::function<void()>> listeners_;
  common::Counter& foreign_count_;
  common::Counter& outdated_count_;
  common::Counter& pause_count_;
  common::Counter& death_count_;
  common::Counter& unreadable_count_;
  common::Counter& comparison_count_;
  common::Counter& refuted_count_;
};

}  // namespace cypresswall::membership
