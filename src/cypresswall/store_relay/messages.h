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

/// Announces the revision up to which a reader (a node that polls the store for its zone) has read
/// the topic. The reader sends it to its zone after each change and at each announcement interval,
/// as long as the store answers the reader. In a large zone each node forwards the announcement to
/// a few others once the node has the announced changes itself.
struct Announcement {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 0);
  std::uint8_t topic = 0;
  /// Revision of the store at the last batch of changes.
  std::uint64_t changed = 0;
  /// Revision up to which the reader has read. Nothing changed after `changed` and up to this
  /// revision.
  std::uint64_t seen = 0;
  /// Size of the last batch of changes in bytes.
  std::uint32_t bytes = 0;
  /// The reader that made the announcement; another node may have forwarded it.
  common::NodeId reader;
  /// Sequence number among the reader's announcements of the topic, starting at 1.
  std::uint64_t sequence = 0;
  /// Level of the reader's sample of the topic's objects (see ObjectSample).
  std::uint32_t sample_level = 0;
  /// Incarnation of the store to which the revisions belong; zero if the sender names none.
  std::uint64_t incarnation = 0;
  MSGPACK_DEFINE(topic, changed, seen, bytes, reader, sequence, sample_level, incarnation)
};

/// Requests all changes after `revision` from a peer; all objects if `revision` is zero.
struct ChangesRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kStoreRelayFirst, 1);
  std::uint8_t topic = 0;
  std::uint64_t revision = 0;
  /// True if the sender reads ChangesReply::packed_changes.
  bool accepts_packed = false;
  /// Incarnation of the store to which `revision` belongs; zero if the sender names none.
  std::uint64_t incarnation = 0;
  MSGPACK_DEFINE(topic, revision, accepts_packed, incarnation)
};

/// Encoding of an object's content.
enum class ContentEncoding : std::uint8_t {
  kPlain = 0,   ///< the content as the platform's adapter encodes it
  kPacked = 1,  ///< the plain content, compressed
  /// A compressed JSON patch (RFC 6902) that is applied to the version of the object with revision
  /// StoreChange::base_revision.
  kPackedDifference = 2,
};

/// One change of an object, which was either put (created or replaced) or removed.
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
  /// False if the sender does not have all the requested changes or they are too large for a reply;
  /// the receiver then reads them from the store.
  bool available = false;
  /// Revision up to which `changes` is complete.
  std::uint64_t revision = 0;
  /// The requested changes, in the order in which they were made.
  std::vector<StoreChange> changes;
  /// Level of the sender's sample of the topic's objects (see ObjectSample). Changes of objects
  /// outside the sample may be missing.
  std::uint32_t sample_level = 0;
  /// In place of `changes`, if not empty: the changes as a compressed msgpack array.
  std::string packed_changes;
  /// Incarnation of the store to which the revisions belong; zero if the sender names none.
  std::uint64_t incarnation = 0;
  MSGPACK_DEFINE(topic, available, revision, changes, sample_level, packed_changes, incarnation)
};

}  // namespace cypresswall::store_relay
