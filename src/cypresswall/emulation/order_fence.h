/// Decides which orders an emulated engine accepts, so that orders from a former holder of the
/// zone's lease are rejected.
#pragma once

#include <cstdint>
#include <optional>

#include "cypresswall/engines/engine_types.h"

namespace cypresswall::emulation {

/// State of the engine on which the verdict on an order depends.
struct FenceContext {
  std::uint64_t incarnation = 0;
  bool change_in_progress = false;
  /// True if no stream is running or waiting.
  bool idle = true;
};

/// Keeps the highest epoch and the last accepted order, and returns a verdict on each order as
/// specified in docs/protocols.md. An order to raise the fence (the highest epoch) is accepted even
/// if the engine is busy.
class OrderFence {
 public:
  /// Returns the verdict on `order`. An accepted order is recorded as the last accepted one.
  engines::OrderVerdict evaluate(const engines::EngineOrder& order, const FenceContext& situation);

  const common::Epoch& highestEpoch() const { return highest_epoch_; }
  std::uint64_t lastSequence() const { return last_sequence_; }

 private:
  std::optional<engines::OrderVerdict> refusal(const engines::EngineOrder& order,
                                               const FenceContext& situation) const;

  common::Epoch highest_epoch_;
  std::uint64_t last_sequence_ = 0;
  engines::OrderContent last_content_;
};

}  // namespace cypresswall::emulation
