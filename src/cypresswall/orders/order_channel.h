/// Sends orders from one lease holder to one engine, one at a time and with sequence numbers. An
/// order without an answer is sent again unchanged until the engine answers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cypresswall/api/process_context.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/orders/settings.h"

namespace cypresswall::orders {

/// How an order ended.
enum class OrderResult : std::uint8_t {
  kTaken,             ///< the engine accepted this or an earlier copy of the order
  kBusy,              ///< streams or another order are running; the order stays open, see resend()
  kStaleEpoch,        ///< the engine accepted a later holder's order; send no more orders
  kWrongIncarnation,  ///< the engine restarted; nothing was done
  kConflict,          ///< the engine accepted a later or different order; nothing was done
  kAuthorityLost,     ///< the order was not sent: this node no longer holds the lease
};

class OrderChannel {
 public:
  using Callback = std::function<void(OrderResult)>;

  OrderChannel(const OrderSettings& settings, const api::ProcessContext& context,
               lease::AuthorityView& authority, engines::EngineClient& client,
               engines::EngineEndpoint endpoint, const common::Epoch& epoch);
  ~OrderChannel();
  OrderChannel(const OrderChannel&) = delete;
  OrderChannel& operator=(const OrderChannel&) = delete;

  /// Sends a new order to one incarnation of the engine.
  /// \pre !open()
  /// \param orders_taken the engine's own count of accepted orders
  /// \param callback called with each result. After kBusy the order stays open and a further result
  ///   may follow; any other result closes the order.
  void submit(std::uint64_t engine_incarnation, std::uint64_t orders_taken,
              const engines::OrderContent& content, Callback callback);
  /// Sends the open order again, unchanged.
  /// \pre open() and the last result was kBusy
  void resend();
  /// Withdraws an order that was answered with kBusy by submitting a fence order, which changes
  /// nothing, with the next sequence number. The engine then rejects copies of the withdrawn order
  /// that are still in flight. `callback` receives the results of the fence order.
  /// \pre open() and the last result was kBusy
  void withdraw(Callback callback);
  /// Closes an order that was answered with kBusy, without calling its callback. To be called once
  /// the engine's load report has shown the order's outcome. \pre open() and the last result was
  /// kBusy
  void closeBusyOrder();

  bool open() const { return open_.has_value(); }
  bool busy() const { return busy_; }
  const engines::EngineEndpoint& endpoint() const { return endpoint_; }
  std::uint64_t sequence() const { return sequence_; }

 private:
  void send();
  void onReply(const engines::EngineOrder& order,
               const common::Result<engines::OrderReply, engines::EngineFailure>& result);
  void scheduleResend();
  void close(OrderResult result);

  OrderSettings settings_;
  const api::ProcessContext& context_;
  lease::AuthorityView& authority_;
  engines::EngineClient& client_;
  engines::EngineEndpoint endpoint_;
  common::Epoch epoch_;
  std::uint64_t sequence_ = 0;
  std::optional<engines::EngineOrder> open_;
  Callback callback_;
  bool busy_ = false;
  common::Duration resend_delay_{0};
  common::TimerId resend_timer_ = 0;
  /// Set to false on destruction, so that replies in flight are ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  common::Counter& sent_;
  common::Counter& resent_;
  common::Counter& without_authority_;
};

}  // namespace cypresswall::orders
