#include "cypresswall/runtime/transport_settings.h"

#include <string>

namespace cypresswall::runtime {
namespace {

common::Counter& dropped(common::CounterRegistry& registry, const char* reason) {
  return registry.counter("cypresswall_transport_dropped_messages_total",
                          "Messages between nodes that were dropped, by reason.", "reason", reason);
}

}  // namespace

TransportCounters::TransportCounters(common::CounterRegistry& registry)
    : sent_messages(registry.counter("cypresswall_transport_sent_messages_total",
                                     "Messages handed to the network.")),
      sent_bytes(registry.counter("cypresswall_transport_sent_bytes_total",
                                  "Bytes handed to the network, with framing.")),
      received_messages(registry.counter("cypresswall_transport_received_messages_total",
                                         "Messages received from other nodes.")),
      received_bytes(registry.counter("cypresswall_transport_received_bytes_total",
                                      "Bytes received from other nodes, with framing.")),
      connects(registry.counter("cypresswall_transport_connects_total",
                                "Connections made to other nodes.")),
      failed_connects(registry.counter("cypresswall_transport_failed_connects_total",
                                       "Connections to other nodes that could not be made.")),
      protocol_errors(
          registry.counter("cypresswall_transport_protocol_errors_total",
                           "Incoming connections closed for garbage or another protocol version.")),
      refused_connections(registry.counter("cypresswall_transport_refused_connections_total",
                                           "Incoming connections over the limit.")),
      dropped_queue_full(dropped(registry, "queue_full")),
      dropped_queue_time(dropped(registry, "queue_time")),
      dropped_connection_lost(dropped(registry, "connection_lost")),
      dropped_too_large(dropped(registry, "too_large")),
      dropped_bad_address(dropped(registry, "bad_address")),
      dropped_other_incarnation(dropped(registry, "other_incarnation")),
      dropped_handler_error(dropped(registry, "handler_error")),
      dropped_fault_switch(dropped(registry, "fault_switch")),
      registry_(registry) {}

common::Counter& TransportCounters::queuedBytes(api::MessageType type) {
  const auto number = static_cast<std::uint16_t>(type);
  common::Counter*& known = queued_bytes_by_type_[number];
  if (known == nullptr) {
    known = &registry_.counter("cypresswall_transport_queued_bytes_total",
                               "Bytes of messages queued for other nodes, by message type.", "type",
                               std::to_string(number));
  }
  return *known;
}

}  // namespace cypresswall::runtime
