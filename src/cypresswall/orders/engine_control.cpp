#include "cypresswall/orders/engine_control.h"

#include <utility>

namespace cypresswall::orders {

const char* toString(ControlPhase phase) {
  switch (phase) {
    case ControlPhase::kUnknown:
      return "unknown";
    case ControlPhase::kFencing:
      return "fencing";
    case ControlPhase::kIdle:
      return "idle";
    case ControlPhase::kDraining:
      return "draining";
    case ControlPhase::kOrdering:
      return "ordering";
    case ControlPhase::kConfirming:
      return "confirming";
    case ControlPhase::kWithdrawing:
      return "withdrawing";
    case ControlPhase::kFencedOut:
      return "fenced-out";
  }
  return "unknown";
}

const char* toString(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kUnderWay:
      return "under-way";
    case ChangeOutcome::kDone:
      return "done";
    case ChangeOutcome::kDrainCancelled:
      return "drain-cancelled";
    case ChangeOutcome::kWithdrawn:
      return "withdrawn";
    case ChangeOutcome::kEngineRestarted:
      return "engine-restarted";
    case ChangeOutcome::kLostAuthority:
      return "lost-authority";
    case ChangeOutcome::kRefused:
      return "refused";
  }
  return "unknown";
}

EngineControl::EngineControl(const ControllerSettings& settings, const api::ProcessContext& context,
                             lease::AuthorityView& authority, engines::EngineClient& client,
                             DrainTable& drains, engines::EngineEndpoint endpoint,
                             const common::Epoch& epoch, ChangeListener listener)
    : settings_(settings),
      context_(context),
      client_(client),
      drains_(drains),
      epoch_(epoch),
      listener_(std::move(listener)),
      channel_(settings.order, context, authority, client, std::move(endpoint), epoch),
      restarts_in_change_(context.counters.counter("cypresswall_engine_restarts_in_change_total",
                                                   "Engines that restarted during a change")) {}

EngineControl::~EngineControl() { *alive_ = false; }

bool EngineControl::changing() const {
  return phase_ == ControlPhase::kDraining || phase_ == ControlPhase::kOrdering ||
         phase_ == ControlPhase::kConfirming || phase_ == ControlPhase::kWithdrawing;
}

bool EngineControl::drainOverdue() const {
  return context_.clock.now() - record_.started_at > settings_.drain.timeout;
}

void EngineControl::tick() {
  switch (phase_) {
    case ControlPhase::kUnknown:
    case ControlPhase::kConfirming:
      readLoad();
      break;
    case ControlPhase::kDraining:
      if (drainOverdue()) {
        cancel(ChangeOutcome::kDrainCancelled);
        break;
      }
      updateDrainAcknowledgement();
      if (drain_acknowledged_) {
        readLoad();
      }
      break;
    case ControlPhase::kOrdering:
      if (channel_.open() && channel_.busy()) {
        tickOrder();
      }
      break;
    case ControlPhase::kFencing:
    case ControlPhase::kWithdrawing:
      if (channel_.open() && channel_.busy()) {
        channel_.resend();
      }
      break;
    case ControlPhase::kIdle:
    case ControlPhase::kFencedOut:
      break;
  }
}

void EngineControl::updateDrainAcknowledgement() {
  if (drain_acknowledged_) {
    return;
  }
  const common::MonotonicTime now = context_.clock.now();
  const bool waited = settings_.order.engines_finish_streams &&
                      now - record_.started_at >= settings_.drain.acknowledgement_timeout;
  if (waited || drains_.acknowledged(endpoint().name)) {
    drain_acknowledged_ = true;
    acknowledged_at_ = now;
  }
}

void EngineControl::tickOrder() {
  if (settings_.order.engines_finish_streams) {
    readLoad();
  } else if (drainOverdue()) {
    withdraw();
  } else {
    channel_.resend();
  }
}

void EngineControl::observeIncarnation(std::uint64_t incarnation,
                                       common::MonotonicTime observed_at) {
  const bool newer = observed_at > fenced_at_ && incarnation != incarnation_;
  if (phase_ == ControlPhase::kIdle && newer) {
    phase_ = ControlPhase::kUnknown;
  }
}

