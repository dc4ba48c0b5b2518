#include "cypresswall/forwarding/forwarded_attempts.h"

#include <utility>

namespace cypresswall::forwarding {

bool ForwardedAttempts::next() {
  if (tried_.size() >= forwarder_.settings().maximum_receivers) {
    return false;
  }
  const auto receiver = forwarder_.chooseReceiver(tried_, messages_);
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
  heard_at_ = forwarder_.context().clock.now();
  scheduleCheck();
  forwarder_.countForwarded();
  send_(receiver_, number_);
  return true;
}

void ForwardedAttempts::acknowledged() {
  heard_at_ = forwarder_.context().clock.now();
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

void ForwardedAttempts::scheduleCheck() {
  check_timer_ =
      forwarder_.context().scheduler.schedule(forwarder_.settings().check_interval, [this] {
        check_timer_ = 0;
        check();
      });
}

void ForwardedAttempts::check() {
  const auto silence = forwarder_.context().clock.now() - heard_at_;
  if (silence > forwarder_.settings().silence_limit) {
    handler_.onReceiverLost();
    return;
  }
  scheduleCheck();
  forwarder_.context().sendTo(receiver_, ForwardCheck{number_, paused_});
}

void ForwardedAttempts::ended() {
  acknowledged();
  if (end_timer_ == 0) {
    end_timer_ = forwarder_.context().scheduler.schedule(forwarder_.settings().part_limit, [this] {
      end_timer_ = 0;
      handler_.onReceiverLost();
    });
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
  forwarder_.context().scheduler.cancel(std::exchange(check_timer_, 0));
  forwarder_.context().scheduler.cancel(std::exchange(end_timer_, 0));
  if (number_ != 0) {
    forwarder_.close(std::exchange(number_, 0));
  }
}

void ForwardedAttempts::sendFlow(bool paused) {
  paused_ = paused;
  if (number_ != 0) {
    forwarder_.context().sendTo(receiver_, ForwardFlow{number_, paused});
  }
}

}  // namespace cypresswall::forwarding
