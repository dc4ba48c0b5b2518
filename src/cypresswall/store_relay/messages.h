/// Messages by which the nodes of a zone pass on what a few of them read of the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::store_relay {

/// What a node follows in the store.
enum class Topic : std::uint8_t { kListedEngines = 1, kDeclaredFleet = 2 };

/// \return the topic's name in logs.
constexpr const char* nameOf(Topic topic) {
  return topic == Topic::kListedEngines ? "listed-engines" : "declared-fleet";
}

/// A reader tells its zone, at each change and each announcement interval, how far it has read. It
/// tells so only while the store answers it.
struct Announcement {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 0);
  std::uint8_t topic = 0;
  /// Revision of the store with which the last batch of changes came.
  std::uint64_t changed = 0;
  /// Revision up to which the sender knows everything; nothing changed after `changed`.
  std::uint64_t seen = 0;
  MSGPACK_DEFINE(topic, changed, seen)
};

/// Asks a reader for all changes after `revision`.
struct ChangesRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 1);
  std::uint8_t topic = 0;
  std::uint64_t revision = 0;
  MSGPACK_DEFINE(topic, revision)
};

/// One object that was put or removed.
struct StoreChange {
  std::string name;
  /// Revision of the store at the object's last change.
  std::uint64_t revision = 0;
  bool gone = false;
  /// The object's content as the platform's adapter encodes it; empty if it is gone.
  std::string content;

  bool operator==(const StoreChange&) const = default;
  MSGPACK_DEFINE(name, revision, gone, content)
};

struct ChangesReply {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 2);
  std::uint8_t topic = 0;
  /// False if the sender no longer has the changes asked for, or if they are too large: the
  /// receiver then asks the store itself.
  bool available = false;
  /// Revision up to which `changes` tells everything.
  std::uint64_t revision = 0;
  /// In the order in which they were made.
  std::vector<StoreChange> changes;
  MSGPACK_DEFINE(topic, available, revision, changes)
};

}  // namespace cypresswall::store_relay
