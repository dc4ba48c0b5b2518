#include "cypresswall/routing/engine_deltas.h"

#include <algorithm>
#include <cmath>

#include "cypresswall/common/prompt.h"

namespace cypresswall::routing {
namespace {

constexpr double kPicosecondsPerSecond = 1e12;
/// Larger values are clamped to this one: 4 ms per token in picoseconds, 4e9 tokens per second.
constexpr double kMaximumUnits = 4e9;

constexpr std::uint64_t kTokensPerUnit = 100;
constexpr auto kAgeUnit = std::chrono::milliseconds(10);
constexpr unsigned kRoleShift = 2;
constexpr std::uint8_t kTwoBits = 3;
constexpr std::uint8_t kUnreachableFlag = 1U << 4;
/// A change of the time to compute the queued prompts is significant from this duration.
constexpr double kSignificantWaitSeconds = 0.025;
/// A change of the number of streams is significant from this share of the published number, but
/// not below kSignificantStreams.
constexpr double kSignificantStreamShare = 0.125;
constexpr double kSignificantStreams = 2.0;
/// Significance of a change of state, role, reachability or identity. Ranks it above changes of
/// load.
constexpr double kUrgent = 1000.0;

std::uint32_t tokensToUnits(std::uint64_t tokens) {
  return static_cast<std::uint32_t>((tokens + kTokensPerUnit / 2) / kTokensPerUnit);
}

/// Rounds to whole units. With truncation, some values would lose a unit when a peer encodes the
/// decoded value again, so that its tag would never match the published one, and peers would
/// request the identity over and over.
std::uint32_t roundToUnits(double value) {
  return static_cast<std::uint32_t>(std::llround(std::clamp(value, 0.0, kMaximumUnits)));
}

double difference(std::uint32_t left, std::uint32_t right) {
  return std::abs(static_cast<double>(left) - static_cast<double>(right));
}

double streamSignificance(const EngineDelta& published, const EngineDelta& now) {
  const double streams = published.running_streams + published.waiting_streams;
  const double step = std::max(kSignificantStreams, kSignificantStreamShare * streams);
  const double change = difference(published.running_streams + published.waiting_streams,
                                   now.running_streams + now.waiting_streams);
  return change / step;
}

double queueSignificance(const EngineDelta& published, const EngineDelta& now, double speed) {
  if (speed <= 0) {
    return 0;
  }
  const double tokens = difference(published.prefill_hundreds, now.prefill_hundreds) *
                        static_cast<double>(kTokensPerUnit);
  return tokens / speed / kSignificantWaitSeconds;
}

}  // namespace

std::uint32_t rosterDigest(const std::vector<common::EngineName>& names) {
  std::uint64_t digest = 0;
  for (const auto& name : names) {
    digest = common::hash64(name, digest + 1);
  }
  return static_cast<std::uint32_t>(digest);
}

std::uint16_t identityTag(const engines::EngineLoad& load) {
  EngineIdentity identity = makeIdentity(0, load);
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, identity);
  return static_cast<std::uint16_t>(common::hash64({buffer.data(), buffer.size()}));
}

EngineDelta makeDelta(std::uint16_t index, const engines::EngineLoad& load, bool reachable,
                      common::Duration age) {
  EngineDelta delta;
  delta.index = index;
  delta.flags = static_cast<std::uint8_t>(static_cast<unsigned>(load.state) |
                                          (static_cast<unsigned>(load.role) << kRoleShift));
  if (!reachable) {
    delta.flags |= kUnreachableFlag;
  }
  delta.running_streams = load.running_streams;
  delta.waiting_streams = load.waiting_streams;
  delta.output_streams = load.output_streams.value_or(load.running_streams);
  delta.prefill_hundreds = tokensToUnits(load.queued_prefill_tokens);
  delta.decode_hundreds = tokensToUnits(load.queued_decode_tokens);
  delta.age_centiseconds =
      static_cast<std::uint32_t>(std::max(age, common::Duration{0}) / kAgeUnit);
  delta.identity_tag = identityTag(load);
  return delta;
}

