/// Messages by which the watcher of an engine tells the zone's other nodes what changed, and the
/// rule for what is worth telling. A steady engine costs one byte a publication, a changed one
/// about a dozen.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/time.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::routing {

/// The often changing part of a load report, in coarse units.
struct EngineDelta {
  /// Position of the engine among the zone's engine names in order.
  std::uint16_t index = 0;
  /// Bits 0-1 state, 2-3 role, 4 unreachable.
  std::uint8_t flags = 0;
  std::uint32_t running_streams = 0;
  std::uint32_t waiting_streams = 0;
  std::uint32_t output_streams = 0;
  std::uint32_t prefill_hundreds = 0;
  std::uint32_t decode_hundreds = 0;
  /// How long before sending the described moment was, in units of 10 ms.
  std::uint32_t age_centiseconds = 0;
  /// Tag of the rarely changing part that belongs to this load.
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

/// A change of an engine's prefix cache, passed on as far as the byte budget allows.
struct CacheHint {
  std::uint16_t index = 0;
  bool stored = true;
  std::uint64_t piece = 0;

  MSGPACK_DEFINE(index, stored, piece)
};

/// One publication of a watcher to one peer.
struct EngineDeltas {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 0);

  /// Digest of the zone's engine names; indexes mean nothing under another roster.
  std::uint32_t roster_digest = 0;
  /// Counts up per sender, so that late and doubled messages are dropped.
  std::uint64_t sequence = 0;
  std::vector<EngineDelta> changed;
  /// Engines polled since, whose last published load still holds; differences of ascending
  /// indexes, the first from zero.
  std::vector<std::uint16_t> confirmed;
  /// Engines polled since whose load changed but is not told for want of budget, in the same form.
  std::vector<std::uint16_t> deferred;
  /// Age of the oldest report behind `confirmed`, in units of 10 ms.
  std::uint32_t confirmed_age_centiseconds = 0;
  std::vector<EngineIdentity> identities;
  std::vector<CacheHint> cache_hints;

  MSGPACK_DEFINE(roster_digest, sequence, changed, confirmed, deferred, confirmed_age_centiseconds,
                 identities, cache_hints)
};

/// Asks the watcher for the rarely changing parts that the sender lacks.
struct IdentityRequest {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 1);

  std::uint32_t roster_digest = 0;
  std::vector<std::uint16_t> indexes;

  MSGPACK_DEFINE(roster_digest, indexes)
};

/// \return the digest that goes with a zone's ordered engine names.
std::uint32_t rosterDigest(const std::vector<common::EngineName>& names);

EngineDelta makeDelta(std::uint16_t index, const engines::EngineLoad& load, bool reachable,
                      common::Duration age);
EngineIdentity makeIdentity(std::uint16_t index, const engines::EngineLoad& load);
/// \return a tag that changes whenever any field of the identity but its index does.
std::uint16_t identityTag(const engines::EngineLoad& load);

/// Writes a delta's fields into a load. \return false if the engine can't be reached.
bool applyDelta(const EngineDelta& delta, engines::EngineLoad& load);
void applyIdentity(const EngineIdentity& identity, engines::EngineLoad& load);

/// Judges how much the change since the last publication would alter choices.
/// \return zero if not at all; from 1 up it is worth publishing, the greater the sooner
double changeSignificance(const EngineDelta& published, const EngineDelta& now,
                          const engines::EngineLoad& load);

std::vector<std::uint16_t> encodeDifferences(const std::vector<std::uint16_t>& ascending);
/// Inverse of encodeDifferences().
std::vector<std::uint16_t> decodeDifferences(const std::vector<std::uint16_t>& differences);

}  // namespace cypresswall::routing