void EngineControl::readLoad() {
  const common::MonotonicTime now = context_.clock.now();
  if (load_pending_ || now - load_read_at_ < settings_.drain.check_period) {
    return;
  }
  load_pending_ = true;
  load_read_at_ = now;
  client_.fetchLoad(endpoint(), [this, alive = alive_](const auto& result) {
    if (!*alive) {
      return;
    }
    load_pending_ = false;
    if (result.ok()) {
      onLoad(result.value());
    } else {
      fence_attempted_ = true;
    }
  });
}

void EngineControl::onLoad(const engines::EngineLoad& load) {
  orders_taken_ = load.last_sequence;
  switch (phase_) {
    case ControlPhase::kUnknown:
      raiseFence(load.incarnation);
      break;
    case ControlPhase::kDraining:
      checkDrained(load);
      break;
    case ControlPhase::kOrdering:
      resolveBusyOrder(load);
      break;
    case ControlPhase::kConfirming:
      checkDone(load);
      break;
    default:
      break;
  }
}

void EngineControl::raiseFence(std::uint64_t incarnation) {
  phase_ = ControlPhase::kFencing;
  incarnation_ = incarnation;
  channel_.submit(incarnation, orders_taken_, engines::OrderContent{},
                  [this](OrderResult result) { onFence(result); });
}

void EngineControl::onFence(OrderResult result) {
  fence_attempted_ = true;
  switch (result) {
    case OrderResult::kTaken:
      fenced_at_ = context_.clock.now();
      phase_ = ControlPhase::kIdle;
      break;
    case OrderResult::kStaleEpoch:
      phase_ = ControlPhase::kFencedOut;
      break;
    case OrderResult::kBusy:
      break;
    default:
      phase_ = ControlPhase::kUnknown;
      break;
  }
}

void EngineControl::start(PlannedChange change) {
  record_ = ChangeRecord{};
  record_.engine = endpoint().name;
  record_.epoch = epoch_;
  record_.change = std::move(change);
  record_.started_at = context_.clock.now();
  outcome_if_done_ = ChangeOutcome::kDone;
  drain_acknowledged_ = false;
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_change_started")
      .field("engine", record_.engine)
      .field("epoch", epoch_.toString())
      .field("order", engines::toString(record_.change.content.kind))
      .field("role", engines::toString(record_.change.content.role))
      .field("reason", record_.change.reason);
  if (record_.change.drain) {
    phase_ = ControlPhase::kDraining;
    drains_.add(record_.engine);
  } else {
    sendOrder();
  }
}

void EngineControl::cancel(ChangeOutcome outcome) {
  if (phase_ == ControlPhase::kDraining) {
    paused_until_ = context_.clock.now() + settings_.pause_after_cancelled_drain;
    endChange(outcome, ControlPhase::kIdle);
  }
}

void EngineControl::checkDrained(const engines::EngineLoad& load) {
  if (load.incarnation != incarnation_) {
    endChange(ChangeOutcome::kEngineRestarted, ControlPhase::kUnknown);
    return;
  }
  if (!settings_.order.engines_finish_streams && !drains_.acknowledged(endpoint().name)) {
    // A node that has joined in the meantime has not acknowledged the drain yet.
    drain_acknowledged_ = false;
    return;
  }
  if (readyForOrder(load)) {
    sendOrder();
  }
}

bool EngineControl::readyForOrder(const engines::EngineLoad& load) const {
  const common::MonotonicTime described = context_.clock.now() - load.age;
  const bool running = load.running_streams != 0 && !settings_.order.engines_finish_streams;
  const bool idle = !running && load.waiting_streams == 0;
  return idle && described >= acknowledged_at_ && !load.order_in_progress;
}

