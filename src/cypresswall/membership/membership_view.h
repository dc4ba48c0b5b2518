/// Read access to the members of this node's zone and to the machines that are leaving.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::membership {

/// Topics of digests: small values that subsystems attach to their node. The node sends changes of
/// its digests to its neighbours.
enum class DigestTopic : std::uint16_t {
  kConfigurationVersion = 1,
  /// Epoch of the lease that the node holds: generation in the high half, term in the low half;
  /// zero if it holds none.
  kHeldEpoch = 2,
  /// Bandwidth of the node's link in Mbit/s, rounded down; absent if not configured.
  kLinkMegabits = 3,
  /// The api::MessageSet that the node's build supports; absent if it is the first set.
  kMessageSet = 4,
  /// Number of engines that the zone's load needs, according to the node that plans roles; absent
  /// or zero if the load asks for no particular number.
  kNeededEngines = 5,
  /// One while the node reaches no server; absent or zero otherwise.
  kServersUnreached = 6,
};

enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

struct Member {
  common::NodeId node;
  common::MachineName machine;
  MemberState state = MemberState::kAlive;
  /// "IP:port" of the member's HTTP endpoint; empty if not yet known.
  common::Address gateway_address;

  bool operator==(const Member&) const = default;
};

class MembershipView {
 public:
  virtual ~MembershipView() = default;
  virtual const common::NodeId& self() const = 0;
  virtual const common::ZoneName& zone() const = 0;
  /// \return the members of this node's zone that are not dead, including this node, ordered by
  ///   node. The reference is valid until the next change.
  virtual const std::vector<Member>& members() const = 0;
  /// \return true if the platform's machine list shows the machine as leaving or gone
  virtual bool machineLeaving(const common::MachineName& machine) const = 0;
  /// \return true if the IP address belongs to a machine that is leaving or gone
  virtual bool addressLeaving(const common::Address& address) const = 0;
  /// \return true if the process has certainly ended: a newer incarnation was seen at its address
  ///   or the machine list shows its machine as gone. Missing heartbeats alone are not enough.
  virtual bool confirmedDead(const common::NodeId& node) const = 0;
  /// \return the nodes that were members until they fell silent and that have not been shown to
  ///   have ended: they may run, cut off from this node, or this node may be cut off
  virtual std::vector<common::NodeId> silentNodes() const { return {}; }
  /// Attaches a value to this node for its peers to read.
  virtual void setDigest(DigestTopic topic, std::uint64_t value) = 0;
  /// \return the newest known value of a member's digest, nothing if there is none
  virtual std::optional<std::uint64_t> digest(const common::NodeId& node,
                                              DigestTopic topic) const = 0;
  /// \return true if the member's build supports these messages
  bool handles(const common::NodeId& node, api::MessageSet messages) const {
    constexpr auto kFirstSet = static_cast<std::uint64_t>(api::MessageSet::kFirst);
    return digest(node, DigestTopic::kMessageSet).value_or(kFirstSet) >=
           static_cast<std::uint64_t>(messages);
  }
  /// \return true for a limited time after the start, while this node has configured seeds but has
  ///   not received the member list from any peer
  virtual bool joining() const { return false; }
  /// Calls `listener` after each change of the members, their digests or the machines. Listeners
  /// cannot be removed.
  virtual void onChange(std::function<void()> listener) = 0;
};

}  // namespace cypresswall::membership
