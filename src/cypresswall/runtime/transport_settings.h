/// Limits, periods and counters of the peer transport.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/counters.h"
#include "cypresswall/common/time.h"

namespace cypresswall::runtime {

struct TransportSettings {
  /// "IP:port" to listen on; port 0 selects a free port.
  common::Address listen_address;
  std::size_t maximum_envelope_bytes = api::kMaximumEnvelopeBytes;
  /// Maximum number of messages queued for one peer; the oldest are dropped first.
  std::size_t maximum_queued_messages = 4096;
  /// Maximum number of bytes queued for one peer, framing included; the oldest messages are dropped
  /// first.
  std::size_t maximum_queued_bytes = 8U << 20;
  /// A message that has waited longer than this for a connection is dropped, since its content is
  /// outdated.
  common::Duration queue_time_limit = std::chrono::seconds(2);
  /// Time limit of the first attempt to connect. It doubles with each attempt that is not answered,
  /// up to `connect_time_limit`. Short, since the kernel repeats an unanswered SYN only after a
  /// second: a peer that starts a moment later than this node would be reached that much too late.
  common::Duration first_connect_limit = std::chrono::milliseconds(200);
  common::Duration connect_time_limit = std::chrono::seconds(1);
  /// Delay after the first failed attempt to connect. It doubles with each further failure; the
  /// delay actually used is chosen at random between half of it and all of it.
  common::Duration minimum_backoff = std::chrono::milliseconds(50);
  /// Upper limit of the doubled delay.
  common::Duration maximum_backoff = std::chrono::seconds(1);
  /// A connection on which nothing has been sent for this long is closed.
  common::Duration idle_time_limit = std::chrono::seconds(90);
  /// A connection is closed if the peer does not acknowledge sent data for this long
  /// (TCP_USER_TIMEOUT).
  common::Duration unacknowledged_time_limit = std::chrono::seconds(3);
  std::size_t maximum_incoming_connections = 2048;
};

/// Counters of the transport; the references are valid for the lifetime of the registry.
struct TransportCounters {
  explicit TransportCounters(common::CounterRegistry& registry);

  /// \return the counter of the bytes of all messages of one type that were queued for sending,
  ///   framing included.
  common::Counter& queuedBytes(api::MessageType type);

  common::Counter& sent_messages;
  common::Counter& sent_bytes;
  common::Counter& received_messages;
  common::Counter& received_bytes;
  common::Counter& connects;
  common::Counter& failed_connects;
  common::Counter& protocol_errors;
  common::Counter& refused_connections;
  common::Counter& dropped_queue_full;
  common::Counter& dropped_queue_time;
  common::Counter& dropped_connection_lost;
  common::Counter& dropped_too_large;
  common::Counter& dropped_bad_address;
  common::Counter& dropped_other_incarnation;
  common::Counter& dropped_handler_error;
  common::Counter& dropped_fault_switch;

 private:
  common::CounterRegistry& registry_;
  std::unordered_map<std::uint16_t, common::Counter*> queued_bytes_by_type_;
};

}  // namespace cypresswall::runtime