void EngineControl::resolveBusyOrder(const engines::EngineLoad& load) {
  if (!channel_.open() || !channel_.busy()) {
    return;
  }
  if (load.incarnation != incarnation_) {
    channel_.closeBusyOrder();
    restarts_in_change_.add();
    endChange(ChangeOutcome::kEngineRestarted, ControlPhase::kUnknown);
  } else if (load.order_in_progress) {
    return;
  } else if (load.role == record_.change.content.role) {
    channel_.closeBusyOrder();
    startConfirming();
  } else if (load.last_sequence != orders_taken_at_submit_) {
    channel_.closeBusyOrder();
    endChange(ChangeOutcome::kRefused, ControlPhase::kUnknown);
  } else if (drainOverdue()) {
    withdraw();
  } else {
    channel_.resend();
  }
}

void EngineControl::sendOrder() {
  phase_ = ControlPhase::kOrdering;
  orders_taken_at_submit_ = orders_taken_;
  channel_.submit(incarnation_, orders_taken_, record_.change.content,
                  [this](OrderResult result) { onOrder(result); });
}

void EngineControl::startConfirming() {
  taken_at_ = context_.clock.now();
  phase_ = ControlPhase::kConfirming;
}

void EngineControl::onOrder(OrderResult result) {
  switch (result) {
    case OrderResult::kTaken:
      startConfirming();
      break;
    case OrderResult::kBusy:
      break;
    case OrderResult::kStaleEpoch:
      endChange(ChangeOutcome::kLostAuthority, ControlPhase::kFencedOut);
      break;
    case OrderResult::kAuthorityLost:
      endChange(ChangeOutcome::kLostAuthority, ControlPhase::kUnknown);
      break;
    case OrderResult::kWrongIncarnation:
      restarts_in_change_.add();
      endChange(ChangeOutcome::kEngineRestarted, ControlPhase::kUnknown);
      break;
    case OrderResult::kConflict:
      endChange(ChangeOutcome::kRefused, ControlPhase::kUnknown);
      break;
  }
}

void EngineControl::withdraw() {
  phase_ = ControlPhase::kWithdrawing;
  outcome_if_done_ = ChangeOutcome::kDrainCancelled;
  // The engine may have accepted an earlier copy of the order in the meantime. Once the engine has
  // accepted the withdrawal, checkDone() waits until a load report shows the engine ready.
  channel_.withdraw([this](OrderResult result) { onOrder(result); });
}

void EngineControl::checkDone(const engines::EngineLoad& load) {
  if (load.incarnation != incarnation_) {
    restarts_in_change_.add();
    endChange(ChangeOutcome::kEngineRestarted, ControlPhase::kUnknown);
    return;
  }
  const common::MonotonicTime described = context_.clock.now() - load.age;
  const bool ready = load.state == engines::EngineState::kReady && !load.order_in_progress;
  if (!ready || described < taken_at_) {
    return;
  }
  if (!reflectsOrder(load)) {
    // Load reports lag by an unknown time, so this report may still describe the state before the
    // order.
    if (described - taken_at_ > settings_.order.effect_timeout) {
      endChange(ChangeOutcome::kRefused, ControlPhase::kUnknown);
    }
    return;
  }
  if (outcome_if_done_ == ChangeOutcome::kDrainCancelled) {
    paused_until_ = context_.clock.now() + settings_.pause_after_cancelled_drain;
  }
  endChange(outcome_if_done_, ControlPhase::kIdle);
}

bool EngineControl::reflectsOrder(const engines::EngineLoad& load) const {
  const engines::OrderContent& content = record_.change.content;
  return outcome_if_done_ != ChangeOutcome::kDone ||
         content.kind != engines::OrderKind::kChangeRole || load.role == content.role;
}

void EngineControl::endChange(ChangeOutcome outcome, ControlPhase next) {
  phase_ = next;
  record_.outcome = outcome;
  record_.ended_at = context_.clock.now();
  drains_.remove(record_.engine);
  common::LogEvent(context_.log, common::LogLevel::kInfo, "engine_change_ended")
      .field("engine", record_.engine)
      .field("epoch", epoch_.toString())
      .field("outcome", toString(outcome))
      .field("after_ms", (record_.ended_at - record_.started_at) / std::chrono::milliseconds(1));
  listener_(record_);
}

}  // namespace cypresswall::orders
