/// The members of a zone that fell silent. Remembers those that the membership has forgotten, while
/// this node may be the one that is cut off.
#pragma once

#include <set>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::answer_builds {

class SilentNodes {
 public:
  /// \pre `membership` outlives this object
  explicit SilentNodes(const membership::MembershipView& membership) : membership_(membership) {}

  /// To be called more often than the membership forgets silent nodes.
  void update();
  /// \return the nodes at the last update that may still run. Those that the membership has
  ///   forgotten are among them if the silent nodes are at least as many as the members.
  const std::set<common::NodeId>& nodes() const { return nodes_; }

 private:
  const membership::MembershipView& membership_;
  std::set<common::NodeId> nodes_;
};

}  // namespace cypresswall::answer_builds
