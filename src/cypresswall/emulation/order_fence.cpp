#include "cypresswall/emulation/order_fence.h"

namespace cypresswall::emulation {

using engines::OrderVerdict;

OrderVerdict OrderFence::evaluate(const engines::EngineOrder& order,
                                  const FenceContext& situation) {
  const auto refused = refusal(order, situation);
  if (refused) {
    return *refused;
  }
  highest_epoch_ = order.epoch;
  last_sequence_ = order.sequence;
  last_content_ = order.content;
  return OrderVerdict::kAccepted;
}

std::optional<OrderVerdict> OrderFence::refusal(const engines::EngineOrder& order,
                                                const FenceContext& situation) const {
  if (order.engine_incarnation != situation.incarnation) {
    return OrderVerdict::kWrongIncarnation;
  }
  if (order.epoch < highest_epoch_) {
    return OrderVerdict::kStaleEpoch;
  }
  if (order.epoch == highest_epoch_ && order.sequence <= last_sequence_) {
    const bool same = order.sequence == last_sequence_ && order.content == last_content_;
    return same && last_sequence_ != 0 ? OrderVerdict::kDuplicate : OrderVerdict::kConflict;
  }
  if (order.sequence == 0) {
    return OrderVerdict::kConflict;
  }
  if (order.content.kind == engines::OrderKind::kRaiseFence) {
    return std::nullopt;
  }
  if (situation.change_in_progress || (order.content.only_if_idle && !situation.idle)) {
    return OrderVerdict::kBusy;
  }
  return std::nullopt;
}

}  // namespace cypresswall::emulation
