/// Which nodes collect the counts of all and hold the fleet's duties.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// \return the nodes that collect the counts of all, the one that reports first: those with the
///   widest links that run, the same on every node without a word exchanged.
std::vector<common::NodeId> collectorsOf(const membership::MembershipView& membership,
                                         std::size_t count);

/// Ranks the nodes anew only after a change of members, since it is asked many times a second.
class Collectors {
 public:
  /// \pre `membership` outlives this object
  Collectors(membership::MembershipView& membership, std::size_t count)
      : membership_(membership), count_(count) {
    membership.onChange([this] { outdated_ = true; });
  }
  Collectors(const Collectors&) = delete;
  Collectors& operator=(const Collectors&) = delete;

  /// \return the collectors, the first one first; valid until the next change of members
  const std::vector<common::NodeId>& all() const {
    if (outdated_) {
      collectors_ = collectorsOf(membership_, count_);
      outdated_ = false;
    }
    return collectors_;
  }
  /// \return the node that holds the duties while it runs; empty if there is none
  common::NodeId first() const { return all().empty() ? common::NodeId{} : all().front(); }

 private:
  const membership::MembershipView& membership_;
  const std::size_t count_;
  mutable std::vector<common::NodeId> collectors_;
  mutable bool outdated_ = true;
};

}  // namespace cypresswall::duties
