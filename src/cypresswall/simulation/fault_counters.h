/// Counts of the faults that actually occurred in a run. Property tests check these counts, so that
/// no test passes only because the faults it is about did not occur.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace cypresswall::simulation {

enum class FaultKind : std::uint8_t {
  kKill,
  kPause,
  kCut,            ///< links between zones cut
  kOneWayCut,      ///< links cut in one direction only
  kCutInsideZone,  ///< links between nodes of one zone cut
  kMessageCut,     ///< messages dropped by a cut
  kMessageLost,
  kMessageDuplicated,
  kMessageReordered,  ///< messages delayed long enough to be overtaken
  kStoreOutage,       ///< store calls refused during an outage
  kStoreSlow,
  kStoreAnswerLost,  ///< store writes that took effect but whose response was lost
  kStoreWatchGap,
  kStoreRestored,  ///< store restored to an older revision
  kMachineLeaving,
  kEngineCrash,
  kEngineCrashInChange,
  kEngineAnswerLost,  ///< orders that took effect but whose response was lost
  kEngineAnswerLate,
  kStreamBroken,
  kServiceBrokenBefore,  ///< service calls broken before execution
  kServiceBrokenAfter,   ///< service calls broken after execution
  kServiceAnswerLate,    ///< service calls that arrived at the back end late: shortly before or
                         ///< after the time-out of the node that made them
  kServiceRefused,
  kLeaseExpired,  ///< leases that expired although the holder had not released them
  kOperatorRace,  ///< concurrent changes by operators of which at most one could succeed
  kPlannedStop,
  kCount,
};

/// \return the kind's name in lower case, such as "message_lost".
const char* toString(FaultKind kind);

class FaultCounters {
 public:
  void add(FaultKind kind, std::uint64_t amount = 1) { values_[index(kind)] += amount; }
  std::uint64_t count(FaultKind kind) const { return values_[index(kind)]; }
  /// Adds all counts of another run.
  void merge(const FaultCounters& other);
  /// \return the non-zero counts, for example "kill=3 pause=1".
  std::string summary() const;

 private:
  static constexpr std::size_t kKinds = static_cast<std::size_t>(FaultKind::kCount);
  static std::size_t index(FaultKind kind) { return static_cast<std::size_t>(kind); }

  std::array<std::uint64_t, kKinds> values_{};
};

}  // namespace cypresswall::simulation
