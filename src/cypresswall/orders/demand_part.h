/// The demand that the planner has observed, as a part of the zone's checkpoint.
#pragma once

#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/checkpoint/checkpoint_part.h"
#include "cypresswall/orders/zone_controller.h"

namespace cypresswall::orders {

/// Lets the node that plans after a restart of all nodes know the rates of each model at once,
/// rather than judge by the first callers that return.
class DemandPart final : public checkpoint::CheckpointPart {
 public:
  /// \pre `controller` and what `context` refers to outlive this object
  DemandPart(const api::ProcessContext& context, ZoneController& controller)
      : context_(context), controller_(controller) {}

  std::string name() const override { return "demand"; }
  std::string encode() const override { return controller_.encodedDemand(); }
  /// The age only matters for the checkpoint's limit: the rates count as those at the start.
  void restore(const std::string& bytes, common::Duration age) override {
    const bool used = controller_.restoreDemand(bytes);
    common::LogEvent(context_.log, common::LogLevel::kInfo, "demand_restored")
        .field("used", used)
        .field("bytes", bytes.size())
        .field("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
  }

 private:
  const api::ProcessContext& context_;
  ZoneController& controller_;
};

}  // namespace cypresswall::orders