EngineIdentity makeIdentity(std::uint16_t index, const engines::EngineLoad& load) {
  EngineIdentity identity;
  identity.index = index;
  identity.incarnation = load.incarnation;
  identity.model = load.model;
  identity.version = load.version;
  identity.adapters = load.adapters;
  identity.maximum_streams = load.maximum_streams;
  identity.cache_pieces_total = load.cache_pieces_total;
  identity.prefill_tokens_per_second = roundToUnits(load.prefill_tokens_per_second);
  identity.decode_step_base_us = static_cast<std::uint32_t>(load.decode_step_base.count());
  identity.decode_step_per_stream_us =
      static_cast<std::uint32_t>(load.decode_step_per_stream.count());
  identity.prefill_base_us = static_cast<std::uint32_t>(load.prefill_base.count());
  identity.prefill_pair_picoseconds =
      roundToUnits(load.prefill_seconds_per_pair * kPicosecondsPerSecond);
  identity.kv_token_picoseconds = roundToUnits(load.kv_seconds_per_token * kPicosecondsPerSecond);
  return identity;
}

bool applyDelta(const EngineDelta& delta, engines::EngineLoad& load) {
  const auto state = delta.flags & kTwoBits;
  const auto role = (delta.flags >> kRoleShift) & kTwoBits;
  load.state = state <= static_cast<int>(engines::EngineState::kFailed)
                   ? static_cast<engines::EngineState>(state)
                   : engines::EngineState::kFailed;
  load.role = role <= static_cast<int>(engines::EngineRole::kDecode)
                  ? static_cast<engines::EngineRole>(role)
                  : engines::EngineRole::kMixed;
  load.running_streams = delta.running_streams;
  load.waiting_streams = delta.waiting_streams;
  load.output_streams = delta.output_streams;
  load.queued_prefill_tokens = delta.prefill_hundreds * kTokensPerUnit;
  load.queued_decode_tokens = delta.decode_hundreds * kTokensPerUnit;
  return (delta.flags & kUnreachableFlag) == 0;
}

void applyIdentity(const EngineIdentity& identity, engines::EngineLoad& load) {
  load.incarnation = identity.incarnation;
  load.model = identity.model;
  load.version = identity.version;
  load.adapters = identity.adapters;
  load.maximum_streams = identity.maximum_streams;
  load.cache_pieces_total = identity.cache_pieces_total;
  load.prefill_tokens_per_second = identity.prefill_tokens_per_second;
  load.decode_step_base = common::Duration(identity.decode_step_base_us);
  load.decode_step_per_stream = common::Duration(identity.decode_step_per_stream_us);
  load.prefill_base = common::Duration(identity.prefill_base_us);
  load.prefill_seconds_per_pair = identity.prefill_pair_picoseconds / kPicosecondsPerSecond;
  load.kv_seconds_per_token = identity.kv_token_picoseconds / kPicosecondsPerSecond;
}

double changeSignificance(const EngineDelta& published, const EngineDelta& now,
                          const engines::EngineLoad& load) {
  if (published.flags != now.flags || published.identity_tag != now.identity_tag) {
    return kUrgent;
  }
  const double streams = streamSignificance(published, now);
  const double queue = queueSignificance(published, now, load.prefill_tokens_per_second);
  const double greater = std::max(streams, queue);
  return greater < 1.0 ? 0.0 : greater;
}

std::vector<std::uint16_t> encodeDifferences(const std::vector<std::uint16_t>& ascending) {
  std::vector<std::uint16_t> differences;
  differences.reserve(ascending.size());
  std::uint16_t previous = 0;
  for (const std::uint16_t value : ascending) {
    differences.push_back(static_cast<std::uint16_t>(value - previous));
    previous = value;
  }
  return differences;
}

std::vector<std::uint16_t> decodeDifferences(const std::vector<std::uint16_t>& differences) {
  std::vector<std::uint16_t> sums;
  sums.reserve(differences.size());
  std::uint16_t sum = 0;
  for (const std::uint16_t value : differences) {
    sum = static_cast<std::uint16_t>(sum + value);
    sums.push_back(sum);
  }
  return sums;
}

}  // namespace cypresswall::routing
