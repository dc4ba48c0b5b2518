/// Messages by which the watcher of an engine (the node that polls the engine) publishes load
/// changes to other nodes of the zone, and the rule that decides which changes are significant. An
/// unchanged engine takes one byte per publication, a changed one about twelve.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// The frequently changing part of a load report, in coarse units.
struct EngineDelta {
  /// Position of the engine in the sorted list of the zone's engine names.
  std::uint16_t index = 0;
  /// Bits 0-1 state, 2-3 role, 4 unreachable.
  std::uint8_t flags = 0;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_streams = 0;
  std::uint32_t output_streams = 0;
  /// Queued prompt tokens, in hundreds.
  std::uint32_t prefill_hundreds = 0;
  /// Queued output tokens, in hundreds.
  std::uint32_t decode_hundreds = 0;
  /// Age of the report when the message is sent, in units of 10 ms.
  std::uint32_t age_centiseconds = 0;
  /// identityTag() of the EngineIdentity that belongs to this load.
  std::uint16_t identity_tag = 0;

  MSGPACK_DEFINE(index, flags, running_streams, waiting_streams, output_streams, prefill_hundreds,
                 decode_hundreds, age_centiseconds, identity_tag)
};

/// The rarely changing part of a load report.
struct EngineIdentity {
  std::uint16_t index = 0;
  std::uint64_t incarnation = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::uint32_t maximum_streams = 0;
  std::uint32_t cache_pieces_total = 0;
  std::uint32_t prefill_tokens_per_second = 0;
  std::uint32_t decode_step_base_us = 0;
  std::uint32_t decode_step_per_stream_us = 0;
  std::uint32_t prefill_base_us = 0;
  std::uint32_t prefill_pair_picoseconds = 0;
  std::uint32_t kv_token_picoseconds = 0;

  MSGPACK_DEFINE(index, incarnation, model, version, adapters, maximum_streams, cache_pieces_total,
                 prefill_tokens_per_second, decode_step_base_us, decode_step_per_stream_us,
                 prefill_base_us, prefill_pair_picoseconds, kv_token_picoseconds)
};

/// A change of an engine's prefix cache. Published only if the byte budget permits.
struct CacheHint {
  std::uint16_t index = 0;
  bool stored = true;
  std::uint64_t piece = 0;

  MSGPACK_DEFINE(index, stored, piece)
};

/// One publication from a watcher to a peer.
struct EngineDeltas {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 0);

  /// Digest of the sender's list of the zone's engine names. Engine indexes are valid only for a
  /// receiver with the same list.
  std::uint32_t roster_digest = 0;
  /// Increases per sender, so that late and duplicate messages are dropped; zero in answers to
  /// IdentityRequest.
  std::uint64_t sequence = 0;
  std::vector<EngineDelta> changed;
  /// Indexes of the engines whose previously published load is still valid, encoded by
  /// encodeDifferences().
  std::vector<std::uint16_t> confirmed;
  /// Indexes of the reachable engines whose changed load did not fit into the byte budget and is
  /// published later, encoded by encodeDifferences().
  std::vector<std::uint16_t> deferred;
  /// Age of the oldest report among `confirmed`, in units of 10 ms.
  std::uint32_t confirmed_age_centiseconds = 0;
  std::vector<EngineIdentity> identities;
  std::vector<CacheHint> cache_hints;

  MSGPACK_DEFINE(roster_digest, sequence, changed, confirmed, deferred, confirmed_age_centiseconds,
                 identities, cache_hints)
};

/// Requests from the watcher of engines the identities that the sender of this message lacks.
struct IdentityRequest {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 1);

  std::uint32_t roster_digest = 0;
  std::vector<std::uint16_t> indexes;

  MSGPACK_DEFINE(roster_digest, indexes)
};

/// \return the digest of a zone's sorted engine names.
std::uint32_t rosterDigest(const std::vector<common::EngineName>& names);

EngineDelta makeDelta(std::uint16_t index, const engines::EngineLoad& load, bool reachable,
                      common::Duration age);
EngineIdentity makeIdentity(std::uint16_t index, const engines::EngineLoad& load);
/// \return a tag that changes with any field of the identity except its index.
std::uint16_t identityTag(const engines::EngineLoad& load);

/// Writes a delta's fields into a load. \return false if the engine is unreachable.
bool applyDelta(const EngineDelta& delta, engines::EngineLoad& load);
void applyIdentity(const EngineIdentity& identity, engines::EngineLoad& load);

/// Estimates how much the change since the last publication affects routing decisions.
/// \return zero if the change is not significant; otherwise at least 1, and larger for changes that
///   must be published sooner
double changeSignificance(const EngineDelta& published, const EngineDelta& now,
                          const engines::EngineLoad& load);

/// Delta-encodes ascending values, the first relative to zero.
std::vector<std::uint16_t> encodeDifferences(const std::vector<std::uint16_t>& ascending);
/// Inverse of encodeDifferences().
std::vector<std::uint16_t> decodeDifferences(const std::vector<std::uint16_t>& differences);

}  // namespace cypresswall::routing
