/// The nodes of one zone, seen from one of them: heartbeats, joining, leaving, and the zone's copy
/// of the machine list.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/machine_register.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/membership/membership_view.h"
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
  std::vector<Member> members() const override;
  bool machineLeaving(const common::MachineName& machine) const override;
  bool addressLeaving(const common::Address& address) const override;
  bool surelyDead(const common::NodeId& node) const override;
  void onChange(std::function<void()> listener) override;

  /// Announces a planned stop. The node keeps sending heartbeats and answering until it ends.
  void announceLeaving();
  /// Tells peers that this process ends now, so that they need not wait for its silence.
  void announceStopped();
  /// \return true once announceLeaving() was called or the own machine is listed as leaving.
  bool leaving() const;

  void setDigest(DigestTopic topic, std::uint64_t value) override;
  std::optional<std::uint64_t> digest(const common::NodeId& node, DigestTopic topic) const override;

 private:
  void registerHandlers();
  void tick();
  void probe();
  void probeMachines();
  void detailsChanged();
  void sendHeartbeats();
  void receiveHeartbeat(const common::NodeId& sender, const Heartbeat& heartbeat);
  void receiveDetails(const common::NodeId& sender, const NodeDetails& details);
  void receivePeerList(const common::NodeId& sender, const PeerList& list);
  void sendPeerList(Peer& peer);
  void introduceTo(const common::Address& address);
  std::vector<common::NodeId> peerNodes() const;
  std::size_t rank() const;
  /// \return the hash of heartbeats over this node and its peers; each heartbeat that comes in is
  ///   compared with it.
  std::uint32_t membersHash();
  void notify();

  MembershipSettings settings_;
  api::ProcessContext context_;
  PeerTable peers_;
  MachineRegister machines_;
  NodeDetails own_details_;
  /// The hash over the members, and PeerTable::changes() at which it was worked out.
  std::uint32_t members_hash_ = 0;
  std::optional<std::uint64_t> members_hashed_at_;
  common::MonotonicTime last_tick_;
  /// The IP number that was probed last.
  std::string probe_position_;
  std::vector<std::function<void()>> listeners_;
  common::Counter& foreign_count_;
  common::Counter& outdated_count_;
  common::Counter& pause_count_;
  common::Counter& death_count_;
  common::Counter& hash_count_;
};

}  // namespace cypresswall::membership
