/// Tracks work that this node sent to engines and that their load reports can't show yet, and
/// maintains the unreported part of the estimates.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/common/time.h"
#include "cypresswall/routing/cost_model.h"
#include "cypresswall/routing/prefix_index.h"

namespace cypresswall::routing {

/// The work that one attempt adds to one engine.
struct WorkShare {
  EngineSlot engine = kNoEngineSlot;
  double prefill_tokens = 0;
  double decode_tokens = 0;
};

class UnreportedWork {
 public:
  UnreportedWork(common::Duration report_slack, EstimateTable& estimates)
      : report_slack_(report_slack), estimates_(estimates) {}

  /// Records an attempt that uses one stream slot on each engine of `shares`.
  void started(const std::string& stream_id, const std::vector<WorkShare>& shares,
               common::MonotonicTime now);
  /// Records that the prompt of the attempt was computed, so that its prompt tokens no longer
  /// count.
  void firstToken(const std::string& stream_id);
  /// Removes the unreported work of an attempt that ended.
  void ended(const std::string& stream_id);
  /// Removes the work that is included in a load report that describes the engine at `observed_at`.
  void reported(EngineSlot engine, common::MonotonicTime observed_at);
  /// Removes all unreported work of an engine that restarted.
  void forgetEngine(EngineSlot engine);
  /// \return number of attempts in progress.
  std::size_t attempts() const { return attempts_.size(); }

 private:
  /// An entry in the queue of one engine's unreported work, which is ordered by the start of the
  /// attempts.
  struct Unreported {
    std::uint64_t id = 0;
    common::MonotonicTime started_at{};
    WorkShare share;
  };

  void removeUnreported(EngineSlot engine, std::uint64_t id);
  void subtract(const WorkShare& share);
  std::deque<Unreported>& queueOf(EngineSlot engine);

  struct Attempt {
    std::uint64_t id = 0;
    std::vector<EngineSlot> engines;
  };

  common::Duration report_slack_;
  EstimateTable& estimates_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::string, Attempt> attempts_;
  std::vector<std::deque<Unreported>> queues_;
};

}  // namespace cypresswall::routing
