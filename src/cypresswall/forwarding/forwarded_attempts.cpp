#include "cypresswall/forwarding/forwarded_attempts.h"

#include <utility>

namespace cypresswall::forwarding {

bool ForwardedAttempts::next() {
  if (tried_.size() >= forwarder_.settings().maximum_receivers) {
    return false;
  }
  const auto receiver = forwarder_.chooseReceiver(tried_);
  if (!receiver) {
    return false;
  }
  close();
  receiver_ = *receiver;
  tried_.insert(receiver_);
  number_ = forwarder_.open(receiver_, handler_);
  acknowledgement_timer_ =
      forwarder_.context().scheduler.schedule(forwarder_.settings().acknowledgement_limit, [this] {
        acknowledgement_timer_ = 0;
        onUnacknowledged();
      });
  forwarder_.countForwarded();
  send_(receiver_, number_);
  return true;
}

void ForwardedAttempts::acknowledged() {
  forwarder_.context().scheduler.cancel(std::exchange(acknowledgement_timer_, 0));
}

void ForwardedAttempts::onUnacknowledged() {
  forwarder_.markUnresponsive(receiver_);
  common::LogEvent(forwarder_.context().log, common::LogLevel::kWarning,
                   "forwarded_request_unacknowledged")
      .field("receiver", receiver_.address)
      .field("repeatable", repeatable_);
  if (!repeatable_) {
    return;
  }
  may_have_run_ = true;
  const auto unresponsive = receiver_;
  const std::uint64_t number = number_;
  if (next()) {
    forwarder_.context().sendTo(unresponsive, ForwardCancelled{number});
  }
}

std::optional<ForwardedAttempts::Failure> ForwardedAttempts::rejected() {
  close();
  if (next()) {
    return std::nullopt;
  }
  return may_have_run_ ? Failure::kReceiverLost : Failure::kNoReceiver;
}

std::optional<ForwardedAttempts::Failure> ForwardedAttempts::receiverLost() {
  may_have_run_ = true;
  if (repeatable_ && !answer_began_ && next()) {
    return std::nullopt;
  }
  return Failure::kReceiverLost;
}

void ForwardedAttempts::answerBegan() {
  acknowledged();
  answer_began_ = true;
}

void ForwardedAttempts::cancel() {
  if (number_ != 0) {
    forwarder_.context().sendTo(receiver_, ForwardCancelled{number_});
  }
  close();
}

void ForwardedAttempts::close() {
  acknowledged();
  if (number_ != 0) {
    forwarder_.close(std::exchange(number_, 0));
  }
}

void ForwardedAttempts::sendFlow(bool paused) const {
  if (number_ != 0) {
    forwarder_.context().sendTo(receiver_, ForwardFlow{number_, paused});
  }
}

}  // namespace cypresswall::forwarding
