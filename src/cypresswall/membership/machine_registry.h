/// The zone's replicated copy of the platform's machine list. Normally one node of the zone polls
/// the list and sends changes to its peers; the other nodes poll only if they have not heard of a
/// recent read. If every node has the list locally (MachineList::isLocal()), each node reads it for
/// itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/membership/messages.h"
#include "cypresswall/object_store/machine_list.h"

namespace cypresswall::membership {

class MachineRegistry {
 public:
  /// Access to the other nodes of the zone.
  struct ZonePeers {
    std::function<std::vector<common::NodeId>()> peers;
    /// Position of this node among the zone's alive nodes in node order, from 0.
    std::function<std::size_t()> rank;
  };

  MachineRegistry(const MembershipSettings& settings, const api::ProcessContext& context,
                  object_store::MachineList& list, ZonePeers zone_peers);

  void start();
  bool machineLeaving(const common::MachineName& machine) const;
  /// \param address an IP address, or "IP:port"
  bool addressLeaving(const common::Address& address) const;
  /// \return true if the list shows every machine with this IP address as gone
  bool isAddressGone(const common::Address& address) const;
  /// \return the IP addresses of live machines, sorted
  const std::set<std::string>& liveAddresses() const { return live_addresses_; }
  /// \return the version of the list, to be announced to peers; zero if each node reads the list
  ///   for itself
  std::uint64_t version() const;
  std::uint32_t reads() const { return reads_; }
  void onChange(std::function<void()> listener) { listener_ = std::move(listener); }
  /// Processes the machine list fields of a peer's heartbeat: the peer's version of the list and
  /// the number of times that the peer has read it.
  void heartbeatReceived(const common::NodeId& sender, std::uint64_t version, std::uint32_t reads);

 private:
  void poll();
  void readFinished(const std::vector<object_store::Machine>& machines);
  std::vector<MachineEntry> changesFrom(const std::vector<object_store::Machine>& machines) const;
  void apply(std::uint64_t version, const std::vector<MachineEntry>& machines);
  void receive(const common::NodeId& sender, const MachinesUpdate& update);
  void answer(const common::NodeId& sender, const MachinesRequest& request);
  void rebuildIndex();

  MembershipSettings settings_;
  api::ProcessContext context_;
  object_store::MachineList& list_;
  ZonePeers zone_peers_;
  std::function<void()> listener_;
  std::map<common::MachineName, MachineEntry> machines_;
  std::set<std::string> live_addresses_;
  std::set<std::string> leaving_addresses_;
  std::set<std::string> gone_addresses_;
  std::map<common::NodeId, std::uint32_t> peer_reads_;
  std::uint64_t version_ = 0;
  std::uint32_t reads_ = 0;
  bool reading_ = false;
  /// MachineList::revision() of the last read.
  std::optional<std::uint64_t> read_revision_;
  common::MonotonicTime last_fresh_read_;
  common::MonotonicTime last_poll_;
  common::MonotonicTime last_request_;
  common::Counter& read_count_;
  common::Counter& failure_count_;
};

}  // namespace cypresswall::membership
