/// Moves of a model request from an engine whose output is too slow to another one.
#include <algorithm>
#include <utility>

#include "cypresswall/execution/model_request.h"

namespace cypresswall::execution {

void ModelRequest::watchPace() {
  const StreamMoveSettings& settings = core_.moves.settings();
  if (!settings.enabled) {
    return;
  }
  pace_check_due_ = core_.process.clock.now() + settings.check_interval;
  pace_timer_ =
      core_.process.scheduler.schedule(settings.check_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->pace_timer_ = 0;
          self->onPaceCheck();
        }
      });
}

void ModelRequest::stopWatchingPace() {
  core_.process.scheduler.cancel(std::exchange(pace_timer_, 0));
  too_slow_ = false;
  if (!requested_move_.empty()) {
    core_.router.abandonPlacement(std::exchange(requested_move_, {}));
  }
}

/// A stream must be too slow at two consecutive checks to be moved.
void ModelRequest::onPaceCheck() {
  const auto late_by = core_.process.clock.now() - pace_check_due_;
  watchPace();
  if (late_by > core_.settings.pause_detection) {
    // This process was paused, and tokens of that time may still be unread.
    output_pace_.reset();
  }
  const auto expected = outlook();
  if (!expected || !isTooSlow(*expected)) {
    too_slow_ = false;
    return;
  }
  if (!std::exchange(was_too_slow_, true)) {
    core_.moves.countTooSlow();
  }
  if (std::exchange(too_slow_, true)) {
    considerMove(*expected);
  }
}

std::optional<StreamOutlook> ModelRequest::outlook() const {
  const auto now = core_.process.clock.now();
  const bool read = token_seen_in_attempt_ && !paused_;
  const auto gap = read ? output_pace_.gap(now) : std::nullopt;
  const auto tokens_left = tokensLeft();
  if (!gap || !tokens_left) {
    return std::nullopt;
  }
  StreamOutlook outlook;
  outlook.gap = *gap;
  outlook.tokens_left = *tokens_left;
  if (deadline_) {
    outlook.time_left = std::max(*deadline_ - now, common::Duration{0});
  }
  outlook.between_tokens_limit = target_.service.between_tokens_limit;
  return outlook;
}

std::optional<double> ModelRequest::tokensLeft() const {
  return core_.moves.lengths().expectedLeft(call_.service, target_.maximum_tokens, tokens_given_);
}

void ModelRequest::considerMove(const StreamOutlook& outlook) {
  if (moved_ || !requested_move_.empty() ||
      moves_requested_ >= core_.moves.settings().maximum_asks) {
    return;
  }
  const auto refusal = movable() ? core_.moves.refusal(target_.service.model, retryBudget())
                                 : MoveRefusal::kNotResumable;
  if (refusal) {
    recordRefusedMove(*refusal);
  } else if (!couldCompleteElsewhere(outlook)) {
    recordRefusedMove(MoveRefusal::kNoBetterEngine);
  } else {
    requestMove(outlook);
  }
}

bool ModelRequest::movable() const {
  return target_.service.repeatable && canResume() && runs_ + 1 < maximumRuns();
}

/// Spares the router requests that no engine can satisfy.
bool ModelRequest::couldCompleteElsewhere(const StreamOutlook& outlook) const {
  /// Ratio of the output time of the fastest engines to that of a mean one.
  constexpr int kFastestEngines = 2;
  const auto typical = core_.moves.pace(target_.service.model).gapFor(common::Duration{0});
  return typical && completesInTime(outlook, {common::Duration{0}, *typical / kFastestEngines});
}

/// The stream goes on at its engine until another one is granted.
void ModelRequest::requestMove(const StreamOutlook& outlook) {
  ++moves_requested_;
  requested_move_ = stream_id_ + "/" + std::to_string(moves_requested_);
  routing::RouteRequest request = routeRequest();
  request.stream_id = requested_move_;
  request.excluded.push_back(route_->engine.name);
  const double announced_left =
      outlook.tokens_left * core_.moves.lengths().announcedPerGiven(call_.service);
  request.maximum_tokens = tokens_given_ + static_cast<std::uint32_t>(announced_left);
  core_.router.place(
      request, [weak = weak_from_this(), id = request.stream_id](routing::RouteChoice choice) {
        if (const auto self = weak.lock()) {
          self->onMovePlaced(id, std::move(choice));
        }
      });
}

void ModelRequest::onMovePlaced(const std::string& placement_id, routing::RouteChoice choice) {
  requested_move_.clear();
  auto* const route = std::get_if<routing::Route>(&choice);
  if (route == nullptr) {
    recordRefusedMove(MoveRefusal::kNoBetterEngine);
    return;
  }
  const auto refusal = payForMove(*route);
  if (refusal) {
    recordRefusedMove(*refusal);
    core_.router.attemptFinished(placement_id);
    return;
  }
  moveTo(placement_id, std::move(*route));
}

std::optional<MoveRefusal> ModelRequest::payForMove(const routing::Route& route) {
  const auto expected = outlook();
  const auto gap = core_.moves.pace(target_.service.model).gapFor(route.expected_between_tokens);
  const bool better = expected && gap && isTooSlow(*expected) &&
                      completesInTime(*expected, {route.expected_first_token, *gap});
  const bool permitted =
      (!call_.still_allowed || call_.still_allowed()) && !core_.quarantine.quarantinedFor(content_);
  if (!better || !permitted || !core_.router.takesWork(route.engine)) {
    return MoveRefusal::kNoBetterEngine;
  }
  const std::uint32_t repeats = repeatsFor(route);
  if (repeats > charged_repeats_ && !core_.moves.pay(retryBudget(), repeats - charged_repeats_)) {
    return MoveRefusal::kNoBudget;
  }
  charged_repeats_ = std::max(charged_repeats_, repeats);
  logMove(*expected, route);
  return std::nullopt;
}

void ModelRequest::moveTo(const std::string& placement_id, routing::Route route) {
  core_.moves.countMoved();
  core_.counters.resumed.add();
  recordResult("moved to " + route.engine.name + ": the output was too slow");
  excluded_.push_back(route_->engine.name);
  stall_detector_.stop();
  stopWatchingPace();
  // Not called from an event of the attempt, so that the old stream can be cancelled before the new
  // one starts.
  attempt_.reset();
  releaseRoute();
  ++runs_;
  may_have_run_ = true;
  moved_ = true;
  resume_until_ = core_.process.clock.now() + core_.settings.resume_time_limit;
  placement_id_ = placement_id;
  route_ = std::move(route);
  recordAttempt();
  logRoute();
  beginAttempt();
}

void ModelRequest::recordRefusedMove(MoveRefusal refusal) {
  if (refused_move_ != refusal) {
    core_.moves.countRefused(refusal);
  }
  refused_move_ = refusal;
}

}  // namespace cypresswall::execution
