/// Messages by which the nodes of a zone share what a few of them read from the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::store_relay {
enum class ContentEncoding : std::uint8_t;
}  // namespace cypresswall::store_relay
MSGPACK_ADD_ENUM(cypresswall::store_relay::ContentEncoding)

namespace cypresswall::store_relay {

/// Kinds of objects that nodes follow in the store.
enum class Topic : std::uint8_t { kListedEngines = 1, kDeclaredFleet = 2 };

/// \return the topic's name in logs.
constexpr const char* nameOf(Topic topic) {
  return topic == Topic::kListedEngines ? "listed-engines" : "declared-fleet";
}

/// Sent by a reader to its zone at each change and each announcement interval, while the store
/// answers it, to announce the revision up to which it has read. In a large zone each node forwards
/// it to a few others once it has the announced changes itself.
struct Announcement {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 0);
  std::uint8_t topic = 0;
  /// Revision of the store at the last batch of changes.
  std::uint64_t changed = 0;
  /// Revision up to which the sender has read; there was no change after `changed`.
  std::uint64_t seen = 0;
  /// Size of the last batch of changes in bytes.
  std::uint32_t bytes = 0;
  /// The announcing reader, and the sequence number of its announcements of the topic.
  common::NodeId reader;
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE(topic, changed, seen, bytes, reader, sequence)
};

/// Requests all changes after `revision` from a peer; all objects if that is zero.
struct ChangesRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 1);
  std::uint8_t topic = 0;
  std::uint64_t revision = 0;
  MSGPACK_DEFINE(topic, revision)
};

/// Encoding of an object's content.
enum class ContentEncoding : std::uint8_t {
  kPlain = 0,   ///< as the platform's adapter encodes it
  kPacked = 1,  ///< the same, compressed
  /// A compressed JSON patch (RFC 6902) to the version of StoreChange::base_revision.
  kPackedDifference = 2,
};

/// One object that was put or removed.
struct StoreChange {
  std::string name;
  /// Revision of the store at the object's last change.
  std::uint64_t revision = 0;
  bool gone = false;
  /// Empty if the object was removed.
  std::string content;
  ContentEncoding encoding = ContentEncoding::kPlain;
  std::uint64_t base_revision = 0;

  bool operator==(const StoreChange&) const = default;
  MSGPACK_DEFINE(name, revision, gone, content, encoding, base_revision)
};

struct ChangesReply {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 2);
  std::uint8_t topic = 0;
  /// False if the sender no longer has the requested changes or they are too large; the receiver
  /// then reads them from the store.
  bool available = false;
  /// Revision up to which `changes` is complete.
  std::uint64_t revision = 0;
  /// In the order in which they were made.
  std::vector<StoreChange> changes;
  MSGPACK_DEFINE(topic, available, revision, changes)
};

}  // namespace cypresswall::store_relay
