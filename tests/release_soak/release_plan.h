/// What happens in one release round. The same seed gives the same plan.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cypresswall::testing {

enum class OutOfStep : std::uint8_t {
  kFrozen,       ///< the node stands still (SIGSTOP)
  kStoreCut,     ///< the node is cut off from the store, not from its peers
  kFrozenTwice,  ///< the node stands still, goes on for a moment and stands still again
  /// The node stands still; then it hears neither the others, which stand still, nor the store.
  kAlone,
};

struct ReleasePlan {
  std::size_t node = 0;
  OutOfStep kind = OutOfStep::kFrozen;
  /// From the moment at which the node is out of step until the second build joins.
  std::chrono::milliseconds until_joined{0};
  std::size_t joining = 2;
  /// From then until the node is in step again.
  std::chrono::milliseconds until_in_step{0};
  /// Time for which the node is alone, with kAlone.
  std::chrono::milliseconds alone{0};
  /// Whether the first build's engines leave while the node is out of step.
  bool first_build_leaves = false;
  /// Seed of the callers' choices.
  std::uint64_t callers_seed = 1;
  /// From the start of the daemons after a loss of power until the store is back.
  std::chrono::milliseconds store_back_after{0};
};

ReleasePlan planRelease(std::uint64_t seed, std::size_t nodes);

/// \return the plan on one line
std::string describe(const ReleasePlan& plan);

}  // namespace cypresswall::testing
