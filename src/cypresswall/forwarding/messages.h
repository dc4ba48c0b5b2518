/// Messages by which a node that reaches no server has a request executed by another node of its
/// zone. A request is known by a number that its sender never uses again. The parts of an answer
/// have sequence numbers, since messages may overtake each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/header_field.h"
#include "cypresswall/common/prompt.h"

namespace cypresswall::forwarding {

constexpr api::MessageType forwardingMessage(std::uint16_t offset) {
  return api::messageType(api::MessageType::kForwardingFirst, offset);
}

struct ForwardedHeader {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value)
};

/// The caller's request itself, and what its arrival node found out about it.
struct ForwardedRequest {
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::string tenant;
  std::uint32_t quota_tokens = 0;
  /// Urgency set for the tenant; negative if none is set.
  std::int32_t urgency = -1;
  std::string service;
  std::string method;
  std::string target;
  std::vector<ForwardedHeader> headers;
  std::string body;
  /// Time left for the complete answer; zero if the caller set no limit.
  std::uint32_t time_limit_milliseconds = 0;
  MSGPACK_DEFINE(request_id, fingerprint, tenant, quota_tokens, urgency, service, method, target,
                 headers, body, time_limit_milliseconds)
};

/// Shape of a prompt, as in common::PromptShape.
struct ForwardedPromptShape {
  std::uint32_t tokens = 0;
  std::vector<common::PieceHash> pieces;
  std::vector<std::uint32_t> piece_ends;
  std::uint64_t content_hash = 0;
  MSGPACK_DEFINE(tokens, pieces, piece_ends, content_hash)
};

/// Asks the receiver to execute a model request. Answered with ForwardAcknowledged, then with
/// ForwardedHead, ForwardedToken and ForwardedModelEnd; or with ForwardRejected alone.
struct ForwardedModelCall {
  static constexpr auto kType = forwardingMessage(0);
  std::uint64_t number = 0;
  ForwardedRequest request;
  std::string prompt;
  std::uint32_t maximum_tokens = 0;
  ForwardedPromptShape shape;
  /// The request is passed through to the engine unchanged.
  bool passes_through = false;
  // See execution::AnswerContinuation. Unknown to earlier builds, which ignore it.
  bool continues = false;
  std::string began_as;
  std::string position;
  MSGPACK_DEFINE(number, request, prompt, maximum_tokens, shape, passes_through, continues,
                 began_as, position)
};

/// Asks the receiver to execute a request to a plain service. Answered with ForwardAcknowledged,
/// then with ForwardedServiceAnswer; or with ForwardRejected alone.
struct ForwardedServiceCall {
  static constexpr auto kType = forwardingMessage(1);
  std::uint64_t number = 0;
  ForwardedRequest request;
  std::string idempotency_key;
  MSGPACK_DEFINE(number, request, idempotency_key)
};

/// The receiver executes the request.
struct ForwardAcknowledged {
  static constexpr auto kType = forwardingMessage(2);
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// The receiver did not and will not execute the request: it reaches no server itself, leaves, or
/// serves too many requests of other nodes.
struct ForwardRejected {
  static constexpr auto kType = forwardingMessage(3);
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// Head of a passed-through answer.
struct ForwardedHead {
  static constexpr auto kType = forwardingMessage(4);
  std::uint64_t number = 0;
  std::uint32_t sequence = 0;
  int status = 0;
  std::vector<ForwardedHeader> headers;
  MSGPACK_DEFINE(number, sequence, status, headers)
};

struct ForwardedToken {
  static constexpr auto kType = forwardingMessage(5);
  std::uint64_t number = 0;
  std::uint32_t sequence = 0;
  std::uint32_t index = 0;
  std::string text;
  MSGPACK_DEFINE(number, sequence, index, text)
};

/// An execution::ExecutionError.
struct ForwardedError {
  std::uint8_t kind = 0;
  std::uint8_t outcome = 0;
  std::string message;
  std::uint32_t retry_after_milliseconds = 0;
  MSGPACK_DEFINE(kind, outcome, message, retry_after_milliseconds)
};

/// End of a model request: complete, or with an error.
struct ForwardedModelEnd {
  static constexpr auto kType = forwardingMessage(6);
  std::uint64_t number = 0;
  std::uint32_t sequence = 0;
  bool complete = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::string finish_reason;
  ForwardedError error;
  MSGPACK_DEFINE(number, sequence, complete, prompt_tokens, cached_prompt_tokens, output_tokens,
                 finish_reason, error)
};

/// Final answer of a request to a plain service.
struct ForwardedServiceAnswer {
  static constexpr auto kType = forwardingMessage(7);
  std::uint64_t number = 0;
  std::uint8_t outcome = 0;
  /// Zero if no response of a back end is returned.
  int status = 0;
  std::vector<ForwardedHeader> headers;
  std::string body;
  ForwardedError error;
  MSGPACK_DEFINE(number, outcome, status, headers, body, error)
};

/// The caller disconnected, or the sender has given the request up.
struct ForwardCancelled {
  static constexpr auto kType = forwardingMessage(8);
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

/// The caller reads too slowly (`paused`), or reads on.
struct ForwardFlow {
  static constexpr auto kType = forwardingMessage(9);
  std::uint64_t number = 0;
  bool paused = false;
  MSGPACK_DEFINE(number, paused)
};

/// Sent at intervals for each open request, since messages may be lost. Answered with
/// ForwardAcknowledged or, if the receiver does not execute the request any more, with
/// ForwardEnded.
struct ForwardCheck {
  static constexpr auto kType = forwardingMessage(10);
  std::uint64_t number = 0;
  /// As in the last ForwardFlow.
  bool paused = false;
  MSGPACK_DEFINE(number, paused)
};

struct ForwardEnded {
  static constexpr auto kType = forwardingMessage(11);
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

}  // namespace cypresswall::forwarding
