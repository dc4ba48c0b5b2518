/// Dependencies of the modules of one daemon process. All are injected: by the Asio runtime in the
/// daemon, by the simulator in tests and experiments.
#pragma once

#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/counters.h"
#include "cypresswall/common/event_log.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/random.h"
#include "cypresswall/common/time.h"

namespace cypresswall::api {

/// References stay valid for the lifetime of the process. Modules run on one thread. They may
/// capture `this` in timers and client callbacks, since the process discards all pending callbacks
/// before it destroys its modules.
struct ProcessContext {
  common::NodeId self;
  common::ZoneName zone;
  common::Clock& clock;
  common::Scheduler& scheduler;
  common::RandomSource& random;
  common::LogSink& log;
  common::CounterRegistry& counters;
  PeerTransport& transport;
  MessageDispatcher& dispatcher;

  /// Sends `message` to one incarnation of a peer.
  template <typename Message>
  void sendTo(const common::NodeId& peer, const Message& message) const {
    transport.send(Envelope::make(self, peer, message));
  }
  /// Sends `message`, encoded once, to several peers.
  template <typename Message>
  void sendToAll(const std::vector<common::NodeId>& peers, const Message& message) const {
    Envelope envelope = Envelope::make(self, {}, message);
    for (const common::NodeId& peer : peers) {
      envelope.receiver = peer;
      transport.send(envelope);
    }
  }
  /// Sends `message` to `address`, whatever the incarnation of the process that listens there.
  template <typename Message>
  void sendToAddress(const common::Address& address, const Message& message) const {
    transport.send(Envelope::make(self, common::NodeId{address, 0}, message));
  }
};

}  // namespace cypresswall::api
