/// Settings of the zone's lease.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::lease {

struct LeaseSettings {
  /// Validity of a voter's grant by the voter's own clock.
  common::Duration duration = std::chrono::seconds(1);
  /// The holder treats its lease as expired this long before the grants expire. Covers clock rates
  /// that differ by up to margin / (2 * duration - margin), here 2.5%.
  common::Duration drift_margin = std::chrono::milliseconds(50);
  /// Validity of a grant to a candidate; the first renewal extends it.
  common::Duration campaign_duration = std::chrono::milliseconds(400);
  /// A candidate without a quorum after this time releases its grants.
  common::Duration campaign_timeout = std::chrono::milliseconds(150);
  /// Bounds of the random back-off before a campaign.
  common::Duration minimum_backoff = std::chrono::milliseconds(20);
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
  /// Maximum size of the records in one message.
  std::size_t maximum_batch_bytes = 256U << 10;

  /// A node that knows no voter set waits this long for one from its peers before it creates the
  /// first.
  common::Duration settle_time = std::chrono::milliseconds(1500);
  /// Interval between reads of the authority record while the zone has no lease holder.
  common::Duration store_interval = std::chrono::milliseconds(500);
  /// Time without a holder after which a new generation may be started.
  common::Duration takeover_after = std::chrono::seconds(3);
};

}  // namespace cypresswall::lease
