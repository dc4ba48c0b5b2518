#include "cypresswall/forwarding/forwarder.h"

#include <vector>

namespace cypresswall::forwarding {

Forwarder::Forwarder(const ForwardingSettings& settings, const api::ProcessContext& context,
                     membership::MembershipView& membership, const api::ServerPath& path)
    : settings_(settings),
      context_(context),
      membership_(membership),
      path_(path),
      forwarded_(context.counters.counter("cypresswall_forwarding_sent_total",
                                          "Requests sent to another node for execution")),
      without_receiver_(context.counters.counter(
          "cypresswall_forwarding_without_receiver_total",
          "Requests that no other node could execute while this one reached no server")),
      unacknowledged_(
          context.counters.counter("cypresswall_forwarding_unacknowledged_total",
                                   "Requests whose receiver did not acknowledge them in time")),
      stray_messages_(context.counters.counter(
          "cypresswall_forwarding_stray_messages_total",
          "Answers dropped: to a request that has ended, or from another node")) {
  handle<ForwardAcknowledged>(
      [](ForwardedCallHandler& call, const auto&) { call.onAcknowledged(); });
  handle<ForwardRejected>([](ForwardedCallHandler& call, const auto&) { call.onRejected(); });
  handle<ForwardEnded>([](ForwardedCallHandler& call, const auto&) { call.onEnded(); });
  handle<ForwardedHead>([](ForwardedCallHandler& call, const auto& head) { call.onHead(head); });
  handle<ForwardedToken>(
      [](ForwardedCallHandler& call, const auto& token) { call.onToken(token); });
  handle<ForwardedModelEnd>(
      [](ForwardedCallHandler& call, const auto& end) { call.onModelEnd(end); });
  handle<ForwardedServiceAnswer>(
      [](ForwardedCallHandler& call, const auto& answer) { call.onServiceAnswer(answer); });
  membership.onChange([this] { onMembershipChanged(); });
}

template <typename Message, typename Deliver>
void Forwarder::handle(Deliver deliver) {
  context_.dispatcher.handle<Message>(
      [this, deliver](const common::NodeId& sender, const Message& message) {
        const auto call = calls_.find(message.number);
        if (call == calls_.end() || call->second.receiver != sender) {
          stray_messages_.add();
          return;
        }
        deliver(*call->second.handler, message);
      });
}

std::optional<common::NodeId> Forwarder::chooseReceiver(const std::set<common::NodeId>& tried,
                                                        api::MessageSet messages) const {
  const auto now = context_.clock.now();
  std::vector<common::NodeId> responsive;
  std::vector<common::NodeId> others;
  for (const membership::Member& member : membership_.members()) {
    const bool reaches =
        membership_.digest(member.node, membership::DigestTopic::kServersUnreached).value_or(0) ==
        0;
    if (member.node == context_.self || member.state != membership::MemberState::kAlive ||
        !reaches || tried.contains(member.node) || !membership_.handles(member.node, messages)) {
      continue;
    }
    const auto unresponsive = unresponsive_until_.find(member.node.address);
    const bool responds = unresponsive == unresponsive_until_.end() || unresponsive->second <= now;
    (responds ? responsive : others).push_back(member.node);
  }
  const auto& candidates = responsive.empty() ? others : responsive;
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[context_.random.below(candidates.size())];
}

std::uint64_t Forwarder::open(const common::NodeId& receiver, ForwardedCallHandler& handler) {
  const std::uint64_t number = next_number_++;
  calls_[number] = {receiver, &handler};
  return number;
}

void Forwarder::markUnresponsive(const common::NodeId& receiver) {
  unacknowledged_.add();
  unresponsive_until_[receiver.address] = context_.clock.now() + settings_.unresponsive_time;
}

/// The handlers are looked up one by one, since each may end other requests.
void Forwarder::onMembershipChanged() {
  std::set<common::NodeId> members;
  std::set<common::Address> addresses;
  for (const membership::Member& member : membership_.members()) {
    members.insert(member.node);
    addresses.insert(member.node.address);
  }
  std::erase_if(unresponsive_until_,
                [&](const auto& entry) { return !addresses.contains(entry.first); });
  std::vector<std::uint64_t> lost;
  for (const auto& [number, call] : calls_) {
    if (!members.contains(call.receiver)) {
      lost.push_back(number);
    }
  }
  for (const std::uint64_t number : lost) {
    const auto call = calls_.find(number);
    if (call != calls_.end()) {
      call->second.handler->onReceiverLost();
    }
  }
}

}  // namespace cypresswall::forwarding
