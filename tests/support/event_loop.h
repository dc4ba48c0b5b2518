/// Runs an Asio event loop in a test until a condition holds. The time limit only bounds runs that
/// fail.
#pragma once

#include <asio/io_context.hpp>
#include <chrono>

namespace cypresswall::testing {

inline constexpr auto kEventTimeLimit = std::chrono::seconds(20);

/// Runs handlers of `context` until `condition()` holds.
/// \return false if it does not hold within the time limit
template <typename Condition>
bool runUntil(asio::io_context& context, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kEventTimeLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return true;
}

}  // namespace cypresswall::testing
