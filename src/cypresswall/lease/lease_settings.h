/// Settings of the zone's lease.
#pragma once

#include <cstddef>

#include "cypresswall/common/time.h"

namespace cypresswall::lease {

struct LeaseSettings {
  /// How long a voter's grant lasts by the voter's own clock.
  common::Duration duration = std::chrono::seconds(1);
  /// A holder stops this much before the grants end. Covers clocks that differ in speed by up to
  /// margin / (2 * duration - margin), here 2.5%.
  common::Duration drift_margin = std::chrono::milliseconds(50);
  /// Grants to a candidate last only this long; the first renewal extends them.
  common::Duration campaign_duration = std::chrono::milliseconds(400);
  /// A candidate without a quorum after this time gives its grants back.
  common::Duration campaign_timeout = std::chrono::milliseconds(150);
  /// Random wait before a campaign.
  common::Duration minimum_backoff = std::chrono::milliseconds(20);
  common::Duration maximum_backoff = std::chrono::milliseconds(250);
  common::Duration renew_interval = std::chrono::milliseconds(333);
  common::Duration tick_interval = std::chrono::milliseconds(50);

  /// Most voters of a zone.
  std::size_t maximum_voters = 5;
  /// A change of the voter set that is not committed within this time is taken back.
  common::Duration change_timeout = std::chrono::seconds(1);
  /// Pause between two changes of the voter set.
  common::Duration change_interval = std::chrono::milliseconds(200);

  /// Records sent again to a voter that has not acknowledged them.
  common::Duration resend_interval = std::chrono::milliseconds(100);
  /// Most bytes of records in one message.
  std::size_t maximum_batch_bytes = 256U << 10;

  /// A node that knows no voter set waits this long for its peers before it creates the first.
  common::Duration settle_time = std::chrono::milliseconds(1500);
  /// Pause between two looks at the store while the zone has no lease holder.
  common::Duration store_interval = std::chrono::milliseconds(500);
  /// A new generation is considered only after this long without a holder.
  common::Duration takeover_after = std::chrono::seconds(3);
};

}  // namespace cypresswall::lease
