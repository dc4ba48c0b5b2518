/// Messages by which a node asks the owner of an engine group to place a request, and reports the
/// progress of the attempt.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::routing {
enum class PlacementOutcome : std::uint8_t;
enum class AttemptStep : std::uint8_t;
}  // namespace cypresswall::routing
MSGPACK_ADD_ENUM(cypresswall::routing::PlacementOutcome)
MSGPACK_ADD_ENUM(cypresswall::routing::AttemptStep)
MSGPACK_ADD_ENUM(cypresswall::engines::StreamFailure)

namespace cypresswall::routing {

/// Asks for a placement on one of a group's engines. Fields as in RouteRequest; times in
/// microseconds.
struct PlacementRequest {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 5);

  /// Identifies the request; the answer contains the same number. Several requests may be sent for
  /// one stream.
  std::uint64_t number = 0;
  std::string group;
  std::string stream_id;
  common::ModelName model;
  std::string version;
  std::string adapter;
  std::uint32_t tokens = 0;
  std::vector<common::PieceHash> pieces;
  std::vector<std::uint32_t> piece_ends;
  std::uint32_t maximum_tokens = 0;
  std::uint32_t resume_from = 0;
  std::uint8_t priority = 0;
  std::int64_t first_token_limit = 0;
  std::int64_t between_tokens_limit = 0;
  std::vector<common::EngineName> excluded;
  // Unknown to earlier builds, which ignore them.
  std::int64_t finish_limit = 0;
  std::vector<common::EngineName> connected;
  bool requires_build = false;
  /// Empty unless `requires_build` is set.
  common::BuildName build;

  MSGPACK_DEFINE(number, group, stream_id, model, version, adapter, tokens, pieces, piece_ends,
                 maximum_tokens, resume_from, priority, first_token_limit, between_tokens_limit,
                 excluded, finish_limit, connected, requires_build, build)
};

enum class PlacementOutcome : std::uint8_t {
  kPlaced = 0,
  /// No engine of the group can meet the limits.
  kOverloaded = 1,
  /// The asked node can't choose now: it doesn't own the group, or knows no engine that may get
  /// work.
  kUnable = 2,
  /// No engine is known to serve the model.
  kUnknownModel = 3,
  /// No engine of the group has the required software build. Only sent to nodes that required one.
  kNoEngineOfBuild = 4,
};

/// Identifies an engine in messages.
struct PlacedEngine {
  common::EngineName name;
  common::Address address;

  MSGPACK_DEFINE(name, address)
};

/// Answers a PlacementRequest. Fields as in Route and RouteRefusal; times in microseconds.
struct PlacementAnswer {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 6);

  std::uint64_t number = 0;
  std::string stream_id;
  PlacementOutcome outcome = PlacementOutcome::kUnable;
  PlacedEngine engine;
  /// The engine that computes the prompt; its name is empty if `engine` computes the prompt.
  PlacedEngine prefill_engine;
  /// The engine from which cached tokens are copied; its name is empty if nothing is copied.
  PlacedEngine prefix_source;
  std::string version;
  std::int64_t expected_first_token = 0;
  std::int64_t expected_between_tokens = 0;
  std::int64_t expected_prompt = 0;
  std::int64_t expected_wait = 0;
  std::uint32_t expected_cached_tokens = 0;
  std::uint32_t expected_copied_tokens = 0;
  std::uint32_t known_holders = 0;
  common::PieceHash shared_part = 0;
  std::int64_t retry_after = 0;
  std::int64_t report_age = 0;
  std::string message;

  MSGPACK_DEFINE(number, stream_id, outcome, engine, prefill_engine, prefix_source, version,
                 expected_first_token, expected_between_tokens, expected_prompt, expected_wait,
                 expected_cached_tokens, expected_copied_tokens, known_holders, shared_part,
                 retry_after, report_age, message)
};

/// Progress of an attempt.
enum class AttemptStep : std::uint8_t {
  kPromptComputed = 0,
  kFirstToken = 1,
  /// The attempt ended with a complete answer.
  kCompleted = 2,
  /// The attempt ended without a complete answer. Also sent to release a placement that is not
  /// used.
  kEnded = 3,
  kFailed = 4,
  /// The attempt goes on; the message only carries a sample of its output.
  kOutput = 5,
};

/// Reports the progress of an attempt to the owner that placed it. The message is never
/// retransmitted: if it is lost, estimates are only less accurate until the engine's next reports.
struct AttemptProgress {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kRoutingFirst, 7);

  std::string stream_id;
  AttemptStep step = AttemptStep::kEnded;
  /// For kFailed only: the engine on which the attempt failed, and the kind of failure.
  common::EngineName engine;
  engines::StreamFailure failure = engines::StreamFailure::kNotTried;
  // A sample of the output (see OutputSample), in microseconds; no tokens if there is none. Unknown
  // to earlier builds, which ignore it.
  std::uint32_t output_tokens = 0;
  std::int64_t output_duration = 0;
  std::int64_t longest_pause = 0;

  MSGPACK_DEFINE(stream_id, step, engine, failure, output_tokens, output_duration, longest_pause)
};

PlacementRequest toMessage(const RouteRequest& request);
/// \return false if the message is invalid
bool fromMessage(const PlacementRequest& message, RouteRequest& request);
void setSample(AttemptProgress& progress, const OutputSample& sample);
OutputSample sampleOf(const AttemptProgress& progress);
PlacementAnswer toMessage(const RouteChoice& choice);
Route routeOf(const PlacementAnswer& answer);
RouteRefusal refusalOf(const PlacementAnswer& answer);

}  // namespace cypresswall::routing
