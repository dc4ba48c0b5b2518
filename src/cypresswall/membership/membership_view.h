/// Read access to the nodes of this node's own zone and to machines that are leaving.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::membership {

enum class MemberState : std::uint8_t { kAlive, kSuspect, kLeaving, kDead };

struct Member {
  common::NodeId node;
  common::MachineName machine;
  MemberState state = MemberState::kAlive;
  /// "IP:port" of the member's HTTP front; empty if not yet known.
  common::Address gateway_address;
};

class MembershipView {
 public:
  virtual ~MembershipView() = default;
  virtual const common::NodeId& self() const = 0;
  virtual const common::ZoneName& zone() const = 0;
  /// \return members of the own zone that are not dead, this node included, ordered by node.
  virtual std::vector<Member> members() const = 0;
  /// \return true if the platform's machine list shows the machine as leaving or gone.
  virtual bool machineLeaving(const common::MachineName& machine) const = 0;
  /// \return true if the IP number belongs to a machine that is leaving or gone.
  virtual bool addressLeaving(const common::Address& address) const = 0;
  /// Calls `listener` after each change; listeners live as long as the view.
  virtual void onChange(std::function<void()> listener) = 0;
};

}  // namespace cypresswall::membership
