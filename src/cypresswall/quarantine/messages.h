/// Messages between the nodes of a zone about requests that crash engines.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

/// A crash of an engine while it ran a request.
struct EngineCrash {
  /// Hash of the engine's name.
  std::uint64_t engine = 0;
  std::uint32_t age_milliseconds = 0;
  /// The engine had given more of the answer than its first token. Not sent by earlier builds.
  bool output_began = false;
  /// For a crash under a part of a prompt: the next part that other prompts may share; zero if
  /// there is none. Earlier builds read and send this one only.
  common::RequestFingerprint next_part = 0;
  /// The other parts of that prompt that other prompts may share, before and behind the part. Not
  /// sent by earlier builds.
  std::vector<common::RequestFingerprint> earlier_parts;
  std::vector<common::RequestFingerprint> later_parts;
  MSGPACK_DEFINE(engine, age_milliseconds, output_began, next_part, earlier_parts, later_parts)
};

/// Sent to the two nodes that count the crashes of a request. Contains all recent crashes that the
/// sender observed, so that a node that has only just become a counting node gets the earlier ones.
struct CrashReport {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 0);
  common::RequestFingerprint request = 0;
  /// Empty if the request was answered completely; the receiver then forgets the crashes reported
  /// earlier.
  std::vector<EngineCrash> crashes;
  /// `request` is the fingerprint of a part of prompts. Earlier builds ignore the field.
  bool is_part = false;
  /// A later part that has been answered, so that it did not cause the crashes; zero if none.
  /// Earlier builds ignore the field.
  common::RequestFingerprint exonerated_part = 0;
  MSGPACK_DEFINE(request, crashes, is_part, exonerated_part)
};

/// A quarantined request, or one that has been released.
struct QuarantinedRequest {
  common::RequestFingerprint request = 0;
  /// Time until the quarantine ends. Zero if the request is released because it was answered, which
  /// means that the engines crashed for another reason. A release takes precedence over quarantine
  /// notices from other nodes.
  std::uint32_t milliseconds_left = 0;
  /// For a part of prompts: time since the first crash that counts, so that an answer since then
  /// releases it. Zero for a whole request, which any recent answer releases. Earlier builds ignore
  /// the field.
  std::uint32_t evidence_milliseconds = 0;
  MSGPACK_DEFINE(request, milliseconds_left, evidence_milliseconds)
};

/// Gossiped when a request is quarantined or released, and announced periodically to a few nodes.
struct QuarantineNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 1);
  std::vector<QuarantinedRequest> requests;
  MSGPACK_DEFINE(requests)
};

/// Sent by a counting node to a node that reported a crash under a part of prompts, if a prompt
/// with the part has been answered since: the part did not cause the crash.
struct AnsweredPart {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 2);
  common::RequestFingerprint part = 0;
  MSGPACK_DEFINE(part)
};

/// Asks when prompts with these parts were last answered. Sent by a counting node that has to
/// decide which of them has caused crashes.
struct PartAnswersRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 3);
  /// The part whose crashes are examined.
  common::RequestFingerprint examined = 0;
  std::vector<common::RequestFingerprint> parts;
  MSGPACK_DEFINE(examined, parts)
};

/// Time since a prompt with the part was last answered.
struct PartAnswerAge {
  common::RequestFingerprint part = 0;
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(part, age_milliseconds)
};

/// Reply to a PartAnswersRequest, with the parts that the sender has had answered recently.
struct PartAnswers {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 4);
  common::RequestFingerprint examined = 0;
  std::vector<PartAnswerAge> answers;
  MSGPACK_DEFINE(examined, answers)
};

}  // namespace cypresswall::quarantine
