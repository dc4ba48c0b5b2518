/// Limits and periods of admission.
#pragma once

#include <cstdint>

#include "cypresswall/common/time.h"

namespace cypresswall::admission {

struct AdmissionSettings {
  /// How much unused allowance a tenant may save up, as a time at its full rate.
  common::Duration burst = std::chrono::seconds(2);
  /// Bounds of the Retry-After of a refusal.
  common::Duration minimum_retry_after = std::chrono::seconds(1);
  common::Duration maximum_retry_after = std::chrono::seconds(30);
  /// Retry-After while this node drains: another node takes the request at once.
  common::Duration draining_retry_after = std::chrono::seconds(1);
  /// Requests that this node serves at a time, which bounds its memory.
  std::uint32_t maximum_in_flight = 5000;
  /// A tenant short of allowance asks one peer for some of its own this often at most.
  common::Duration exchange_period = std::chrono::milliseconds(250);
  /// Part of its saved allowance that a peer gives away.
  double exchange_share = 0.5;
};

/// How fast shedding reacts to the router's refusals.
struct SheddingSettings {
  common::Duration window = std::chrono::milliseconds(250);
  /// Share of refused requests in a window above which more is shed.
  double refused_share = 0.02;
  /// Classes shed more after a window with refusals, and less after one without.
  double step_up = 0.2;
  double step_down = 0.05;
};

}  // namespace cypresswall::admission
