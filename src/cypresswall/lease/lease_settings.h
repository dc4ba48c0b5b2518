/// Settings of the zone's lease.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::lease {

struct LeaseSettings {
  /// How long a voter's grant to the holder is valid, by the voter's clock.
  common::Duration duration = std::chrono::seconds(1);
  /// The holder treats its lease as expired this long before the grants expire. Covers clock rates
  /// that differ by up to drift_margin / (2 * duration - drift_margin), which is 2.5% with the
  /// defaults.
  common::Duration drift_margin = std::chrono::milliseconds(50);
  /// How long a grant to a candidate is valid. If the candidate is elected, its first renewal
  /// extends the grant.
  common::Duration campaign_duration = std::chrono::milliseconds(400);
  /// A candidate that has not got grants from a quorum within this time releases the grants that it
  /// got.
  common::Duration campaign_timeout = std::chrono::milliseconds(150);
  /// Lower bound of the random delay before a node campaigns for the lease.
  common::Duration minimum_backoff = std::chrono::milliseconds(20);
  /// Upper bound of the random delay before a node campaigns for the lease.
  common::Duration maximum_backoff = std::chrono::milliseconds(250);
  common::Duration renew_interval = std::chrono::milliseconds(333);
  common::Duration tick_interval = std::chrono::milliseconds(50);

  /// Maximum number of voters of a zone.
  std::size_t maximum_voters = 5;
  /// A change of the voter set that is not committed within this time is reverted.
  common::Duration change_timeout = std::chrono::seconds(1);
  /// Minimum time between two changes of the voter set.
  common::Duration change_interval = std::chrono::milliseconds(200);

  /// Records are sent again to a voter that has not acknowledged them within this time.
  common::Duration resend_interval = std::chrono::milliseconds(100);
  /// Maximum total size of the records in one message, in bytes.
  std::size_t maximum_batch_bytes = 256U << 10;

  /// A node that knows no voter set creates the first one only this long after its start, so that
  /// peers that know a set can send it.
  common::Duration settle_time = std::chrono::milliseconds(1500);
  /// Interval between reads of the authority record by the first member of the zone while the zone
  /// has no lease holder. The other members read less often: the n-th member, in node order, at n
  /// times this interval.
  common::Duration store_interval = std::chrono::milliseconds(500);
  /// Time without a holder after which a new generation may be started.
  common::Duration takeover_after = std::chrono::seconds(3);
};

}  // namespace cypresswall::lease
