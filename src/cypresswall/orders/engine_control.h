/// Controls one engine on behalf of the lease holder. First raises the engine's fence, so that the
/// engine rejects orders of earlier lease holders; then executes planned changes one at a time. A
/// change drains the engine if necessary, sends the order, and waits until the engine reports
/// completion.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/orders/drain_table.h"
#include "cypresswall/orders/order_channel.h"
#include "cypresswall/orders/settings.h"

namespace cypresswall::orders {

enum class ControlPhase : std::uint8_t {
  kUnknown,      ///< the incarnation must be read and its fence raised
  kFencing,      ///< the fence order is in flight
  kIdle,         ///< fenced; a change may start
  kDraining,     ///< waits for nodes to stop sending work and for streams to end
  kOrdering,     ///< the order is in flight, or was answered with "busy"
  kConfirming,   ///< the engine accepted the order and is executing it
  kWithdrawing,  ///< an order answered with "busy" is being superseded by a fence order
  kFencedOut,    ///< the engine has accepted orders of a later lease holder
};

/// \return the name of the phase in tables and logs, such as "draining"
const char* toString(ControlPhase phase);

struct PlannedChange {
  engines::OrderContent content;
  /// False if the change does not affect running streams, so that the engine need not be drained.
  bool drain = true;
  /// The declaration or plan that requires the change, in words for operators.
  std::string reason;
};

enum class ChangeOutcome : std::uint8_t {
  kUnderWay,
  kDone,
  kDrainCancelled,  ///< streams did not end in time; the order was withheld or withdrawn
  kWithdrawn,       ///< the change became obsolete before its order was sent
  kEngineRestarted,
  kLostAuthority,
  kRefused,
};

/// \return the name of the outcome in tables, logs and metrics, such as "drain-cancelled".
const char* toString(ChangeOutcome outcome);

/// A change and its outcome, shown to operators.
struct ChangeRecord {
  common::EngineName engine;
  common::Epoch epoch;
  PlannedChange change;
  ChangeOutcome outcome = ChangeOutcome::kUnderWay;
  common::MonotonicTime started_at{};
  common::MonotonicTime ended_at{};
};

class EngineControl {
 public:
  /// Called at the end of each change, with its outcome.
  using ChangeListener = std::function<void(const ChangeRecord&)>;

  EngineControl(const ControllerSettings& settings, const api::ProcessContext& context,
                lease::AuthorityView& authority, engines::EngineClient& client, DrainTable& drains,
                engines::EngineEndpoint endpoint, const common::Epoch& epoch,
                ChangeListener listener);
  ~EngineControl();
  EngineControl(const EngineControl&) = delete;
  EngineControl& operator=(const EngineControl&) = delete;

  /// Advances the current phase; called once per control period.
  void tick();
  /// Starts a change. \pre phase() == kIdle
  void start(PlannedChange change);
  /// Ends the change with this outcome if its order was not sent yet; otherwise does nothing.
  void cancel(ChangeOutcome outcome);
  /// Tells this object which incarnation the engine directory last saw, so that it detects restarts
  /// of an idle engine.
  void observeIncarnation(std::uint64_t incarnation, common::MonotonicTime observed_at);

  ControlPhase phase() const { return phase_; }
  const engines::EngineEndpoint& endpoint() const { return channel_.endpoint(); }
  /// \return true while a change is under way.
  bool changing() const;
  /// \return the change under way. \pre changing()
  const ChangeRecord& change() const { return record_; }
  /// \return true once a fence order was tried or the engine failed to answer a load request
  bool fenceAttempted() const { return fence_attempted_; }
  /// \return the time before which no change may start, because a drain was cancelled
  common::MonotonicTime pausedUntil() const { return paused_until_; }

 private:
  void readLoad();
  void onLoad(const engines::EngineLoad& load);
  void raiseFence(std::uint64_t incarnation);
  void onFence(OrderResult result);
  void checkDrained(const engines::EngineLoad& load);
  bool readyForOrder(const engines::EngineLoad& load) const;
  void updateDrainAcknowledgement();
  void tickOrder();
  /// Determines from a load report whether an order that was answered with "busy" has since been
  /// executed or rejected, and ends, withdraws or resends it accordingly.
  void resolveBusyOrder(const engines::EngineLoad& load);
  void sendOrder();
  void startConfirming();
  void onOrder(OrderResult result);
  void checkDone(const engines::EngineLoad& load);
  /// \return false if a change of role was ordered and the report does not show the new role
  bool reflectsOrder(const engines::EngineLoad& load) const;
  void withdraw();
  void endChange(ChangeOutcome outcome, ControlPhase next);
  bool drainOverdue() const;

  ControllerSettings settings_;
  const api::ProcessContext& context_;
  engines::EngineClient& client_;
  DrainTable& drains_;
  common::Epoch epoch_;
  ChangeListener listener_;
  OrderChannel channel_;
  ControlPhase phase_ = ControlPhase::kUnknown;
  /// Incarnation of the engine whose fence was raised.
  std::uint64_t incarnation_ = 0;
  /// The engine's own count of accepted orders, as last read.
  std::uint64_t orders_taken_ = 0;
  /// Value of orders_taken_ when the change's order was first sent.
  std::uint64_t orders_taken_at_submit_ = 0;
  common::MonotonicTime fenced_at_{};
  bool fence_attempted_ = false;
  bool load_pending_ = false;
  common::MonotonicTime load_read_at_{};
  ChangeRecord record_;
  /// Time at which all nodes had acknowledged the drain, or the wait for them ended. Valid only if
  /// drain_acknowledged_ is true.
  common::MonotonicTime acknowledged_at_{};
  bool drain_acknowledged_ = false;
  common::MonotonicTime taken_at_{};
  ChangeOutcome outcome_if_done_ = ChangeOutcome::kDone;
  common::MonotonicTime paused_until_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  common::Counter& restarts_in_change_;
};

}  // namespace cypresswall::orders
