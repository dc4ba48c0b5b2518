/// Finds a node that executes one request instead of this node.
#pragma once

#include <cstdint>
#include <functional>
#include <set>

#include "cypresswall/forwarding/forwarder.h"

namespace cypresswall::forwarding {

/// Sends the request to one receiver after the other until one executes it. A receiver that did
/// not acknowledge the request may execute it all the same, so that only a request that may run
/// more than once goes on to another one then.
class ForwardedAttempts {
 public:
  /// Sends the request to the receiver under this number.
  using Send = std::function<void(const common::NodeId& receiver, std::uint64_t number)>;
  enum class Failure : std::uint8_t {
    kNoReceiver,    ///< nobody took the request, which has not run
    kReceiverLost,  ///< the request may have run
  };

  /// \param repeatable whether the request may run more than once
  /// \param messages the messages that receivers must handle
  /// \pre all references outlive this object
  ForwardedAttempts(Forwarder& forwarder, ForwardedCallHandler& handler, bool repeatable, Send send,
                    api::MessageSet messages = api::MessageSet::kForwarding)
      : forwarder_(forwarder),
        handler_(handler),
        repeatable_(repeatable),
        send_(std::move(send)),
        messages_(messages) {}
  ~ForwardedAttempts() { close(); }
  ForwardedAttempts(const ForwardedAttempts&) = delete;
  ForwardedAttempts& operator=(const ForwardedAttempts&) = delete;

  /// Sends the request to the next receiver. \return false if there is none
  bool next();
  /// The following three are to be called with the messages of the same name.
  void acknowledged();
  /// \return the failure if the request can't be sent to another receiver
  std::optional<Failure> rejected();
  std::optional<Failure> receiverLost();
  /// To be called if the receiver says that the request has ended. The rest of the answer may still
  /// be on its way; if it does not arrive in time, ForwardedCallHandler::onReceiverLost() is
  /// called.
  void ended();
  /// To be called when a part of the answer has arrived: from then on, the request stays with its
  /// receiver.
  void answerBegan();
  /// Ends the request at its receiver, unless it has ended there.
  void cancel();
  /// Drops all further messages.
  void close();
  /// Sends a message about the request to its receiver.
  void sendFlow(bool paused);

 private:
  void onUnacknowledged();
  void scheduleCheck();
  void check();

  Forwarder& forwarder_;
  ForwardedCallHandler& handler_;
  const bool repeatable_;
  const Send send_;
  const api::MessageSet messages_;
  std::set<common::NodeId> tried_;
  common::NodeId receiver_;
  /// Zero while the request is with no receiver.
  std::uint64_t number_ = 0;
  bool answer_began_ = false;
  /// A receiver that did not acknowledge the request may execute it.
  bool may_have_run_ = false;
  common::TimerId acknowledgement_timer_ = 0;
  common::TimerId check_timer_ = 0;
  common::TimerId end_timer_ = 0;
  /// When the receiver was last heard of.
  common::MonotonicTime heard_at_{};
  bool paused_ = false;
};

}  // namespace cypresswall::forwarding
