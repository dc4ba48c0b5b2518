/// Choice of the collectors: the nodes that collect the usage counts of the fleet. The first
/// collector also performs the fleet's duties, i.e. it reports usage and orders engines.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// \return up to `count` live nodes that can collect usage counts, those with the fastest links
///   first. Computed from the member list alone, so that all nodes choose the same collectors
///   without exchanging messages.
std::vector<common::NodeId> collectorsOf(const membership::MembershipView& membership,
                                         std::size_t count);

/// Caches the result of collectorsOf() until the next membership change, since the collectors are
/// queried many times a second.
class Collectors {
 public:
  /// \pre `membership` outlives this object
  Collectors(membership::MembershipView& membership, std::size_t count)
      : membership_(membership), count_(count) {
    membership.onChange([this] { outdated_ = true; });
  }
  Collectors(const Collectors&) = delete;
  Collectors& operator=(const Collectors&) = delete;

  /// \return the collectors in order of rank, the first collector first; the reference stays valid,
  ///   but its content is replaced after a membership change
  const std::vector<common::NodeId>& all() const {
    if (outdated_) {
      collectors_ = collectorsOf(membership_, count_);
      outdated_ = false;
    }
    return collectors_;
  }
  /// \return the node that performs the fleet's duties; empty if there are no collectors
  common::NodeId first() const { return all().empty() ? common::NodeId{} : all().front(); }

 private:
  const membership::MembershipView& membership_;
  const std::size_t count_;
  mutable std::vector<common::NodeId> collectors_;
  mutable bool outdated_ = true;
};

}  // namespace cypresswall::duties
