#include "cypresswall/routing/placement_messages.h"

#include <algorithm>
#include <optional>

namespace cypresswall::routing {
namespace {

/// Limits on excluded engines, prompt pieces, tokens and times in one request. They bound the work
/// that a faulty peer can cause, and are far above the values of valid requests.
constexpr std::size_t kMaximumExcluded = 64;
constexpr std::size_t kMaximumPieces = 16384;
constexpr std::uint32_t kMaximumTokens = 1U << 28U;
constexpr std::int64_t kMaximumMicroseconds = 3'600'000'000;

common::Duration micros(std::int64_t count) {
  return common::Duration(std::clamp<std::int64_t>(count, 0, kMaximumMicroseconds));
}

PlacedEngine toMessage(const std::optional<engines::EngineEndpoint>& engine) {
  return engine ? PlacedEngine{engine->name, engine->address} : PlacedEngine{};
}

std::optional<engines::EngineEndpoint> fromMessage(const PlacedEngine& engine) {
  if (engine.name.empty()) {
    return std::nullopt;
  }
  return engines::EngineEndpoint{engine.name, engine.address};
}

RouteFailure reasonOf(PlacementOutcome outcome) {
  switch (outcome) {
    case PlacementOutcome::kUnknownModel:
      return RouteFailure::kUnknownModel;
    case PlacementOutcome::kNoEngineOfBuild:
      return RouteFailure::kNoEngineOfBuild;
    default:
      return RouteFailure::kOverloaded;
  }
}

PlacementOutcome outcomeOf(const RouteRefusal& refusal) {
  if (refusal.reason == RouteFailure::kUnknownModel) {
    return PlacementOutcome::kUnknownModel;
  }
  if (refusal.reason == RouteFailure::kNoEngineOfBuild) {
    return PlacementOutcome::kNoEngineOfBuild;
  }
  return refusal.best ? PlacementOutcome::kOverloaded : PlacementOutcome::kUnable;
}

PlacementAnswer answerWith(const Route& route) {
  PlacementAnswer answer;
  answer.outcome = PlacementOutcome::kPlaced;
  answer.engine = {route.engine.name, route.engine.address};
  answer.prefill_engine = toMessage(route.prefill_engine);
  answer.prefix_source = toMessage(route.prefix_source);
  answer.version = route.version;
  answer.expected_first_token = route.expected_first_token.count();
  answer.expected_between_tokens = route.expected_between_tokens.count();
  answer.expected_prompt = route.expected_prompt.count();
  answer.expected_wait = route.expected_wait.count();
  answer.expected_cached_tokens = route.expected_cached_tokens;
  answer.expected_copied_tokens = route.expected_copied_tokens;
  answer.known_holders = route.known_holders;
  answer.shared_part = route.shared_part;
  return answer;
}

PlacementAnswer answerWith(const RouteRefusal& refusal) {
  PlacementAnswer answer;
  answer.outcome = outcomeOf(refusal);
  answer.retry_after = refusal.retry_after.count();
  answer.message = refusal.message;
  if (refusal.best) {
    answer.engine.name = refusal.best->engine;
    answer.expected_wait = refusal.best->expected_wait.count();
    answer.expected_first_token = refusal.best->expected_first_token.count();
    answer.report_age = refusal.best->report_age.count();
  }
  return answer;
}

}  // namespace

PlacementRequest toMessage(const RouteRequest& request) {
  PlacementRequest message;
  message.stream_id = request.stream_id;
  message.model = request.model;
  message.version = request.version;
  message.adapter = request.adapter;
  message.tokens = request.shape.tokens;
  message.pieces = request.shape.pieces;
  message.piece_ends = request.shape.piece_ends;
  message.maximum_tokens = request.maximum_tokens;
  message.resume_from = request.resume_from;
  message.priority = request.priority;
  message.first_token_limit = request.first_token_limit.count();
  message.between_tokens_limit = request.between_tokens_limit.count();
  message.excluded = request.excluded;
  message.finish_limit = request.finish_limit.count();
  message.connected = request.connected;
  message.requires_build = request.build.has_value();
  message.build = request.build.value_or("");
  return message;
}

bool fromMessage(const PlacementRequest& message, RouteRequest& request) {
  const bool ends_match =
      message.piece_ends.empty() || message.piece_ends.size() == message.pieces.size();
  const bool ends_sorted = std::is_sorted(message.piece_ends.begin(), message.piece_ends.end());
  if (!ends_match || !ends_sorted || message.pieces.size() > kMaximumPieces ||
      message.excluded.size() > kMaximumExcluded || message.tokens > kMaximumTokens ||
      message.maximum_tokens > kMaximumTokens || message.resume_from > kMaximumTokens ||
      message.connected.size() > kMaximumConnectedEngines) {
    return false;
  }
  request.stream_id = message.stream_id;
  request.model = message.model;
  request.version = message.version;
  request.adapter = message.adapter;
  request.shape.tokens = message.tokens;
  request.shape.pieces = message.pieces;
  request.shape.piece_ends = message.piece_ends;
  request.maximum_tokens = message.maximum_tokens;
  request.resume_from = message.resume_from;
  request.priority = message.priority;
  request.first_token_limit = micros(message.first_token_limit);
  request.between_tokens_limit = micros(message.between_tokens_limit);
  request.excluded = message.excluded;
  request.finish_limit = micros(message.finish_limit);
  request.connected = message.connected;
  if (message.requires_build) {
    request.build = message.build;
  }
  return true;
}

void setSample(AttemptProgress& progress, const OutputSample& sample) {
  progress.output_tokens = sample.tokens;
  progress.output_duration = sample.duration.count();
  progress.longest_pause = sample.longest_pause.count();
}

OutputSample sampleOf(const AttemptProgress& progress) {
  return {progress.output_tokens, micros(progress.output_duration), micros(progress.longest_pause)};
}

PlacementAnswer toMessage(const RouteChoice& choice) {
  const auto* const route = std::get_if<Route>(&choice);
  return route != nullptr ? answerWith(*route) : answerWith(std::get<RouteRefusal>(choice));
}

Route routeOf(const PlacementAnswer& answer) {
  Route route;
  route.engine = {answer.engine.name, answer.engine.address};
  route.prefill_engine = fromMessage(answer.prefill_engine);
  route.prefix_source = fromMessage(answer.prefix_source);
  route.version = answer.version;
  route.expected_first_token = micros(answer.expected_first_token);
  route.expected_between_tokens = micros(answer.expected_between_tokens);
  route.expected_prompt = micros(answer.expected_prompt);
  route.expected_wait = micros(answer.expected_wait);
  route.expected_cached_tokens = answer.expected_cached_tokens;
  route.expected_copied_tokens = answer.expected_copied_tokens;
  route.known_holders = answer.known_holders;
  route.shared_part = answer.shared_part;
  return route;
}

RouteRefusal refusalOf(const PlacementAnswer& answer) {
  RouteRefusal refusal;
  refusal.reason = reasonOf(answer.outcome);
  refusal.retry_after = micros(answer.retry_after);
  refusal.message = answer.message;
  if (answer.outcome == PlacementOutcome::kOverloaded) {
    refusal.best = RefusedOffer{answer.engine.name, micros(answer.expected_wait),
                                micros(answer.expected_first_token), common::Duration{0},
                                micros(answer.report_age)};
  }
  return refusal;
}

}  // namespace cypresswall::routing
