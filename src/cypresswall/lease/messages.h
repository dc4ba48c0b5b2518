/// Messages between the lease holder, candidates and voters of one zone.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/lease/record_store.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

/// Asks a voter for a grant, as a candidate or to renew.
struct LeaseRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 0);
  std::uint64_t request = 0;
  common::Epoch epoch;
  /// The voter set that the grant is for; the set itself is left out if the voter knows it.
  VoterSetVersion set_version;
  std::vector<VoterSet> set;
  /// Members of the set before, whose grants are needed as well during a change.
  NodeList previous_members;
  std::uint64_t duration_us = 0;
  /// Only asks whether a grant would be given; promises nothing.
  bool probe = false;
  MSGPACK_DEFINE(request, epoch, set_version, set, previous_members, duration_us, probe)
};

enum class GrantVerdict : std::uint8_t {
  kGranted,
  kNotMember,   ///< the voter is in none of the named sets
  kOlderSet,    ///< the voter knows a newer set
  kUnknownSet,  ///< the set must be sent along
  kSealed,      ///< the voter takes part in later generations only
  kPromised,    ///< the voter promised an epoch as high to somebody else
  kHeld,        ///< somebody else's grant has not run out
};

}  // namespace cypresswall::lease

MSGPACK_ADD_ENUM(cypresswall::lease::GrantVerdict)

namespace cypresswall::lease {

struct LeaseReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 1);
  std::uint64_t request = 0;
  GrantVerdict verdict = GrantVerdict::kNotMember;
  common::Epoch promised;
  /// The newest set that the voter knows, if it refused for a set.
  std::vector<VoterSet> newer_set;
  /// Changes each time the voter forgets its records.
  std::uint32_t records_incarnation = 0;
  MSGPACK_DEFINE(request, verdict, promised, newer_set, records_incarnation)
};

/// The sender's grants under this epoch are given back.
struct ReleaseNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 2);
  common::Epoch epoch;
  /// The sender never won the epoch and never will, so that somebody else may.
  bool never_held = false;
  MSGPACK_DEFINE(epoch, never_held)
};

/// The sender gave up the lease; the receiver should campaign at once.
struct HandoverNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 3);
  common::Epoch epoch;
  MSGPACK_DEFINE(epoch)
};

/// Asks a voter for its records after `after`.
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

/// The newest voter set that the sender knows.
struct VoterSetNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 9);
  VoterSet set;
  /// The holder committed the set; a node that it leaves out forgets its records.
  bool committed = false;
  /// Generations before this one get no grant of the sender any more; zero if it was never sealed.
  std::uint32_t sealed_before = 0;
  MSGPACK_DEFINE(set, committed, sealed_before)
};

/// Asks a voter of a lost quorum never again to take part in generations before `generation`.
struct SealRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 10);
  std::uint32_t generation = 0;
  /// The newest set that the sender knows, whose quorum it found lost; a voter that knows a newer
  /// one refuses.
  VoterSetVersion judged;
  MSGPACK_DEFINE(generation, judged)
};

struct SealReply {
  static constexpr auto kType = api::messageType(api::MessageType::kLeaseFirst, 11);
  std::uint32_t generation = 0;
  bool sealed = false;
  VoterSet newest_set;
  MSGPACK_DEFINE(generation, sealed, newest_set)
};

}  // namespace cypresswall::lease
