#include "cypresswall/orders/order_channel.h"

#include <algorithm>
#include <utility>

namespace cypresswall::orders {

using engines::OrderVerdict;

OrderChannel::OrderChannel(const OrderSettings& settings, const api::ProcessContext& context,
                           lease::AuthorityView& authority, engines::EngineClient& client,
                           engines::EngineEndpoint endpoint, const common::Epoch& epoch)
    : settings_(settings),
      context_(context),
      authority_(authority),
      client_(client),
      endpoint_(std::move(endpoint)),
      epoch_(epoch),
      sent_(context.counters.counter("cypresswall_orders_sent_total", "Orders sent to engines")),
      resent_(context.counters.counter("cypresswall_orders_resent_total",
                                       "Orders sent again for want of an answer")),
      without_authority_(context.counters.counter("cypresswall_orders_without_authority_total",
                                                  "Orders not sent: the lease was not held")) {}

OrderChannel::~OrderChannel() {
  *alive_ = false;
  context_.scheduler.cancel(resend_timer_);
}

void OrderChannel::submit(std::uint64_t engine_incarnation, std::uint64_t orders_taken,
                          const engines::OrderContent& content, Callback callback) {
  open_ = engines::EngineOrder{epoch_, ++sequence_, engine_incarnation, content, orders_taken};
  callback_ = std::move(callback);
  resend_delay_ = settings_.resend_delay;
  sent_.add();
  send();
}

void OrderChannel::resend() {
  resent_.add();
  send();
}

void OrderChannel::withdraw(Callback callback) {
  const std::uint64_t incarnation = open_->engine_incarnation;
  const std::uint64_t orders_taken = open_->orders_taken;
  busy_ = false;
  open_.reset();
  submit(incarnation, orders_taken, engines::OrderContent{}, std::move(callback));
}

void OrderChannel::closeBusyOrder() {
  busy_ = false;
  open_.reset();
  callback_ = nullptr;
}

void OrderChannel::send() {
  busy_ = false;
  // The process may have been paused since the caller last checked the lease, so its expiry is
  // checked again immediately before the order is sent.
  if (authority_.heldEpoch() != epoch_) {
    without_authority_.add();
    close(OrderResult::kAuthorityLost);
    return;
  }
  client_.sendOrder(endpoint_, *open_, [this, alive = alive_, order = *open_](const auto& result) {
    if (*alive) {
      onReply(order, result);
    }
  });
}

void OrderChannel::scheduleResend() {
  resend_timer_ = context_.scheduler.schedule(resend_delay_, [this] {
    resend_timer_ = 0;
    resend();
  });
  resend_delay_ = std::min(resend_delay_ * 2, settings_.maximum_resend_delay);
}

void OrderChannel::onReply(
    const engines::EngineOrder& order,
    const common::Result<engines::OrderReply, engines::EngineFailure>& result) {
  if (!open_ || !(*open_ == order)) {
    return;
  }
  if (!result.ok()) {
    // The engine may or may not have accepted the order, so only the identical order may be sent
    // next.
    scheduleResend();
    return;
  }
  switch (result.value().verdict) {
    case OrderVerdict::kAccepted:
    case OrderVerdict::kDuplicate:
      close(OrderResult::kTaken);
      break;
    case OrderVerdict::kStaleEpoch:
      authority_.superseded(epoch_);
      close(OrderResult::kStaleEpoch);
      break;
    case OrderVerdict::kWrongIncarnation:
      close(OrderResult::kWrongIncarnation);
      break;
    case OrderVerdict::kConflict:
      sequence_ = std::max(sequence_, result.value().last_sequence);
      close(OrderResult::kConflict);
      break;
    case OrderVerdict::kBusy: {
      busy_ = true;
      // Copied, since the callback may replace callback_ by calling withdraw().
      const Callback callback = callback_;
      callback(OrderResult::kBusy);
      break;
    }
  }
}

void OrderChannel::close(OrderResult result) {
  open_.reset();
  const Callback callback = std::exchange(callback_, nullptr);
  callback(result);
}

}  // namespace cypresswall::orders
