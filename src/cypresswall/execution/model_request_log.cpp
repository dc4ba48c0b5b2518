/// Log events about the routing and the progress of a model request.
#include <chrono>
#include <cmath>

#include "cypresswall/execution/model_request.h"

namespace cypresswall::execution {
namespace {

std::int64_t inMilliseconds(common::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t inWholeTokens(double tokens) { return std::llround(tokens); }

std::string nameOf(const std::optional<engines::EngineEndpoint>& engine) {
  return engine ? engine->name : std::string();
}

}  // namespace

void ModelRequest::logRoute() const {
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "request_routed")
      .field("request", call_.request_id)
      .field("fingerprint", common::toString(call_.fingerprint))
      .field("service", call_.service)
      .field("engine", route_->engine.name)
      .field("build", route_->build)
      .field("prefill_engine", nameOf(route_->prefill_engine))
      .field("chosen_by", route_->chosen_by.address)
      .field("tokens_given", tokens_given_)
      .field("prompt_tokens", target_.shape.tokens)
      .field("cached_tokens", route_->expected_cached_tokens)
      .field("shared_part", route_->shared_part)
      .field("known_holders", route_->known_holders)
      .field("copied_tokens", route_->expected_copied_tokens)
      .field("copied_from", nameOf(route_->prefix_source))
      .field("expected_wait_ms", inMilliseconds(route_->expected_wait))
      .field("expected_prompt_ms", inMilliseconds(route_->expected_prompt))
      .field("expected_first_token_ms", inMilliseconds(route_->expected_first_token))
      .field("time_left_ms", inMilliseconds(timeToFirstToken()));
}

void ModelRequest::logRefusal(const routing::RouteRefusal& refusal) const {
  if (!refusal.best) {
    return;
  }
  const routing::RefusedOffer& best = *refusal.best;
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "request_refused")
      .field("request", call_.request_id)
      .field("service", call_.service)
      .field("engine", best.engine)
      .field("expected_wait_ms", inMilliseconds(best.expected_wait))
      .field("expected_first_token_ms", inMilliseconds(best.expected_first_token))
      .field("limit_ms", inMilliseconds(best.first_token_limit))
      .field("report_age_ms", inMilliseconds(best.report_age))
      .field("retry_after_ms", inMilliseconds(refusal.retry_after));
}

void ModelRequest::logPrompt() const {
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "prompt_computed")
      .field("request", call_.request_id)
      .field("engine", route_->prefill_engine->name)
      .field("after_ms", millisecondsSinceRouted());
}

void ModelRequest::logFirstToken() const {
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "first_token")
      .field("request", call_.request_id)
      .field("engine", route_->engine.name)
      .field("build", route_->build)
      .field("after_ms", millisecondsSinceRouted());
}

void ModelRequest::logContinuation() const {
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "answer_taken_up")
      .field("request", call_.request_id)
      .field("fingerprint", common::toString(call_.fingerprint))
      .field("service", call_.service)
      .field("began_as", call_.continues->began_as)
      .field("position", call_.continues->position);
}

void ModelRequest::logMove(const StreamOutlook& outlook, const routing::Route& route) const {
  common::LogEvent event(core_.process.log, common::LogLevel::kInfo, "stream_moved");
  event.field("request", call_.request_id)
      .field("from", route_->engine.name)
      .field("to", route.engine.name)
      .field("tokens_given", tokens_given_)
      .field("tokens_left", inWholeTokens(outlook.tokens_left))
      .field("gap_ms", inMilliseconds(outlook.gap));
  if (outlook.time_left) {
    event.field("time_left_ms", inMilliseconds(*outlook.time_left));
  }
}

void ModelRequest::logIfTooSlow() const {
  const auto now = core_.process.clock.now();
  const auto gap = route_ && token_seen_in_attempt_ ? output_pace_.gap(now) : std::nullopt;
  if (!gap) {
    return;
  }
  StreamOutlook outlook;
  outlook.gap = *gap;
  outlook.tokens_left = tokensLeft().value_or(1);
  outlook.between_tokens_limit = target_.service.between_tokens_limit;
  common::Duration needed = outlook.between_tokens_limit;
  if (deadline_) {
    const double tokens = tokens_given_ - first_token_index_ + outlook.tokens_left;
    outlook.time_left = *deadline_ - now;
    needed = common::fromSeconds(common::toSeconds(*deadline_ - first_token_at_) / tokens);
  }
  if (!isTooSlow(outlook) || *gap <= needed) {
    return;
  }
  common::LogEvent(core_.process.log, common::LogLevel::kInfo, "output_too_slow")
      .field("request", call_.request_id)
      .field("engine", route_->engine.name)
      .field("tokens_given", tokens_given_)
      .field("tokens_left", inWholeTokens(outlook.tokens_left))
      .field("gap_ms", inMilliseconds(*gap))
      .field("needed_gap_ms", inMilliseconds(needed))
      .field("stayed", refused_move_ ? toString(*refused_move_) : "");
}

std::int64_t ModelRequest::millisecondsSinceRouted() const {
  return inMilliseconds(core_.process.clock.now() - record_->attempts.back().started);
}

}  // namespace cypresswall::execution
