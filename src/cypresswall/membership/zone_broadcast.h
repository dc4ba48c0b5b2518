/// Sends one message to all other nodes of a zone.
#pragma once

#include <cstddef>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

/// The message is encoded once.
/// \return the number of nodes that it was sent to
template <typename Message>
std::size_t sendToZone(const api::ProcessContext& context, const MembershipView& membership,
                       const Message& message) {
  std::size_t receivers = 0;
  api::Envelope envelope = api::Envelope::make(context.self, {}, message);
  for (const Member& member : membership.members()) {
    if (member.node != context.self) {
      envelope.receiver = member.node;
      context.transport.send(envelope);
      ++receivers;
    }
  }
  return receivers;
}

}  // namespace cypresswall::membership
