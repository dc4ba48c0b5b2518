/// Choice of the nodes that collect the usage counts of the fleet and perform its duties.
#pragma once

#include <cstddef>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::duties {

/// \return the live nodes with the fastest links, in order; the first one reports. Computed from
///   the member list alone, so that all nodes agree without exchanging messages.
std::vector<common::NodeId> collectorsOf(const membership::MembershipView& membership,
                                         std::size_t count);

/// Caches the ranking until the next membership change, since it is queried many times a second.
class Collectors {
 public:
  /// \pre `membership` outlives this object
  Collectors(membership::MembershipView& membership, std::size_t count)
      : membership_(membership), count_(count) {
    membership.onChange([this] { outdated_ = true; });
  }
  Collectors(const Collectors&) = delete;
  Collectors& operator=(const Collectors&) = delete;

  /// \return the collectors by rank; valid until the next membership change
  const std::vector<common::NodeId>& all() const {
    if (outdated_) {
      collectors_ = collectorsOf(membership_, count_);
      outdated_ = false;
    }
    return collectors_;
  }
  /// \return the node that performs the duties while it is alive; empty if there is none
  common::NodeId first() const { return all().empty() ? common::NodeId{} : all().front(); }

 private:
  const membership::MembershipView& membership_;
  const std::size_t count_;
  mutable std::vector<common::NodeId> collectors_;
  mutable bool outdated_ = true;
};

}  // namespace cypresswall::duties
