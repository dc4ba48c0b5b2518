/// Faults of one soak round and their timing. The same seed gives the same plan.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cypresswall::testing {

enum class FaultKind : std::uint8_t {
  kNodeKilled,
  kNodePaused,
  kNodeStopped,
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreReset,
  kStoreAnswersCut,
  kStoreAnswerLost,
  kEngineCrashed,
  kEngineSilent,
  kEngineSlow,
  kEngineReset,
  kEngineAnswersCut,
  kEngineStreamBroken,
  kEngineLeaving,    ///< the engine says that it leaves, serves on, and restarts
  kEnginePaused,     ///< the engine refuses requests and asks for a pause
  kEngineSlowsDown,  ///< the engine's output is slow, also that of running streams
  kAllNodesKilled,
  kServiceReplaced,  ///< another service answers at the address of the back end
  kPartCrashes,      ///< all engines crash on one part of prompts, first or later in the prompt
  // Damaged responses of the store, of an engine or of a back end.
  kResponsesStop,           ///< stop anywhere, and the connection is closed in order
  kResponsesReset,          ///< stop anywhere by a reset
  kResponsesTwoLengths,     ///< declare two lengths that differ, or a length beside chunks
  kResponsesWithoutLength,  ///< end with the connection, closed in order behind the whole body
  kResponsesTwice,          ///< come again, late: whole, or half
  kResponsesEndless,        ///< go on in the head or the body until the caller closes
  // These never overlap another fault.
  kPowerLost,      ///< all nodes end as the store goes down, which comes back after them
  kNodesReplaced,  ///< nodes are stopped one after the other, overlapping, beside signals and
                   ///< changes
};
inline constexpr std::size_t kFaultKinds = 29;
/// Number of kinds, from the first, in which all responses are well formed. Plans that draw from
/// more have a damaged response in half of their faults.
inline constexpr std::size_t kKindsWithSoundResponses = 21;
/// Number of kinds, from the first, up to the last one that damages responses.
inline constexpr std::size_t kKindsWithDamagedResponses = 27;
/// Number of kinds, from the first, that plans without announcements of engines draw from.
inline constexpr std::size_t kKindsWithoutAnnouncements = 15;
inline constexpr std::array<const char*, kFaultKinds> kFaultNames = {"node-killed",
                                                                     "node-paused",
                                                                     "node-stopped",
                                                                     "store-down",
                                                                     "store-silent",
                                                                     "store-slow",
                                                                     "store-reset",
                                                                     "store-answers-cut",
                                                                     "store-answer-lost",
                                                                     "engine-crashed",
                                                                     "engine-silent",
                                                                     "engine-slow",
                                                                     "engine-reset",
                                                                     "engine-answers-cut",
                                                                     "engine-stream-broken",
                                                                     "engine-leaving",
                                                                     "engine-paused",
                                                                     "engine-slows-down",
                                                                     "all-nodes-killed",
                                                                     "service-replaced",
                                                                     "part-crashes",
                                                                     "responses-stop",
                                                                     "responses-reset",
                                                                     "responses-two-lengths",
                                                                     "responses-without-length",
                                                                     "responses-twice",
                                                                     "responses-endless",
                                                                     "power-lost",
                                                                     "nodes-replaced"};

inline const char* nameOf(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

struct PlannedFault {
  FaultKind kind = FaultKind::kNodeKilled;
  /// Index of the node or engine; not used for store faults. For damaged responses 0 is the store;
  /// the engines follow, then the back ends.
  std::size_t target = 0;
  std::chrono::milliseconds duration{0};
  /// Time under load without faults after this one.
  std::chrono::milliseconds pause_after{0};
  /// The next fault begins before this one ends.
  bool overlaps_next = false;
  /// Seed of the choice of damaged responses.
  std::uint64_t damage_seed = 0;
};

inline bool damagesResponses(FaultKind kind) {
  return kind >= FaultKind::kResponsesStop && kind <= FaultKind::kResponsesEndless;
}

/// \param kinds number of kinds, from the first, to draw from
/// \param back_ends used by plans that damage responses
/// \return the faults of one round, in order
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::size_t count, std::size_t nodes,
                                     std::size_t engines,
                                     std::size_t kinds = kKindsWithoutAnnouncements,
                                     std::size_t back_ends = 2);

/// \return the plan on one line
std::string describe(const std::vector<PlannedFault>& plan);

}  // namespace cypresswall::testing
