/// The sending side of forwarding: which node executes a request instead of this one, and to which
/// request an answer belongs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/forwarding/forwarding_settings.h"
#include "cypresswall/forwarding/messages.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::forwarding {

/// Receives what the receiver of one request sends. A call may destroy the object.
class ForwardedCallHandler {
 public:
  virtual ~ForwardedCallHandler() = default;
  virtual void onAcknowledged() = 0;
  virtual void onRejected() = 0;
  /// The receiver does not execute the request any more.
  virtual void onEnded() = 0;
  virtual void onHead(const ForwardedHead&) {}
  virtual void onToken(const ForwardedToken&) {}
  virtual void onModelEnd(const ForwardedModelEnd&) {}
  virtual void onServiceAnswer(const ForwardedServiceAnswer&) {}
  /// The receiver ended or left the zone.
  virtual void onReceiverLost() = 0;
};

class Forwarder {
 public:
  /// Registers the handlers of all messages to the sender of a request.
  /// \pre all references outlive this object
  Forwarder(const ForwardingSettings& settings, const api::ProcessContext& context,
            membership::MembershipView& membership, const api::ServerPath& path);
  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /// \return true if this node reaches no server, so that requests must be forwarded
  bool active() const { return settings_.enabled && path_.lost(); }
  /// Chooses a random node that is alive, handles forwarded requests and reaches servers as far as
  /// is known here. Nodes that recently did not acknowledge a request are chosen last.
  /// \param tried nodes that must not be chosen
  /// \param messages the messages that the node must handle
  std::optional<common::NodeId> chooseReceiver(const std::set<common::NodeId>& tried,
                                               api::MessageSet messages) const;
  /// \return the number of a new request to `receiver`, whose answer is passed to `handler` until
  ///   close() is called
  std::uint64_t open(const common::NodeId& receiver, ForwardedCallHandler& handler);
  void close(std::uint64_t number) { calls_.erase(number); }
  void markUnresponsive(const common::NodeId& receiver);
  /// Counts a request that ends without an answer since no node could take it.
  void countWithoutReceiver() { without_receiver_.add(); }
  void countForwarded() { forwarded_.add(); }

  const ForwardingSettings& settings() const { return settings_; }
  const api::ProcessContext& context() const { return context_; }

 private:
  struct OpenCall {
    common::NodeId receiver;
    ForwardedCallHandler* handler = nullptr;
  };

  /// Registers the handler of one message type: passes it to its request, if it comes from that
  /// request's receiver.
  template <typename Message, typename Deliver>
  void handle(Deliver deliver);
  void onMembershipChanged();

  const ForwardingSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const api::ServerPath& path_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, OpenCall> calls_;
  std::unordered_map<common::Address, common::MonotonicTime> unresponsive_until_;
  common::Counter& forwarded_;
  common::Counter& without_receiver_;
  common::Counter& unacknowledged_;
  common::Counter& stray_messages_;
};

}  // namespace cypresswall::forwarding
