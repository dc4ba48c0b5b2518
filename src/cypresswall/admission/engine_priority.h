/// Mapping of urgencies to engine priorities (0 to 9, higher is served first).
#pragma once

#include <cstdint>

#include "cypresswall/configuration/fleet.h"

namespace cypresswall::admission {

/// Each urgency maps to two priorities: the lower one for new requests, the higher one for requests
/// that resume an interrupted answer.
constexpr std::uint8_t kPrioritiesPerUrgency = 2;
constexpr std::uint8_t kLowestPriority = 1;

constexpr std::uint8_t enginePriority(configuration::Urgency urgency, bool resuming) {
  const auto rank = static_cast<std::uint8_t>(urgency);
  return static_cast<std::uint8_t>(kLowestPriority + kPrioritiesPerUrgency * rank +
                                   (resuming ? 1 : 0));
}

/// \param priority a value returned by enginePriority()
constexpr configuration::Urgency urgencyOfPriority(std::uint8_t priority) {
  return static_cast<configuration::Urgency>((priority - kLowestPriority) / kPrioritiesPerUrgency);
}

}  // namespace cypresswall::admission
