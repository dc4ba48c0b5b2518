/// The nodes of one zone, seen from one of them: heartbeats, joining, leaving, and the zone's copy
/// of the machine list. In a large zone each node hears a few neighbours only; what these learn is
/// passed on from node to node, and neighbours that see different members compare their lists.
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

  /// Starts heartbeats, joining and reading of the machine list.
  void start();

  const common::NodeId& self() const override { return context_.self; }
  const common::ZoneName& zone() const override { return context_.zone; }
  const std::vector<Member>& members() const override;
  bool machineLeaving(const common::MachineName& machine) const override;
  bool addressLeaving(const common::Address& address) const override;
  bool confirmedDead(const common::NodeId& node) const override;
  void onChange(std::function<void()> listener) override;

  /// Announces a planned stop. The node keeps sending heartbeats and answering until it ends.
  void announceLeaving();
  /// Tells peers that this process ends now, so that they need not wait for its silence.
  void announceStopped();
  /// \return true once announceLeaving() was called or the own machine is listed as leaving.
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
  /// \return true if the zone is so small that all hear all
  bool mesh() const;
  /// \return whom this node hears and tells, brought up to date with the peers
  const Neighbours& neighbours();

  void receiveHeartbeat(const common::NodeId& sender, const Heartbeat& heartbeat);
  void receiveIntroduction(const common::NodeId& sender, const Introduction& introduction);
  void receiveUpdate(const common::NodeId& sender, const MembershipUpdate& update);
  void receiveVersions(const common::NodeId& sender, const MemberVersions& versions);
  /// Takes what a member says of itself.
  void applySelfReport(const common::NodeId& node, const NodeDetails& details);
  /// Takes the news that a node ended. \return true if it was a member
  bool applyDeparture(const Departure& departure);
  /// Says that this node, taken for dead, is alive.
  void refute(std::uint32_t details_version);

  /// \return true if the node is watched here and not even late with a heartbeat
  bool heardRecently(const common::NodeId& node) const;

  /// Passes news on, after a short time in which more may come.
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
  /// \return the hash over this node and its peers
  std::uint32_t membersHash() const;
  void notify();

  MembershipSettings settings_;
  api::ProcessContext context_;
  PeerTable peers_;
  MachineRegistry machines_;
  NodeDetails own_details_;
  Neighbours neighbours_;
  /// PeerTable::changes() at which the neighbours were found.
  std::optional<std::uint64_t> neighbours_version_;
  /// members(), found again after each change.
  mutable std::vector<Member> members_;
  mutable bool members_valid_ = false;
  /// News to be passed on, and the timer that does so.
  std::set<common::NodeId> pending_records_;
  std::vector<Departure> pending_departures_;
  common::TimerId update_timer_ = 0;
  /// Nodes that wait for the list of members.
  std::set<common::NodeId> joiners_;
  /// Since when each neighbour has seen other members.
  std::map<common::NodeId, common::MonotonicTime> diverging_since_;
  std::optional<common::MonotonicTime> compared_at_;
  /// No peer has given its list of members yet.
  bool joining_ = true;
  std::size_t next_seed_ = 0;
  common::MonotonicTime started_at_;
  common::MonotonicTime last_tick_;
  /// The IP number that was probed last.
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
