/// Limits and intervals of admission control.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

struct AdmissionSettings {
  /// Bucket capacity of a tenant, as time at its full rate.
  common::Duration burst = std::chrono::seconds(2);
  /// Bounds of the Retry-After returned with a refusal.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(30);
  /// Retry-After while this node drains; other nodes accept the request immediately.
  common::Duration draining_retry_after = std::chrono::seconds(1);
  /// Maximum concurrent requests on this node, which bounds its memory use.
  std::uint32_t maximum_in_flight = 5000;
  /// Minimum interval between allowance requests to peers for the same tenant.
  common::Duration exchange_period = std::chrono::milliseconds(250);
  /// Fraction of its bucket level that a peer donates.
  double donated_share = 0.5;
};

/// Rate at which load shedding reacts to refusals by the router.
struct SheddingSettings {
  common::Duration window = std::chrono::milliseconds(250);
  /// Fraction of refused requests in a window above which the shedding level rises.
  double refused_share = 0.02;
  /// Change of the shedding level, in urgency classes, after an overloaded window and after any
  /// other window.
  double step_up = 0.2;
  double step_down = 0.05;
};

}  // namespace cypresswall::admission
