/// Messages between the lease holder, candidates and voters of one zone.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/lease/record_store.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

/// Requests a grant from a voter, as a candidate or for renewal.
struct LeaseRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 0);
  std::uint64_t request = 0;
  common::Epoch epoch;
  /// The voter set that the grant is for; `set` is empty if the voter is expected to know it.
  VoterSetVersion set_version;
  std::vector<VoterSet> set;
  /// Members of the previous set, whose grants are also required during a change.
  NodeList previous_members;
  std::uint64_t duration_us = 0;
  /// Asks only whether a grant would be given; the voter makes no promise.
  bool probe = false;
  MSGPACK_DEFINE(request, epoch, set_version, set, previous_members, duration_us, probe)
};

enum class GrantVerdict : std::uint8_t {
  kGranted,
  kNotMember,   ///< the voter is in none of the named sets
  kOlderSet,    ///< the voter knows a newer set
  kUnknownSet,  ///< the request must include the set
  kSealed,      ///< the voter is sealed against this generation
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
  /// The sender never held the lease under this epoch and never will; another node may use it.
  bool never_held = false;
  MSGPACK_DEFINE(epoch, never_held)
};

/// The sender gave up the lease; the receiver should campaign immediately.
struct HandoverNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 3);
  common::Epoch epoch;
  MSGPACK_DEFINE(epoch)
};

/// Requests the records of a voter with keys after `after`.
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
  /// The holder committed the set; a node that is not a member drops its records.
  bool committed = false;
  /// The sender no longer gives grants for generations before this one; zero if it is not sealed.
  std::uint32_t sealed_before = 0;
  MSGPACK_DEFINE(set, committed, sealed_before)
};

/// Seals a voter of a lost quorum: it must no longer take part in generations before `generation`.
struct SealRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 10);
  std::uint32_t generation = 0;
  /// The newest set that the sender knows and whose quorum it considers lost; a voter that knows a
  /// newer set refuses.
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
