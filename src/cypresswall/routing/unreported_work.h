/// Work that this node sent to engines and that their load reports can't show yet. Keeps the
/// unreported part of the estimates.
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

/// What one attempt adds to one engine.
struct WorkShare {
  EngineSlot engine = kNoEngineSlot;
  double prefill_tokens = 0;
  double decode_tokens = 0;
};

class UnreportedWork {
 public:
  UnreportedWork(common::Duration report_slack, EstimateTable& estimates)
      : report_slack_(report_slack), estimates_(estimates) {}

  /// Notes an attempt that takes one place on each engine of `shares`.
  void started(const std::string& stream_id, const std::vector<WorkShare>& shares,
               common::MonotonicTime now);
  /// Notes that the prompt was computed.
  void firstToken(const std::string& stream_id);
  void ended(const std::string& stream_id);
  /// Drops from the unreported part what a report of `observed_at` shows.
  void reported(EngineSlot engine, common::MonotonicTime observed_at);
  /// Drops everything unreported of an engine that restarted.
  void forgetEngine(EngineSlot engine);
  /// \return attempts that are under way.
  std::size_t attempts() const { return attempts_.size(); }

 private:
  /// One share in the order of start.
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
