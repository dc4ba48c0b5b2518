/// Counts of the faults that really happened in a run. Properties assert on them, so that a run
/// in which nothing went wrong can't pass for a proof.
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
  kStoreAnswerLost,  ///< store writes that took effect though the caller saw no answer
  kStoreWatchGap,
  kStoreRestored,  ///< store set back to an older revision
  kMachineLeaving,
  kEngineCrash,
  kEngineCrashInChange,
  kEngineAnswerLost,  ///< orders that took effect though the caller saw no answer
  kEngineAnswerLate,
  kStreamBroken,
  kServiceBrokenBefore,  ///< service calls broken before the service ran them
  kServiceBrokenAfter,   ///< service calls broken after the service ran them
  kServiceAnswerLate,    ///< service calls that arrived after the caller gave up, or nearly
  kServiceRefused,
  kLeaseExpired,  ///< leases that lapsed under a holder that had not given them up
  kOperatorRace,  ///< operators' changes of which at most one could win
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
  /// \return "kill=3 pause=1 ...", only what is not zero.
  std::string summary() const;

 private:
  static constexpr std::size_t kKinds = static_cast<std::size_t>(FaultKind::kCount);
  static std::size_t index(FaultKind kind) { return static_cast<std::size_t>(kind); }

  std::array<std::uint64_t, kKinds> values_{};
};

}  // namespace cypresswall::simulation
