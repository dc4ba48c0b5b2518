/// Messages between the lease holder, candidates and voters of one zone.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/lease/record_store.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

/// Requests a grant from a voter. Sent by candidates for the lease, and by the holder to renew it.
struct LeaseRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 0);
  std::uint64_t request = 0;
  common::Epoch epoch;
  /// Version of the voter set that the grant is for.
  VoterSetVersion set_version;
  /// The voter set itself; empty if the voter is expected to know it.
  std::vector<VoterSet> set;
  /// Members of the sets that were in use before, whose grants are also required while the voter
  /// set is being changed.
  NodeList previous_members;
  std::uint64_t duration_us = 0;
  /// If true, the voter only answers whether it would give the grant; it gives none and promises
  /// nothing.
  bool probe = false;
  MSGPACK_DEFINE(request, epoch, set_version, set, previous_members, duration_us, probe)
};

enum class GrantVerdict : std::uint8_t {
  kGranted,
  kNotMember,   ///< the voter is neither in the requested set nor in `previous_members`
  kOlderSet,    ///< the voter knows a newer set
  kUnknownSet,  ///< the request must include the set
  kSealed,      ///< the voter takes no further part in this generation (see SealRequest)
  kPromised,    ///< the voter promised an equal or higher epoch to another node
  kHeld,        ///< another node's grant has not expired
};

}  // namespace cypresswall::lease

MSGPACK_ADD_ENUM(cypresswall::lease::GrantVerdict)

namespace cypresswall::lease {

struct LeaseReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 1);
  std::uint64_t request = 0;
  GrantVerdict verdict = GrantVerdict::kNotMember;
  common::Epoch promised;
  /// The newest set that the voter knows, if the verdict is kOlderSet.
  std::vector<VoterSet> newer_set;
  /// Incremented each time the voter drops its records.
  std::uint32_t records_incarnation = 0;
  MSGPACK_DEFINE(request, verdict, promised, newer_set, records_incarnation)
};

/// The sender releases its grants under this epoch.
struct ReleaseNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 2);
  common::Epoch epoch;
  /// True if the sender never held the lease under this epoch and never will; another node may then
  /// use the epoch.
  bool never_held = false;
  MSGPACK_DEFINE(epoch, never_held)
};

/// The sender gave up the lease; the receiver should campaign immediately.
struct HandoverNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 3);
  common::Epoch epoch;
  MSGPACK_DEFINE(epoch)
};

/// Requests the records that a voter stores, in key order, starting after the key `after`.
struct FetchRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 4);
  std::uint64_t request = 0;
  common::Epoch epoch;
  RecordKey after;
  MSGPACK_DEFINE(request, epoch, after)
};

struct FetchReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 5);
  std::uint64_t request = 0;
  bool accepted = false;
  bool finished = false;
  std::vector<Record> records;
  std::uint32_t records_incarnation = 0;
  MSGPACK_DEFINE(request, accepted, finished, records, records_incarnation)
};

struct ReplicateRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 6);
  std::uint64_t request = 0;
  common::Epoch epoch;
  std::vector<Record> records;
  MSGPACK_DEFINE(request, epoch, records)
};

struct ReplicateReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 7);
  std::uint64_t request = 0;
  bool accepted = false;
  std::uint32_t records_incarnation = 0;
  MSGPACK_DEFINE(request, accepted, records_incarnation)
};

struct VoterSetRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 8);
  VoterSetVersion known;
  MSGPACK_DEFINE(known)
};

/// Carries the newest voter set that the sender knows.
struct VoterSetNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 9);
  VoterSet set;
  /// True if the holder committed the set; a receiver that is not a member then drops its records.
  bool committed = false;
  /// Number of the lowest generation that the sender still takes part in (see SealRequest); zero if
  /// the sender is not sealed.
  std::uint32_t sealed_before = 0;
  MSGPACK_DEFINE(set, committed, sealed_before)
};

/// Asks a voter to seal itself, that is, to take no further part in generations before
/// `generation`. Sent when the voters have lost their quorum, so that a new generation can begin
/// safely.
struct SealRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 10);
  std::uint32_t generation = 0;
  /// Version of the newest voter set that the sender knows, whose quorum the sender considers lost.
  /// A voter that knows a newer set refuses to be sealed.
  VoterSetVersion lost_set;
  MSGPACK_DEFINE(generation, lost_set)
};

struct SealReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 11);
  std::uint32_t generation = 0;
  bool sealed = false;
  VoterSet newest_set;
  MSGPACK_DEFINE(generation, sealed, newest_set)
};

}  // namespace cypresswall::lease
