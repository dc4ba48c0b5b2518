/// Limits and intervals of admission control.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

struct AdmissionSettings {
  /// Capacity of a tenant's token bucket, expressed as the time in which the tenant's rate fills
  /// the empty bucket.
  common::Duration burst = std::chrono::seconds(2);
  /// Bounds of the Retry-After returned with a refusal.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(30);
  /// Retry-After while this node drains; other nodes accept the request immediately.
  common::Duration draining_retry_after = std::chrono::seconds(1);
  /// Maximum concurrent requests on this node, which bounds its memory use.
  std::uint32_t maximum_in_flight = 5000;
  /// Minimum interval between two requests to peers for unused allowance of the same tenant.
  common::Duration exchange_period = std::chrono::milliseconds(250);
  /// Fraction of its bucket's level that a node donates when a peer requests allowance.
  double donated_share = 0.5;
};

/// How fast load shedding follows refusals by the router. The shedding level is the number of
/// urgency classes that are shed (see SheddingLevel).
struct SheddingSettings {
  /// Period over which refusals are counted before the level is adjusted.
  common::Duration window = std::chrono::milliseconds(250);
  /// The shedding level rises after a window in which more than this fraction of the counted
  /// requests was refused.
  double refused_share = 0.02;
  /// Increase of the shedding level after such a window, in urgency classes.
  double step_up = 0.2;
  /// Decrease of the shedding level after any other window, in urgency classes.
  double step_down = 0.05;
};

}  // namespace cypresswall::admission
